"""Steps for refusals, and for writes that wait for a new primary, with real members."""

from __future__ import annotations

import time

import curio
from behave import given, then, when

from features.support.back_end_load import (
    executed,
    gate_of,
    run_together,
    set_switch,
    timed_answer,
)
from limedyke.result_codes import CODE_BY_NUMBER, Outcome, ResultCode

CANCELLED_AT_MEMBER = "57014"


def _one_connection(context, execute_ms):
    context.execute_ms = execute_ms
    context.lab.slots = 1
    context.lab.announce()
    context.lab.lease("p1", 1, 0)
    set_switch(context, "a", "execute_ms", execute_ms, 0)


@given("pool: p1 has one connection, and each statement takes {execute_ms:d} ms")
def step_one_connection(context, execute_ms):
    _one_connection(context, execute_ms)


@given("pool: p1 has one connection, each statement takes {execute_ms:d} ms and p1 knows it")
def step_one_known_connection(context, execute_ms):
    _one_connection(context, execute_ms)
    for _ in range(20):
        context.lab.ask("SELECT 1")


def _set_failover_wait(context, wait_ms):
    settings = context.lab.settings["p1"].model_copy(update={"failover_wait_ms": wait_ms})
    context.lab.proxies["p1"]._local._settings = settings
    context.lab.proxies["p1"]._forwarding._settings = settings


@given("pool: no primary is recorded, and p1 waits {wait_ms:d} ms for one")
def step_no_primary(context, wait_ms):
    _set_failover_wait(context, wait_ms)
    context.lab.term, context.lab.primary = 2, ""
    context.lab.announce()


@given("pool: p1 has no lease, and waits {wait_ms:d} ms for one")
def step_no_lease(context, wait_ms):
    _set_failover_wait(context, wait_ms)
    context.lab.lease("p1", 0, 0)


@given("pool: member a refuses connections, and p1 waits {wait_ms:d} ms")
def step_member_away(context, wait_ms):
    _set_failover_wait(context, wait_ms)
    set_switch(context, "a", "refuse_connections", "on", "off")
    gate = gate_of(context)

    def is_cut_off() -> bool:
        """Shut down open connections, including those that were being opened before."""
        gate.shut_all()
        return all(not pool.connections and not pool._opening for pool in gate.pools.values())

    context.lab.wait(is_cut_off)


@when("pool: {count:d} writes with a deadline of {deadline_ms:d} ms arrive at once")
def step_writes(context, count, deadline_ms):
    lab = context.lab
    units = [
        lab.unit(f"INSERT INTO note VALUES ({number}, 'x')", deadline_ms=deadline_ms)
        for number in range(count)
    ]
    context.answers = run_together(lab, units)


@then(
    "pool: some were refused with {code}, each in less than {within_ms:d} ms and with a retry time"
)
def step_refused(context, code, within_ms):
    number = ResultCode[code].value.number
    refused = [timed for timed in context.answers if timed.code == number]
    assert refused, {timed.code for timed in context.answers}
    slowest = max(timed.seconds for timed in refused)
    assert slowest < _refused_within_s(context, within_ms), slowest
    assert all(timed.answer.end.retry_after_ms > 0 for timed in refused)


def _refused_within_s(context, within_ms):
    """Return the time limit of a refusal.

    If the member runs one statement at a time, the limit is the time in which it ran as many of
    them as fit into ``within_ms``.  On an overloaded machine all statements take longer, and a
    refusal that was delayed would still come after that time.
    """
    limit_s = within_ms / 1_000
    execute_ms = getattr(context, "execute_ms", 0)
    if not execute_ms:
        return limit_s
    served = sorted(timed.seconds for timed in context.answers if timed.code == 0)
    fitting = within_ms // execute_ms
    return max(limit_s, served[fitting - 1]) if len(served) >= fitting else limit_s


@then("pool: no refused write ran, and every answered write did")
def step_none_ran(context):
    rows = {row for (row,) in context.lab.members.admin("a", "SELECT id FROM note")}
    answered = {n: timed.answer.text for n, timed in enumerate(context.answers) if timed.code == 0}
    cancelled = {n for n, text in answered.items() if CANCELLED_AT_MEMBER in text}
    done = set(answered) - cancelled
    assert all("INSERT 0 1" in answered[number] for number in done), answered
    unknown = {
        number
        for number, timed in enumerate(context.answers)
        if timed.code and CODE_BY_NUMBER[timed.code].outcome is Outcome.UNKNOWN
    }
    assert rows - unknown == done, (rows, unknown, done)


# New primaries, and classes


@when("pool: {count:d} statements for the primary wait, and then member a is recorded as primary")
def step_new_primary(context, count):
    lab = context.lab
    context.mark = f"waited {time.monotonic_ns()}"
    units = [lab.unit(f"SELECT '{context.mark} {number}.'") for number in range(count)]
    tasks = [lab.run(curio.spawn, timed_answer, lab, "p1", unit) for unit in units]
    lab.wait(lambda: lab.proxies["p1"].get_stats().running_units == count)
    view = lab.proxies["p1"]._groups["g"].view
    lab.term, view.term = 1, 0
    lab.primary = "a"
    lab.announce()
    context.answers = [lab.run(task.join) for task in tasks]


@then("pool: each ran once, or was refused and did not run")
def step_ran_or_refused(context):
    texts = [entry["statement"] for entry in executed(context.lab, "a")]
    times = [
        sum(f"{context.mark} {number}." in text for text in texts)
        for number in range(len(context.answers))
    ]
    assert times == [int(timed.code == 0) for timed in context.answers], times
    assert sum(times) > 0


@then("pool: the retry times lie between {least:d} and {most:d} ms, and at least {n:d} differ")
def step_spread(context, least, most, n):
    times = [timed.answer.end.retry_after_ms for timed in context.answers]
    assert all(least <= time_ms <= most for time_ms in times), times
    assert len(set(times)) >= n, times
