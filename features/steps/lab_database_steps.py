"""Steps for the lab's stand-in database, run as processes with psycopg as client."""

import json
import signal
import time

import psycopg
from behave import given, then, when

from features.support.database_group import (
    NAMES,
    Group,
    attempt,
    wait_until,
)
from limedyke_lab.database.replication.log import LogRecord, RecordLog

SHARED_GROUPS = {}


def connect_clients(context, group):
    context.group = group
    context.client = group.connect("a")
    context.other = group.connect("a")
    context.add_cleanup(context.client.close)
    context.add_cleanup(context.other.close)


def connect_and_close_after(context, group):
    context.add_cleanup(group.close)
    connect_clients(context, group)


@given("lab database: a shared single member")
def shared_member(context):
    """Share one process between all scenarios that leave no state behind."""
    if "group" not in SHARED_GROUPS:
        SHARED_GROUPS["group"] = Group(("a",))
        context.add_cleanup(lambda: SHARED_GROUPS.pop("group").close(), layer="feature")
    connect_clients(context, SHARED_GROUPS["group"])


@given("lab database: a single member")
def single_member(context):
    connect_and_close_after(context, Group(("a",)))


@given("lab database: a single member with {connections:d} connections and {slots:d} slots")
def limited_member(context, connections, slots):
    options = ["--connection_limit", str(connections + 2), "--slots", str(slots)]
    connect_and_close_after(context, Group(("a",), options))


@given("lab database: a group of 3 with primary a")
def group_of_three(context):
    connect_and_close_after(context, Group(NAMES))


@given('lab database: the switch "{switch}" of {name} is "{value}"')
@when('lab database: the switch "{switch}" of {name} is set to "{value}"')
def set_switch(context, switch, name, value):
    context.group.admin(name, f"SELECT lab_set('{switch}', '{value}')")


@when('lab database: the client runs "{statement}"')
def client_runs(context, statement):
    context.answer = attempt(context.client, statement)


@when('lab database: another client runs "{statement}"')
def other_client_runs(context, statement):
    context.answer = attempt(context.other, statement)


@then("lab database: the answer is {answer}")
def answer_is(context, answer):
    assert context.answer == json.loads(answer), context.answer


@then("lab database: the error is {sqlstate}")
def error_is(context, sqlstate):
    assert context.answer == sqlstate, context.answer


@when("lab database: a statement that sleeps for 30 seconds is cancelled")
def cancel_sleep(context):
    future = context.group.pool.submit(attempt, context.client, "SELECT pg_sleep(30)")
    wait_until(lambda: context.client.cancel() or future.done())
    context.answer = future.result()


@when("lab database: {number:d} clients connect")
def clients_connect(context, number):
    context.client.close()
    context.other.close()
    group = context.group
    group.admin("a", f"SELECT lab_set('connection_limit', '{number}')")
    wait_until(lambda: group.connect("a").close() is None)
    context.clients = [group.connect("a") for _ in range(number)]


@then("lab database: a further client is refused with {sqlstate}")
def further_client_refused(context, sqlstate):
    try:
        context.group.connect("a", attempts=False)
    except psycopg.OperationalError as error:
        texts = {"53300": "too many clients", "57P03": "not accepting", "none": "closed"}
        assert texts[sqlstate] in str(error), error
        return
    raise AssertionError("the client was accepted")


@then("lab database: the administrator still connects")
def administrator_connects(context):
    assert context.group.answer("a", "SELECT 1") == [[1]]


@when("lab database: {number:d} clients run one statement each at once")
def clients_run(context, number):
    clients = [context.group.connect("a") for _ in range(number)]
    start = time.monotonic()
    answers = list(context.group.pool.map(lambda client: attempt(client, "SELECT 1"), clients))
    context.elapsed_ms = (time.monotonic() - start) * 1000
    assert answers == [[[1]]] * number, answers


@then("lab database: together they took at least {milliseconds:d} ms")
def answer_took_at_least(context, milliseconds):
    assert context.elapsed_ms >= milliseconds, context.elapsed_ms


@then("lab database: a client with a wrong password is refused")
def wrong_password(context):
    try:
        context.group.connect("a", password="wrong", attempts=False)
    except psycopg.OperationalError as error:
        assert "password authentication failed" in str(error), error
        return
    raise AssertionError("the client was accepted")


@when("lab database: {name} is stopped")
def stop_member(context, name):
    assert context.group.end(name, signal.SIGTERM) == 0


@then('lab database: the history of {name} has "{statement}" as {outcome}')
def history_has(context, name, statement, outcome):
    text = (context.group.path / f"{name}.history").read_text()
    entries = [json.loads(line) for line in text.splitlines()]
    found = [item for item in entries if item["statement"] == statement]
    assert [item["outcome"] for item in found] == [outcome], found


@when("lab database: a log of 3 records is damaged by {damage}")
def damage_log(context, damage):
    log = RecordLog(context.folder)
    for number in range(3):
        log.append(LogRecord(1, "a", number, "", 0, ()).encode())
    log.close()
    path = context.folder / RecordLog.FILE_NAME
    data = path.read_bytes()
    damaged = {
        "half a record appended": data + data[: len(data) // 6],
        "its last byte changed": data[:-1] + bytes([data[-1] ^ 1]),
        "its last byte lost": data[:-1],
    }
    path.write_bytes(damaged[damage])


@then("lab database: the log opens with {number:d} records and takes a further one")
def log_opens(context, number):
    log = RecordLog(context.folder)
    found = len(list(log.records(0, log.end)))
    log.append(LogRecord(2, "a", 9, "", 0, ()).encode())
    again = RecordLog(context.folder)
    assert (found, again.last_term, again.torn_bytes) == (number, 2, 0), found
