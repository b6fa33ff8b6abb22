"""Steps for the gaps that the failover experiment computes from a history."""

from __future__ import annotations

from behave import given, then, when

from limedyke_lab.experiments.failover import gaps_by_kind, histogram
from limedyke_lab.history import ClientOutcome, Event, History, Kind, Operation

NS_PER_MS = 1_000_000
PERIOD_MS = 50
LENGTH_MS = 100_000


@when('gaps: a histogram of "{gaps}" ms is made')
def step_histogram(context, gaps):
    context.shown = histogram([float(gap) for gap in gaps.split()])


@then('gaps: the histogram is "{text}"')
def step_histogram_is(context, text):
    assert context.shown == text, context.shown


def _write(at_ms: int) -> Operation:
    at_ns = at_ms * NS_PER_MS
    return Operation(at_ms, "s", "t", "g", "p", Kind.WRITE, at_ns, at_ns, ClientOutcome.DONE)


@given("gaps: writes every 50 ms for 100 s, except during these pauses")
def step_writes(context):
    pauses = [(int(row["from_ms"]), int(row["to_ms"])) for row in context.table]
    moments = [
        at_ms
        for at_ms in range(0, LENGTH_MS, PERIOD_MS)
        if not any(start < at_ms < end for start, end in pauses)
    ]
    context.operations = tuple(_write(at_ms) for at_ms in moments)


@given("gaps: these events")
def step_events(context):
    context.events = tuple(
        Event(int(row["at_ms"]) * NS_PER_MS, row["name"], "g-a", 0, row["kind"])
        for row in context.table
    )


@then("gaps: the gaps in ms are")
def step_gaps(context):
    found = gaps_by_kind(History(context.operations, context.events))
    expected = {row["kind"]: [float(gap) for gap in row["gaps"].split()] for row in context.table}
    assert found == expected, found
