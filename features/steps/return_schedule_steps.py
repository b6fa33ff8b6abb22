"""Steps for the retry times of refused requests."""

from __future__ import annotations

from behave import given, then, when

from limedyke.core.queueing.retry_schedule import RetrySchedule

MS = 1_000.0
WINDOW_MS = 50.0
ROUNDING_MS = 1e-6


@given("returns: a member frees a slot every {gap:d} ms, the first in {ready:d} ms")
def step_member(context, gap, ready):
    context.schedule = RetrySchedule()
    context.gap_ms = gap
    context.ready_ms = ready
    context.delays_ms = {}


def _refuse(context, count, priority, now):
    times = [
        MS
        * context.schedule.retry_after_s(priority, context.ready_ms / MS, now, context.gap_ms / MS)
        for _ in range(count)
    ]
    context.delays_ms.setdefault(priority, []).extend(times)


@when("returns: {count:d} requests of priority {priority:d} are refused at once")
def step_refuse(context, count, priority):
    _refuse(context, count, priority, 100.0)


@when("returns: {later:d} ms later {count:d} requests of priority {priority:d} are refused")
def step_refuse_later(context, later, count, priority):
    _refuse(context, count, priority, 100.0 + later / MS)


def _most_in_window(times):
    return max(sum(at <= other < at + WINDOW_MS for other in times) for at in times)


@then(
    "returns: none is retried before {ready:d} ms, and in any 50 ms at most as many as slots "
    "become free"
)
def step_as_slots_become_free(context, ready):
    times = context.delays_ms[2]
    assert min(times) >= ready - ROUNDING_MS, min(times)
    assert _most_in_window(times) <= WINDOW_MS / context.gap_ms, _most_in_window(times)


@then("returns: the last is retried within {last:d} ms")
def step_last(context, last):
    assert max(context.delays_ms[2]) <= last, max(context.delays_ms[2])


@then("returns: all are retried within {last:d} ms, and less than {most:d} in any 50 ms")
def step_spread(context, last, most):
    assert max(context.delays_ms[2]) <= last, max(context.delays_ms[2])
    assert _most_in_window(context.delays_ms[2]) < most, _most_in_window(context.delays_ms[2])


@then("returns: requests of priority {priority:d} are retried within {last:d} ms")
def step_urgent(context, priority, last):
    assert max(context.delays_ms[priority]) <= last, max(context.delays_ms[priority])


@then("returns: the last refused one is retried after {earliest:d} ms")
def step_after(context, earliest):
    assert context.delays_ms[2][-1] >= earliest, context.delays_ms[2][-1]


@then("returns: the last refused one is retried within {latest:d} ms")
def step_within(context, latest):
    assert context.delays_ms[2][-1] <= latest + ROUNDING_MS, context.delays_ms[2][-1]
