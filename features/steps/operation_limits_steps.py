"""Steps on the tenants' limits of operations."""

from __future__ import annotations

import re
import time
from functools import partial

import curio
from behave import given, step, then, when

from features.steps.statement_path_steps import run
from features.support.limits_world import LEASE_S, PROXIES, STEP_S, TENANT, LimitsWorld
from limedyke.core.limits.operation_allowance import OperationAllowance
from limedyke.core.limits.operation_limits import OperationLimits
from limedyke.messages.declaration import Priority, Tenant
from limedyke.messages.work import Access, AnswerEnd, LogPosition, TransactionStatus, WorkUnit
from limedyke.proxy.executor import refusal
from limedyke.proxy.limits.limited_executor import LimitedExecutor
from limedyke.proxy.limits.operation_limiter import OperationLimiter
from limedyke.result_codes import CODE_BY_NUMBER, ResultCode

TARGET_MS = 100
"""Target latency that is too short to wait for a token."""
CUT_OFF = {"a third is cut off": 1, "two thirds are cut off": 2, "all are cut off": 3}


@given(
    "operation limits: a tenant of {rate:g} a second and {burst:d}, and a leader since {led_s:g} s"
)
def step_world(context, rate, burst, led_s):
    context.world = LimitsWorld(rate, burst, led_s)


@given("operation limits: half of the proxies have connected to the leader")
def step_half(context):
    context.world.limits.set_connected_share(0.5, context.world.now)


@when("operation limits: proxy p requests {count:d} operations every 100 ms for {seconds:g} s")
def step_one_asks(context, count, seconds):
    context.world.play(("p",), (), count, seconds)


@when(
    "operation limits: proxies {names} request {count:d} operations every 100 ms for {seconds:g} s"
)
def step_some_ask(context, names, count, seconds):
    context.world.play(tuple(names.split(" ")), (), count, seconds)


@when("operation limits: proxy p requests {count:d} operations at once")
def step_at_once(context, count):
    context.granted = context.world.ask("p", count)


@when(
    "operation limits: {count:d} leaders follow, each for {gap_s:g} s and after {pause_s:g} s "
    "without one, with {each:d} operations requested every 100 ms"
)
def step_leaders_follow(context, count, gap_s, pause_s, each):
    world = context.world
    world.play(PROXIES, (), each, 1.0)
    for _ in range(count):
        world.play((), PROXIES, each, pause_s)
        world.change_leader()
        world.play(PROXIES, (), each, gap_s)


@then("operation limits: at least {count:d} ran")
def step_at_least(context, count):
    assert len(context.world.ran) >= count, len(context.world.ran)


@when("operation limits: proxies lose the leader, {how}, for {seconds:g} s")
def step_cut(context, how, seconds):
    count = CUT_OFF[how]
    context.world.play(PROXIES[count:], PROXIES[:count], 3, seconds)


@when("operation limits: proxies {names} have ended")
def step_ended(context, names):
    for name in names.split(" "):
        context.world.limits.proxy_ended(name, context.world.now)


@when(
    "operation limits: the limit is {change:w} to {rate:g} a second and {burst:d}",
)
def step_changed(context, change, rate, burst):
    world = context.world
    world.ask("p", 0)
    world.tenants[TENANT] = Tenant(
        TENANT, (), operations_per_minute=round(rate * 60), operation_burst=burst
    )
    world.limits.tenants_changed([TENANT], world.now)


@then("operation limits: {count:d} were granted, and the retry time of the rest is {retry:d} ms")
def step_granted(context, count, retry):
    found = (context.granted, context.world.retry_after_ms)
    assert found == (count, retry), found


@then("operation limits: in 5 s at most {most:d} ran, and {refused:w} were refused")
def step_most(context, most, refused):
    found = context.world.most_in_window()
    assert found <= most, found
    assert bool(context.world.refused) == (refused == "some"), len(context.world.refused)


@then("operation limits: proxies without the leader ran at least {least:d}")
def step_without_leader(context, least):
    assert context.world.without_leader >= least, context.world.without_leader


@then("operation limits: none of the last {count:d} was refused")
def step_none_refused(context, count):
    since = context.world.now - count * STEP_S
    late = [moment for moment in context.world.refused if moment > since]
    assert not late, len(late)


@given("operation limits: a proxy that was granted {rate:d} a second for {seconds:d} s")
def step_was_granted(context, rate, seconds):
    context.now = 1_000.0
    context.allowance = OperationAllowance()
    for _ in range(rate * seconds):
        context.now += 1 / rate
        context.allowance.count_granted(1, rate, context.now)


@when(
    "operation limits: the leader stops answering, and {count:d} operations arrive every 100 "
    "ms for {seconds:d} s"
)
def step_no_leader(context, count, seconds):
    context.ran = 0
    for _ in range(round(seconds / STEP_S)):
        context.now += STEP_S
        context.ran += sum(context.allowance.take_reserve(context.now) for _ in range(count))


@then("operation limits: between {least:d} and {most:d} ran")
def step_between(context, least, most):
    assert least <= context.ran <= most, context.ran


@when("operation limits: {count:d} are granted ahead, and {seconds:g} s pass")
def step_ahead(context, count, seconds):
    context.allowance.add(count, context.now)
    context.now += seconds


@then("operation limits: no granted operation is left")
def step_no_stock(context):
    assert not context.allowance.take_granted(context.now)


@given(
    "operation limits: tenant one may run {rate:g} a second and {burst:d}, and a leader grants "
    "operations"
)
def step_limited(context, rate, burst):
    path = context.path
    path.target_latency_ms = TARGET_MS
    path.limit(TENANT, rate, burst)
    run(context, path.tell_view)
    path.leader = OperationLimits(path.tenants, LEASE_S, time.monotonic() - 100.0)
    run(context, partial(curio.spawn, path.limits.run, daemon=True))


@step("operation limits: members refuse {count:d} statements")
def step_refuse(context, count):
    for member in context.path.group.members.values():
        member.faults.busy = count


@given("operation limits: members lose {count:d} answer")
def step_lose(context, count):
    for member in context.path.group.members.values():
        member.faults.lose_answers = count


@when("operation limits: the leader answers nothing")
def step_leader_silent(context):
    context.path.leader = None


@when("operation limits: the leader answers nothing, and the leases have run out")
def step_leases_over(context):
    context.path.leader = None
    context.path.alone_until = time.monotonic()


@when("operation limits: a client with {key:w} writes {count:d} times")
def step_writes(context, key, count):
    async def write():
        client, _ = await context.path.connect("db", key)
        answers = []
        for _ in range(count):
            began_at = time.monotonic()
            answer = await client.ask("WRITE x 1")
            answers.append((answer, list(client.last_answer), time.monotonic() - began_at))
        return answers

    context.ran_before = len(context.path.group.runs)
    context.answers = run(context, write)


@when("operation limits: it is refused {count:d} times")
def step_refused(context, count):
    for _ in range(count):
        answer = run(context, context.client.ask, "WRITE x 0")
        assert answer == "BUSY I", answer
    assert not context.path.group.runs


@then(
    "operation limits: {least:d} to {most:d} are done, and the others are refused as not run "
    "with a retry time"
)
def step_done(context, least, most):
    done = [answer for answer, _, _ in context.answers if answer == "done I"]
    assert least <= len(done) <= most, context.answers
    for answer, lines, _ in context.answers:
        if answer != "done I":
            assert answer == "BUSY I", answer
            assert re.search(r"try again in \d+ ms", lines[0]), lines


@then("operation limits: each refusal came within {milliseconds:d} ms")
def step_quick(context, milliseconds):
    slow = [took for answer, _, took in context.answers if took * 1_000 > milliseconds]
    assert not slow, slow


@then("operation limits: all answers came within {milliseconds:d} ms")
def step_all_answers(context, milliseconds):
    took_ms = sum(took for _, _, took in context.answers) * 1_000
    assert took_ms <= milliseconds, took_ms


@then("operation limits: no more ran than were done")
def step_no_more(context):
    done = [answer for answer, _, _ in context.answers if answer == "done I"]
    ran = len(context.path.group.runs) - context.ran_before
    assert ran == len(done), (ran, len(done))


@then("operation limits: the leader was asked {count:d} times")
def step_asked(context, count):
    assert len(context.path.asked) == count, len(context.path.asked)


class _ScriptedExecutor:
    """Answers units by the first letter of their group."""

    def __init__(self):
        self.ran = []

    async def run(self, unit, _relay):
        kind = unit.group
        self.ran.append(kind)
        if kind == "r":
            return refusal(unit, ResultCode.NO_MEMBER)
        if kind == "u":
            return refusal(unit, ResultCode.OUTCOME_UNKNOWN)
        status = TransactionStatus.IN_TRANSACTION if kind == "t" else TransactionStatus.IDLE
        return AnswerEnd(unit.stream, status, LogPosition(), "a", False)

    async def abandon(self, _work):
        return


def _unit(name):
    return WorkUnit(
        stream=1,
        tenant=TENANT,
        group=name[0],
        access=Access.WRITE,
        priority=Priority.INTERACTIVE,
        transaction=int(name[1:] or 0),
        required=LogPosition(),
        barrier=False,
        repeatable=False,
        once_key="",
        staleness_ms=0,
        deadline_ms=1_000,
        prepared=(),
        settings=(),
        data=b"",
    )


@given("operation limits: a PostgreSQL proxy whose tenant may run {rate:g} a second and {burst:d}")
def step_postgres(context, rate, burst):
    world = context.limits_world = LimitsWorld(rate, burst, 100.0)

    async def ask(message):
        await limiter.granted(world.limits.wanted("p", message, world.now))
        return True

    limiter = OperationLimiter(lambda: world.tenants, ask, lambda: float("inf"))
    context.executor = LimitedExecutor(_ScriptedExecutor(), limiter)
    context.kernel = curio.Kernel()
    context.add_cleanup(context.kernel.run, shutdown=True)
    run(context, partial(curio.spawn, limiter.run, daemon=True))


@when("operation limits: units {units} are run")
def step_units(context, units):
    async def run_all():
        return [await context.executor.run(_unit(name), None) for name in units.split(" ")]

    context.ends = run(context, run_all)


@then("operation limits: they end {ends}")
def step_ends(context, ends):
    found = [CODE_BY_NUMBER[end.code].label if end.code else "done" for end in context.ends]
    assert found == ends.split(" "), found
