"""Steps on operations that wait for tokens of their tenant's limit."""

from __future__ import annotations

import time
from dataclasses import replace

import curio
import logbook
from behave import given, step, then, when

from features.steps.statement_path_steps import run
from features.support.waiting_world import STEP_S, Arrival, Kind, WaitingWorld
from limedyke.core.control.declaration_change import DeclaredState
from limedyke.core.control.plan_rules import describe_change
from limedyke.core.statements.stop_schedule import StopSchedule
from limedyke.messages.control_entries import DeclarationChange
from limedyke.messages.declaration import Declaration, Tenant
from limedyke.messages.limits import OperationDemand, OperationsRequest
from limedyke.proxy.limits.limit_metrics import LimitMetrics

MS_PER_S = 1_000
LAST_STEP_S = 2.0
"""Retry times of one proxy may exceed the last one of the leader by this step."""
TENANT = "one"


@given(
    "waiting for tokens: {proxies:d} proxies, and a tenant of {rate:g} a second and {burst:d}",
)
def step_world(context, proxies, rate, burst):
    context.world = WaitingWorld(rate, burst, proxies)


@when(
    "waiting for tokens: {count:d} operations of priority {priority:d} arrive at once, each "
    "may wait {wait_ms:d} ms"
)
def step_arrive(context, count, priority, wait_ms):
    world: WaitingWorld = context.world
    kind = Kind(priority, 0.0, wait_ms)
    each: list[list[Arrival]] = [[] for _ in world.queues]
    for number in range(count):
        each[number % len(each)].append(world.arrival(kind))
    for proxy, arrivals in enumerate(each):
        world.ask(proxy, arrivals)
    world.run_due()
    context.arrived = count


@step("waiting for tokens: {seconds:g} s pass")
def step_pass(context, seconds):
    context.world.play([], seconds)


@when("waiting for tokens: the client of the first waiting operation leaves")
def step_leaves(context):
    queue = context.world.queues[0]
    queue.remove(queue.waiters[0], context.world.now)


@then("waiting for tokens: {count:d} ran, each within {within_ms:d} ms")
def step_ran(context, count, within_ms):
    _check_ran(context.world.arrivals, count, within_ms)


@then(
    "waiting for tokens: all {count:d} of priority {priority:d} ran, each within {within_ms:d} ms"
)
def step_all_ran(context, count, priority, within_ms):
    arrivals = context.world.of(priority)
    assert len(arrivals) == count, len(arrivals)
    _check_ran(arrivals, count, within_ms)


def _check_ran(arrivals, count, within_ms):
    ran = [arrival for arrival in arrivals if arrival.ran_at is not None]
    assert len(ran) == count, len(ran)
    longest_ms = max(arrival.ran_at - arrival.arrived_at for arrival in ran) * MS_PER_S
    assert longest_ms <= within_ms + STEP_S * MS_PER_S, longest_ms


@then("waiting for tokens: in 5 s at most {most:d} ran")
def step_most(context, most):
    assert context.world.most_in_window() <= most, context.world.most_in_window()


@then("waiting for tokens: the others were refused within {within_ms:d} ms of their arrival")
def step_refused_quickly(context, within_ms):
    others = [arrival for arrival in context.world.arrivals if arrival.ran_at is None]
    assert others
    for arrival in others:
        assert arrival.refused_at is not None
        assert (arrival.refused_at - arrival.arrived_at) * MS_PER_S <= within_ms


@then(
    "waiting for tokens: at most {most:d} retry times of refused operations are within the "
    "same {span_ms:d} ms, until {end_s:g} s from now"
)
def step_spread(context, span_ms, most, end_s):
    world: WaitingWorld = context.world
    returns = sorted(a.return_at for a in world.arrivals if a.refused_at is not None)
    assert returns
    assert returns[-1] <= world.now + end_s, returns[-1] - world.now
    for first in returns:
        within = sum(first <= other < first + span_ms / MS_PER_S for other in returns)
        assert within <= most, within


@then(
    "waiting for tokens: of priority {priority:d} {ran:d} ran, and {displaced:d} were displaced "
    "and refused at once"
)
def step_displaced(context, priority, ran, displaced):
    arrivals = context.world.of(priority)
    assert sum(a.ran_at is not None for a in arrivals) == ran, arrivals
    arrived_at = context.world.of(0)[0].arrived_at
    refused = [a for a in arrivals if a.refused_at is not None and a.refused_at >= arrived_at]
    assert len(refused) == displaced, len(refused)


@then("waiting for tokens: at most {most:d} wait")
def step_waiting(context, most):
    assert len(context.world.queues[0]) <= most, len(context.world.queues[0])


@given("waiting for tokens: calls should be done within {target_ms:d} ms")
def step_target(context, target_ms):
    path = context.path
    path.target_latency_ms = target_ms
    path.statement_timeout_ms = 2 * target_ms
    run(context, path.tell_view)
    path.limits.metrics = LimitMetrics(path.registry)
    handler = logbook.TestHandler()
    handler.push_application()
    context.add_cleanup(handler.pop_application)
    context.lines = handler


@then(
    "waiting for tokens: {least:d} to {most:d} were counted as having waited, with a log line each"
)
def step_counted(context, least, most):
    name = "limedyke_limits_wait_seconds_count"
    count = context.path.registry.get_sample_value(name, {"priority": "1"})
    assert count is not None and least <= count <= most, count
    lines = [line for line in context.lines.formatted_records if "token-waited-for" in line]
    assert len(lines) == count, lines
    assert all("request=" in line and "tenant=one" in line for line in lines), lines


@when(
    "waiting for tokens: {count:d} clients with {key:w} write at once, and {pause_ms:d} ms later "
    "the leader dies"
)
def step_leader_dies(context, count, key, pause_ms):
    async def die():
        await curio.sleep(pause_ms / MS_PER_S)
        context.path.leader = None

    _write_at_once(context, count, key, die)


@when("waiting for tokens: {count:d} clients with {key:w} write at once")
def step_write_at_once(context, count, key):
    async def nothing():
        return

    _write_at_once(context, count, key, nothing)


def _write_at_once(context, count, key, meanwhile):
    async def write(client):
        began_at = time.monotonic()
        answer = await client.ask("WRITE x 1")
        return answer, list(client.last_answer), time.monotonic() - began_at

    async def write_all():
        clients = [(await context.path.connect("db", key))[0] for _ in range(count)]
        tasks = [await curio.spawn(write, client) for client in clients]
        await meanwhile()
        return [await task.join() for task in tasks]

    context.answers = run(context, write_all)


@then("waiting for tokens: no two refused calls get the same retry time")
def step_distinct_retry_times(context):
    lines = [lines[0] for answer, lines, _ in context.answers if answer != "done I"]
    times = [line.partition("try again in ")[2] for line in lines]
    assert len(times) > 1 and len(set(times)) == len(times), times


@then("operation limits: each answer came within {milliseconds:d} ms")
def step_each_answer(context, milliseconds):
    slow = [took for _, _, took in context.answers if took * MS_PER_S > milliseconds]
    assert not slow, slow


@when("waiting for tokens: the proxy is told to stop within {milliseconds:d} ms")
def step_stops(context, milliseconds):
    answers_until = time.monotonic() + milliseconds / MS_PER_S
    context.path.services.stop.schedule = StopSchedule(answers_until=answers_until)


@when("waiting for tokens: {count:d} operations wait at the proxy and the first is abandoned")
def step_abandoned(context, count):
    limits = context.path.limits

    async def admit_all():
        assert await limits.admit(TENANT, 1) is None
        target_at = time.monotonic() + 2.0
        began_at = time.monotonic()
        tasks = [await curio.spawn(limits.admit, TENANT, 1, target_at) for _ in range(count)]
        await curio.sleep(0.1)
        await tasks[0].cancel()
        overs = [await task.join() for task in tasks[1:]]
        return overs, time.monotonic() - began_at

    context.overs, context.took_s = run(context, admit_all)


@then("waiting for tokens: the two others run within {milliseconds:d} ms")
def step_others_run(context, milliseconds):
    assert context.overs == [None, None], context.overs
    assert context.took_s * MS_PER_S <= milliseconds, context.took_s


@when("waiting for tokens: calls arrive for {seconds:g} s")
def step_calls(context, seconds):
    kinds = [
        Kind(int(row["priority"]), float(row["a second"]), int(row["may wait ms"]))
        for row in context.table
    ]
    context.world.play(kinds, seconds)


@then("waiting for tokens: of priority {priority:d} at least {percent:d} % ran")
def step_percent_ran(context, priority, percent):
    arrivals = context.world.of(priority)
    ran = sum(arrival.ran_at is not None for arrival in arrivals)
    assert ran * 100 >= percent * len(arrivals), (ran, len(arrivals))


@then("waiting for tokens: of priority {priority:d} at least {count:d} ran")
def step_count_ran(context, priority, count):
    ran = sum(arrival.ran_at is not None for arrival in context.world.of(priority))
    assert ran >= count, ran


@then("waiting for tokens: of priority {priority:d} {count:d} ran")
def step_exactly_ran(context, priority, count):
    ran = sum(arrival.ran_at is not None for arrival in context.world.of(priority))
    assert ran == count, ran


@then("waiting for tokens: at least {count:d} ran")
def step_least_ran(context, count):
    ran = sum(arrival.ran_at is not None for arrival in context.world.arrivals)
    assert ran >= count, ran


@given("waiting for tokens: {percent:d} % of the burst are reserved for urgent calls")
def step_reserved(context, percent):
    tenants = context.world.tenants
    tenants[TENANT] = replace(tenants[TENANT], operation_urgent_percent=percent)


@when("waiting for tokens: a proxy requests {count:d} operations without priorities")
def step_without_priorities(context, count):
    world = context.world
    request = OperationsRequest(1, (OperationDemand(TENANT, count),))
    context.grant = world.limits.wanted("p0", request, world.now).grants[0]


@then(
    "waiting for tokens: it is granted {count:d}, with a retry time of {retry_ms:d} ms for the rest"
)
def step_granted_without_priorities(context, count, retry_ms):
    found = (context.grant.operations, context.grant.retry_after_ms)
    assert found == (count, retry_ms), found


@given("waiting for tokens: its operations may wait for {wait_ms:d} ms")
def step_declared_wait(context, wait_ms):
    tenants = context.limits_world.tenants
    tenants[TENANT] = replace(tenants[TENANT], operation_wait_ms=wait_ms)


@when(
    "waiting for tokens: a tenant's declaration changes to {percent:d} % reserved and a wait "
    "of {wait_ms:d} ms"
)
def step_declared_anew(context, percent, wait_ms):
    before = Tenant(TENANT, (), operations_per_minute=60, operation_burst=5)
    after = replace(before, operation_urgent_percent=percent, operation_wait_ms=wait_ms)
    change = DeclarationChange(tenants=(after,))
    context.plan = describe_change(change, DeclaredState(Declaration((before,))), {})


@then('waiting for tokens: its plan shows "{text}"')
def step_plan(context, text):
    assert context.plan[0].detail == text, context.plan


@when(
    "waiting for tokens: {count:d} of the proxies run half of the operations, and lose contact "
    "to the leader"
)
def step_lose_contact(context, count):
    world = context.world
    world.play([Kind(0, 18.0, 0)], 5.0)
    for number in range(count, len(world.queues)):
        world.limits.proxy_contacted(f"p{number}", world.now)
    world.now += 1.2
    for number in range(count, len(world.queues)):
        world.limits.proxy_contacted(f"p{number}", world.now)
    world.limits.tick(world.now)
    world.queues = world.queues[count:]
    world.first_proxy = count
    world.arrivals.clear()


@then(
    "waiting for tokens: all retry times are within {last_s:g} s, and half of them within "
    "{half_s:g} s"
)
def step_retry_times(context, last_s, half_s):
    world = context.world
    after = sorted(a.return_at - world.now for a in world.arrivals if a.refused_at is not None)
    assert after and after[-1] <= last_s + LAST_STEP_S, after[-1]
    assert after[len(after) // 2] <= half_s, after[len(after) // 2]
