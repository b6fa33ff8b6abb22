"""Steps on statements that home proxies run for a proxy without a lease."""

from __future__ import annotations

import re
import time
from unittest import mock

import curio
from behave import given, step, then, when

from features.steps.statement_path_steps import begin, run
from features.support.line_platform.member_session import ALWAYS
from features.support.statement_homes import ForwardingPath
from features.support.statement_path import GROUP, elapsed_ms
from limedyke.core.queueing.queued_request import QueuedRequest
from limedyke.messages.control import ConnectionLease
from limedyke.messages.databases import Consistency
from limedyke.proxy.statements.homes import home_service
from limedyke.proxy.statements.homes.forwarding import home_time_s

SETTLE_S = 3.0
WAITS_S = 2.0
SHORT_S = 0.05
TIME_PRECISION_S = 1e-6


def parse_homes(text):
    """Return name, zone and region of each home proxy in a list."""
    found = re.findall(r"(\w+) in (\w+)(?: of (\w+))?", text)
    return tuple((name, zone, region or "r1") for name, zone, region in found)


@given("statement homes: a {consistency} database, home proxies {homes}")
def step_homes(context, consistency, homes):
    begin(context, ForwardingPath(Consistency(consistency), parse_homes(homes)))
    run(context, context.path.start)
    context.client, _ = run(context, context.path.connect)
    context.other = None


def wait(context, condition):
    """Let the kernel run until a condition holds."""
    deadline = time.monotonic() + SETTLE_S
    while not condition():
        assert time.monotonic() < deadline, "not reached in time"
        run(context, curio.sleep, 0.02)


@then("statement homes: {name:w} took {count:d} statements")
def step_took(context, name, count):
    assert context.path.served(name) == count, context.path.served(name)


@when("statement homes: {count:d} clients write at once")
def step_at_once(context, count):
    async def write_all():
        clients = [(await context.path.connect())[0] for _ in range(count)]
        tasks = [await curio.spawn(client.ask, "WRITE x 1") for client in clients]
        return [await task.join() for task in tasks]

    context.all_told = run(context, write_all)


@then('statement homes: all are told "{told}"')
def step_all_told(context, told):
    assert set(context.all_told) == {told}, context.all_told


@when('statement homes: the client asks "{asked}"')
def step_client_asks(context, asked):
    assert run(context, context.client.ask, asked) == "done I"


@when("statement homes: the client leaves")
def step_leaves(context):
    run(context, context.client.close)


@step("statement homes: the links of {name:w} break")
def step_break(context, name):
    run(context, context.path.homes[name].lose_links)
    run(context, curio.sleep, 0.05)


@step("statement homes: {name:w} can't reach the primary")
def step_unreached(context, name):
    observed = context.path.homes[name].groups.groups[GROUP].pools["a"].observed
    observed.probe_timed_out(time.monotonic())


@then(
    "statement homes: of {limit:g} s with a round trip of {travel:g} s a home proxy gets {home:g} s"
)
def step_home_time(context, limit, travel, home):
    assert abs(home_time_s(limit, travel) - home) < TIME_PRECISION_S


@then("statement homes: no connection is in use at {name:w}")
def step_none_in_use(context, name):
    wait(context, lambda: context.path.homes[name].connections() == 0)
    assert not context.path.homes[name].service.has_work


@step("statement homes: links to all home proxies are open")
def step_links(context):
    async def dial_all():
        tried = set()
        while (link := await context.path.links.choose(GROUP, tried)) is not None:
            tried.add(link.home)
        return tried

    wait(context, lambda: len(run(context, dial_all)) == len(context.path.homes))


@step("statement homes: {name:w} is {milliseconds:d} ms away, one way")
def step_far_home(context, name, milliseconds):
    run(context, context.path.move_home_away, name, milliseconds / 1_000)


@step("statement homes: {name:w} was told to stop {seconds:g} s ago, and has 6 s")
def step_stopping(context, name, seconds):
    context.path.homes[name].stop.begin(time.monotonic() - seconds, 6.0)


@step("statement homes: {name:w} drains")
def step_drains(context, name):
    context.path.homes[name].server.draining = True


@step("statement homes: {name:w} freezes")
def step_freezes(context, name):
    context.path.homes[name].freeze()


@step("statement homes: {name:w} freezes, and all members are busy")
def step_freezes_and_busy(context, name):
    step_freezes(context, name)
    for member in context.path.group.members.values():
        member.faults.busy = ALWAYS


@step("statement homes: {frozen:w} freezes, and {other:w} holds no lease")
def step_freezes_without_lease(context, frozen, other):
    step_freezes(context, frozen)
    step_no_lease(context, other)


@step("statement homes: {name:w} holds no lease")
def step_no_lease(context, name):
    run(context, context.path.homes[name].lease, 0)


@step("statement homes: nobody holds a lease")
def step_no_leases(context):
    for home in context.path.homes.values():
        run(context, home.lease, 0)


@given("statement homes: the lease of {name:w} is for 1 connection")
def step_one_connection(context, name):
    run(context, context.path.homes[name].lease, 1)


@step("statement homes: the primary turns silent")
def step_silent(context):
    context.path.group.primary.faults.silent = True


@step("statement homes: the primary answers again")
def step_answers(context):
    context.path.group.primary.faults.silent = False


@then('statement homes: "{text}" ran at most {times:d} times')
def step_ran(context, text, times):
    assert len(context.path.runs_of(text)) <= times, context.path.runs_of(text)


@step("statement homes: a client waits at {name:w} for {milliseconds:d} ms")
def step_client_waits(context, name, milliseconds):
    async def ask_and_wait():
        client, _ = await context.path.connect()
        await client.send("QUERY w1 WRITE y 1\r\n")
        await curio.sleep(milliseconds / 1_000)

    run(context, ask_and_wait)
    assert context.path.served(name) >= 1


@when('statement homes: the client asks "{asked}", and {delay:d} ms later the proxy gets a lease')
def step_lease_later(context, asked, delay):
    async def ask_then_lease():
        task = await curio.spawn(context.client.ask, asked)
        await curio.sleep(delay / 1_000)
        lease = ConnectionLease(GROUP, "shared", 2)
        await context.path.groups.leases_changed((lease,), float("inf"))
        return [await task.join()]

    context.all_told = run(context, ask_then_lease)


@step("statement homes: a client writes and the links break")
def step_cut_off(context):
    async def write_and_leave():
        client, _ = await context.path.connect()
        await client.send("QUERY w1 WRITE x 2\r\n")
        await curio.sleep(0.1)
        for home in context.path.homes.values():
            await home.lose_links()

    run(context, write_and_leave)


@given(
    "statement homes: {name:w} has one connection, held by a transaction, and {count:d} requests "
    "wait for it"
)
def step_crowded(context, name, count):
    home = context.path.homes[name]

    async def crowd():
        await home.lease(1)
        pool = home.groups.groups[GROUP].pools["a"]
        held = await pool.getconn("", {}, 1, 1.0)
        waiting = [
            await curio.spawn(pool.getconn, "", {}, 1, WAITS_S, daemon=True) for _ in range(count)
        ]
        await curio.sleep(SHORT_S)
        pool._queue.finished(QueuedRequest("", 1, 0.0), WAITS_S)
        return pool, held, waiting

    context.held = [*getattr(context, "held", []), run(context, crowd)]


@when(
    'statement homes: the transactions end {milliseconds:d} ms later, and the client asks "{asked}"'
)
def step_crowds_end(context, milliseconds, asked):
    async def end_later():
        await curio.sleep(milliseconds / 1_000)
        for pool, held, waiting in context.held:
            for task in waiting:
                await task.cancel()
            await pool.putconn(held)

    async def ask():
        await curio.spawn(end_later, daemon=True)
        return await context.client.ask(asked)

    context.told = run(context, ask)


@when(
    "statement homes: the lease of {name:w} ends {milliseconds:d} ms later, and the client asks "
    '"{asked}"'
)
def step_lease_ends(context, name, milliseconds, asked):
    async def end_later():
        await curio.sleep(milliseconds / 1_000)
        await context.path.homes[name].lease(0)

    async def ask():
        await curio.spawn(end_later, daemon=True)
        began_at = time.monotonic()
        told = await context.client.ask(asked)
        return told, elapsed_ms(began_at)

    context.told, context.took_ms = run(context, ask)


@then('statement homes: it is told "{told}"')
def step_is_told(context, told):
    assert context.told == told, context.told


@given("statement homes: {name:w} refuses no unit as crowded")
def step_leaves_nothing(context, name):
    del name
    context.patched = mock.patch.object(home_service, "_would_wait_long", lambda *_: False)
    context.patched.start()
    context.add_cleanup(context.patched.stop)


@when("statement homes: {count:d} clients write one after the other, {milliseconds:d} ms apart")
def step_one_after_the_other(context, count, milliseconds):
    async def write_all():
        clients = [(await context.path.connect())[0] for _ in range(count)]
        tasks = []
        for client in clients:
            tasks.append(await curio.spawn(client.ask, "WRITE x 1"))
            await curio.sleep(milliseconds / 1_000)
        return [await task.join() for task in tasks]

    context.all_told = run(context, write_all)


@then("statement homes: {first:w} ran at least {least:d} of them, and {second:w} one before")
def step_shares(context, first, least, second):
    got = {name: context.path.served(name) for name in (first, second)}
    assert got[first] >= least and got[second] >= 1, (got, context.all_told)


@given("statement homes: the proxy has a lease of 1 connection, which is held")
def step_own_lease_held(context):
    async def hold():
        lease = ConnectionLease(GROUP, "shared", 1)
        await context.path.groups.leases_changed((lease,), float("inf"))
        for pool in context.path.groups.groups[GROUP].pools.values():
            await pool.getconn("", {}, 1, 1.0)

    run(context, hold)


@when('statement homes: the client asks "{asked}", and {delay:d} ms later that lease ends')
def step_lease_ends(context, asked, delay):
    async def ask_then_end():
        task = await curio.spawn(context.client.ask, asked)
        await curio.sleep(delay / 1_000)
        await context.path.groups.leases_changed((), float("inf"))
        return [await task.join()]

    context.all_told = run(context, ask_then_end)
