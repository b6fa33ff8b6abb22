"""Steps for the times to come back of those that were refused."""

from __future__ import annotations

from behave import given, then, when

from limedyke.core.queueing.retry_schedule import RetrySchedule

MS = 1_000.0
WINDOW_MS = 50.0
ROUNDING_MS = 1e-6


@given("returns: a member gives a turn each {gap:d} ms, the first in {ready:d} ms")
def step_member(context, gap, ready):
    context.schedule = RetrySchedule()
    context.gap_ms = gap
    context.ready_ms = ready
    context.told = {}


def _refuse(context, count, priority, now):
    times = [
        MS
        * context.schedule.retry_after_s(priority, context.ready_ms / MS, now, context.gap_ms / MS)
        for _ in range(count)
    ]
    context.told.setdefault(priority, []).extend(times)


@when("returns: {count:d} of priority {priority:d} are refused at once")
def step_refuse(context, count, priority):
    _refuse(context, count, priority, 100.0)


@when("returns: {later:d} ms later {count:d} of priority {priority:d} are refused")
def step_refuse_later(context, later, count, priority):
    _refuse(context, count, priority, 100.0 + later / MS)


def _most_in_window(times):
    return max(sum(at <= other < at + WINDOW_MS for other in times) for at in times)


@then(
    "returns: none comes back before {ready:d} ms, and at most as many in any 50 ms as have turns "
    "then"
)
def step_as_room_comes(context, ready):
    times = context.told[2]
    assert min(times) >= ready - ROUNDING_MS, min(times)
    assert _most_in_window(times) <= WINDOW_MS / context.gap_ms, _most_in_window(times)


@then("returns: the last comes back within {last:d} ms")
def step_last(context, last):
    assert max(context.told[2]) <= last, max(context.told[2])


@then("returns: all come back within {last:d} ms, and less than {most:d} in any 50 ms")
def step_spread(context, last, most):
    assert max(context.told[2]) <= last, max(context.told[2])
    assert _most_in_window(context.told[2]) < most, _most_in_window(context.told[2])


@then("returns: those of priority {priority:d} come back within {last:d} ms")
def step_urgent(context, priority, last):
    assert max(context.told[priority]) <= last, max(context.told[priority])


@then("returns: the last of them comes back after {earliest:d} ms")
def step_after(context, earliest):
    assert context.told[2][-1] >= earliest, context.told[2][-1]


@then("returns: the last of them comes back within {latest:d} ms")
def step_within(context, latest):
    assert context.told[2][-1] <= latest + ROUNDING_MS, context.told[2][-1]
