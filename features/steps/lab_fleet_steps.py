"""Steps for fleets of real processes."""

from __future__ import annotations

import subprocess
import sys

import psycopg
from behave import given, then, when

from limedyke.addresses import split_address
from limedyke.postgres.member_batch import DUPLICATE_TEXT
from limedyke_lab.fleet.fleet import Fleet, FleetOptions
from limedyke_lab.fleet.secrets import client_password
from limedyke_lab.load import statements
from limedyke_lab.load.runner import create_tables

DEMO_TIMEOUT_S = 120
GROUP = "catchup-1"
USER = "editor"
TENANT = "radio-editors"
NUMBER = 7


@when('fleet: the demonstration runs in "{geography}" with {seconds:d} seconds of load')
def when_demo(context, geography, seconds):
    command = [sys.executable, "-m", "limedyke_lab.cli", "demo", geography]
    command += [f"--seconds={seconds}", f"--run-root={context.folder}"]
    context.done = subprocess.run(
        command, capture_output=True, text=True, timeout=DEMO_TIMEOUT_S, check=False
    )
    last = (context.done.stdout.strip() or "none").splitlines()[-1]
    pairs = (word.split("=") for word in last.split() if "=" in word)
    context.summary = {name: float(value) for name, value in pairs}


@then("fleet: it exits with code {code:d}")
def then_ends(context, code):
    assert context.done.returncode == code, context.done.stdout + context.done.stderr


@then("fleet: it reports more than {count:d} statements and a failover gap")
def then_statements(context, count):
    assert context.summary["statements"] > count, context.done.stdout
    assert 0 < context.summary["failover_gap_ms"] < float("inf"), context.done.stdout


@then("fleet: it reports 0 {names}")
def then_zeros(context, names):
    for name in names.replace(" and ", ", ").split(", "):
        assert context.summary[name] == 0, (name, context.done.stdout)


@given("fleet: a fleet without delays")
def given_fleet(context):
    options = FleetOptions(name="fleet", run_root=context.folder, delays=False)
    context.fleet = Fleet(options)
    context.add_cleanup(context.fleet.stop)
    context.fleet.start()
    create_tables(context.fleet)


@when("fleet: a keyed insert is sent through {first} and again through {second}")
def when_keyed(context, first, second):
    context.notices = [_insert(context.fleet, first), _insert(context.fleet, second)]


def _insert(fleet: Fleet, proxy: str) -> list[str]:
    """Insert a mark under a key and return the notices received with the response."""
    notices: list[str] = []
    host, port = split_address(fleet.node(proxy).advertise)
    with psycopg.connect(
        host=host,
        port=port,
        dbname=f"{TENANT}/{GROUP}",
        user=USER,
        password=client_password(USER),
        autocommit=True,
    ) as connection:
        connection.add_notice_handler(lambda notice: notices.append(notice.message_primary))
        statement = statements.once_comment("key-7") + statements.INSERT_MARK
        cursor = psycopg.ClientCursor(connection)
        cursor.execute(statement, {"number": NUMBER, "owner": "feature"})
        assert cursor.statusmessage == "INSERT 0 1", cursor.statusmessage
    return notices


@then("fleet: the second response is marked as a repetition of the first")
def then_repeats(context):
    assert context.notices == [[], [DUPLICATE_TEXT]], context.notices


@then("fleet: the primary holds the row once")
def then_once(context):
    primary = context.fleet.wait_for_primary(GROUP)
    rows = context.fleet.members.query(primary, statements.ALL_MARKS)
    assert rows == [(NUMBER, 1)], rows
