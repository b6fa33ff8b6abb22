"""Steps for faults and performance of the lab's stand-in database."""

from __future__ import annotations

import time

from behave import given, then, when

from features.support.database_group import attempt, wait_until
from limedyke_lab.database.measure import MeasuredMember, connection_time_ms, drive

MILLISECONDS = 1000.0
CONNECTION_LIMIT = 20


def duration_ms(context, action) -> float:
    """Return how long an action of an ordinary client takes."""
    began = time.monotonic()
    if action == "a statement":
        assert attempt(context.client, "SELECT 1") == [[1]]
    elif action == "a connection":
        context.group.connect("a").close()
    else:
        raise AssertionError(action)
    return (time.monotonic() - began) * MILLISECONDS


@then("lab database: {action} takes at least {milliseconds:d} ms")
def takes_at_least(context, action, milliseconds):
    taken = duration_ms(context, action)
    assert taken >= milliseconds, taken


@then("lab database: {action} takes less than {milliseconds:d} ms")
def takes_less(context, action, milliseconds):
    taken = duration_ms(context, action)
    assert taken < milliseconds, taken


@given("lab database: a single member with the default delays")
def measured_member(context):
    member = MeasuredMember(slots=CONNECTION_LIMIT, connection_limit=CONNECTION_LIMIT)
    context.add_cleanup(member.__exit__)
    context.measured_member = member.__enter__()


@then("lab database: half of its connections need {milliseconds:d} ms or more")
def connection_takes(context, milliseconds):
    taken = connection_time_ms(context.measured_member)
    assert taken >= milliseconds, taken


@when("lab database: {clients:d} clients run SELECT for {seconds:g} s")
def clients_select(context, clients, seconds):
    statements = ["SELECT id, text FROM item WHERE id = 7"]
    context.measured = drive(context.measured_member, statements, clients, seconds)


@then("lab database: the 99th percentile was less than {factor:d} times the median")
def percentile_below(context, factor):
    measured = context.measured
    assert measured.p99_ms < factor * measured.p50_ms, measured


@then("lab database: at least {rate:d} statements ran each second")
def rate_at_least(context, rate):
    assert context.measured.statements_per_s >= rate, context.measured


@then("lab database: {name} shows row {number:d} after at least {milliseconds:d} ms")
def shows_row_after(context, name, number, milliseconds):
    statement = f"SELECT count(*) FROM item WHERE id = {number}"
    began = time.monotonic()
    wait_until(lambda: context.group.admin(name, statement) == [[1]])
    taken = (time.monotonic() - began) * MILLISECONDS
    # The lag starts while the insert is still running, hence the tolerance of 100 ms.
    assert taken >= milliseconds - 100, taken


@when("lab database: {name} loses its data folder and restarts")
def loses_folder(context, name):
    context.group.lose_folder(name)
