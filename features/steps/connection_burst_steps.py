"""Steps for a pool of connections under a burst."""

from __future__ import annotations

import time

import curio
from behave import given, then, when

from features.steps.statement_path_steps import run
from features.support.burst_pool import BurstPool
from features.support.virtual_clock import VirtualKernel
from limedyke.core.statements.observed_member import SILENT_S

MS = 1_000.0


@given(
    "burst: a lease of {lease:d} connections, which open in {opening:d} ms and answer in "
    "{answer:d} ms"
)
def step_pool(context, lease, opening, answer):
    context.kernel = VirtualKernel()
    context.burst = BurstPool(lease, opening / MS, answer / MS)
    context.add_cleanup(lambda: context.kernel.run(shutdown=True))
    context.add_cleanup(lambda: context.kernel.run(context.burst.stop))
    context.tasks = []
    run(context, context.burst.pool.set_limit, lease)
    run(context, curio.spawn, context.burst.watch)


async def _send_requests(context, span_s, count, priority, tenants, limit_s):
    began_at = time.monotonic()
    for number in range(count):
        due_at = began_at + span_s * number / count
        await curio.sleep(max(0.0, due_at - time.monotonic()))
        tenant = f"t{number % tenants}"
        task = await curio.spawn(context.burst.ask, tenant, priority, limit_s, daemon=True)
        context.tasks.append(task)


@when(
    "burst: within {span:d} ms {count:d} requests of priority {priority:d} of "
    "{tenants:d} tenants arrive, with {limit:d} ms each"
)
def step_burst(context, span, count, priority, tenants, limit):
    args = (context, span / MS, count, priority, tenants, limit / MS)
    context.tasks.append(run(context, curio.spawn, _send_requests, *args))


async def _wait_for_all(context):
    ended = 0
    while ended < len(context.tasks):
        await context.tasks[ended].join()
        ended += 1


@then("burst: {share:d} % of the requests that were not served were refused within {limit:d} ms")
def step_refused(context, share, limit):
    run(context, _wait_for_all, context)
    held = sorted(end.at - end.arrived_at for end in context.burst.ended if not end.was_served)
    quick = sum(seconds <= limit / MS for seconds in held)
    assert quick >= share / 100 * len(held), (quick, len(held), held[-10:])


@then("burst: at least {served:d} requests were served, and at least {not_served:d} were not")
def step_some(context, served, not_served):
    count = sum(end.was_served for end in context.burst.ended)
    assert count >= served, count
    assert len(context.burst.ended) - count >= not_served, count


@then(
    "burst: all requests of priority {priority:d} were served, {share:d} % of them "
    "within {limit:d} ms"
)
def step_urgent(context, priority, share, limit):
    run(context, _wait_for_all, context)
    ends = [end for end in context.burst.ended if end.priority == priority]
    assert ends
    assert all(end.was_served for end in ends), ends
    quick = sum(end.at - end.arrived_at <= limit / MS for end in ends)
    assert quick >= share / 100 * len(ends), [end.at - end.arrived_at for end in ends]


@given(
    "burst: {count:d} requests of priority {priority:d} of {tenants:d} tenants wait, "
    "with {limit:d} ms each"
)
def step_wait(context, count, priority, tenants, limit):
    async def send():
        await _send_requests(context, 0.0, count, priority, tenants, limit / MS)
        await curio.sleep(0.03)

    run(context, send)


@when("burst: the member is lost")
def step_lost(context):
    context.event_at = context.kernel.now
    context.burst.is_lost = True


@when("burst: the member turns silent")
def step_silent(context):
    observed = context.burst.pool.observed
    context.event_at = context.kernel.now + max(SILENT_S, observed.longest_sign_s)
    context.burst.is_silent = True


@when("burst: the lease shrinks to 1")
def step_shrinks(context):
    context.event_at = context.kernel.now
    run(context, context.burst.pool.set_limit, 1)


@when("burst: the lease ends")
def step_ends(context):
    context.event_at = context.kernel.now
    run(context, context.burst.pool.set_limit, 0)


@when("burst: the member leaves the group")
def step_leaves(context):
    context.event_at = context.kernel.now
    run(context, context.burst.pool.drain)


@then(
    "burst: within {limit:d} ms of it at least {least:d} were refused, and {most:d} "
    "or fewer of the 100 were left"
)
def step_told_of_it(context, limit, least, most):
    run(context, curio.sleep, context.event_at + limit / MS - context.kernel.now)
    ended = context.burst.ended
    told = sum(not end.was_served for end in ended)
    assert told >= least, told
    assert 100 - len(ended) <= most, len(ended)


@given("burst: a request of tenant a has the connection, and one of a and one of b wait")
def step_two_wait(context):
    async def come():
        pool = context.burst.pool
        context.lent = await pool.getconn("a", {}, 1, 1.0)
        context.of_a = await curio.spawn(pool.getconn, "a", {}, 1, 5.0, daemon=True)
        context.of_b = await curio.spawn(pool.getconn, "b", {}, 1, 5.0, daemon=True)
        await curio.sleep(0.05)

    run(context, come)


@when("burst: the waiting client of a disconnects")
def step_leaves_waiting(context):
    run(context, context.of_a.cancel)


@then("burst: its request is no longer queued")
def step_nothing_kept(context):
    pool = context.burst.pool
    assert pool.observed.waiting == 1, pool.observed.waiting
    assert len(pool._queue) == 1


@when("burst: the connection is given back")
def step_given_back(context):
    run(context, context.burst.pool.putconn, context.lent)


@then("burst: the request of b has it")
def step_has_it(context):
    connection = run(context, context.of_b.join)
    assert connection.tenant == "b"
