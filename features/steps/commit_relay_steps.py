"""Steps on what a proxy acknowledges and queries where commits wait for a replica."""

from __future__ import annotations

import time

import curio
from behave import given, step, then, when

from features.support.path_scenario import begin, run
from features.support.statement_path import GROUP, StatementPath, elapsed_ms
from limedyke.messages.control import PositionQuery
from limedyke.messages.databases import Consistency

ROUND = 77
QUERY_TIMEOUT_MS = 600
RENEWED_AFTER_S = 0.3
ENDED_AGO_S = 0.4
LONG_S = 60.0
POLL_S = 0.01
CONNECTIONS = 2


@given("commit relay: a proxy of a group whose commits wait for {replicas} replica")
def step_path(context, replicas):
    path = StatementPath(Consistency.SESSION)
    path.group.synchronous_replicas = 0 if replicas == "no" else 1
    begin(context, path, CONNECTIONS)


@given("commit relay: a client that {begins}")
def step_client(context, begins):
    async def prepare() -> None:
        context.client, _ = await context.path.connect()
        assert await context.client.ask("WRITE w 0") == "done I"
        if begins == "wrote in a transaction":
            assert await context.client.ask("BEGIN") == "done T"
            assert await context.client.ask("WRITE x 1") == "done T"

    run(context, prepare)


@when('commit relay: it sends "{statement}", and members answer after {ms:d} ms')
def step_send(context, statement, ms):
    async def send() -> None:
        for member in context.path.group.members.values():
            member.faults.answers_travel_s = ms / 1_000
        context.sent_at = time.monotonic()
        context.asking = await curio.spawn(context.client.ask, statement)

    run(context, send)


@when("commit relay: after {ms:d} ms {event}")
def step_after(context, ms, event):
    async def happen() -> None:
        await curio.sleep(ms / 1_000)
        for part in event.split(", and "):
            await _happen(context.path, part)

    run(context, happen)


async def _happen(path: StatementPath, event: str) -> None:
    """Let something happen to what the proxy knows."""
    match event:
        case "nothing happens":
            return
        case "a new term is granted":
            path.term += 1
            path.fence += 1
            path.primary = ""
            await path.tell_view()
        case "a is recorded" | "b is recorded":
            path.primary = event[0]
            await path.tell_view()
        case "the primary lease ends":
            path.lease_ends_at = time.monotonic()
        case "is renewed later":
            await curio.sleep(RENEWED_AFTER_S)
            path.lease_ends_at = time.monotonic() + LONG_S
        case "the lease had ended 400 ms ago":
            path.lease_ends_at = time.monotonic() - ENDED_AGO_S
            path.term += 1
        case _:
            raise AssertionError(f"unknown event {event!r}")


@step("commit relay: a new term is granted")
def step_granted(context):
    run(context, _happen, context.path, "a new term is granted")


@when("commit relay: the primary lease ends")
def step_lease_ends(context):
    run(context, _happen, context.path, "the primary lease ends")


@when("commit relay: {name:w} is recorded")
def step_recorded(context, name):
    run(context, _happen, context.path, f"{name} is recorded")


@then('commit relay: it receives "{answer}" after {low:d} to {high:d} ms')
def step_receives(context, answer, low, high):
    received = run(context, context.asking.join)
    took_ms = elapsed_ms(context.sent_at)
    assert received == answer, received
    assert low <= took_ms <= high, took_ms


@then('commit relay: no member ran "{text}"')
def step_not_run(context, text):
    assert not context.path.runs_of(text)


@given(
    "commit relay: {count:d} writes, which replicas apply {ms:d} ms after they have received them"
)
def step_writes(context, count, ms):
    async def write() -> None:
        for member in context.path.group.members.values():
            member.faults.lag_s = ms / 1_000
        client, _ = await context.path.connect()
        for number in range(count):
            assert await client.ask(f"WRITE x {number}") == "done I"

    run(context, write)


@when("commit relay, members: {state}")
def step_state(context, state):
    run(context, _set_state, context, state)


async def _set_state(context, state: str) -> None:
    path = context.path
    members = path.group.members
    context.fence = path.fence
    match state:
        case "nothing happens":
            return
        case "b is down":
            await path.group.crash("b")
        case "b is busy for the first 3 requests":
            members["b"].faults.busy = 3
        case "members do not know how to be held":
            for member in members.values():
                member.knows_hold = False
        case "all connections of the proxy are in use":
            for pool in path.groups.groups[GROUP].pools.values():
                for _ in range(CONNECTIONS):
                    await curio.spawn(_use_connection, pool, daemon=True)
            await curio.sleep(POLL_S)
        case "the query is of an earlier grant":
            context.fence -= 1
        case "b is recorded as the primary":
            await _happen(path, "b is recorded")
            members["b"].is_primary = True
        case "b is held by a request that was carried out late":
            members["b"].held_term = path.group.term + 1
        case _:
            raise AssertionError(f"unknown state {state!r}")


async def _use_connection(pool) -> None:
    """Hold a connection for a while, as a statement does."""
    connection = await pool.getconn("", {}, 0, 1.0)
    await curio.sleep(0.2)
    await pool.putconn(connection)


@step("commit relay: positions of b and c are queried, to be held")
def step_query(context):
    fence = getattr(context, "fence", context.path.fence)
    query = PositionQuery(GROUP, ROUND, fence, ("b", "c"), True, QUERY_TIMEOUT_MS)
    context.queried_at = time.monotonic()
    run(context, context.path.groups.query_positions, query)


@then("commit relay: {names} stated position {number:d} within {ms:d} ms")
def step_stated(context, names, number, ms):
    expected = set() if names == "none" else set(names.split(" and "))

    async def wait() -> None:
        end = context.queried_at + ms / 1_000
        while time.monotonic() < end and {r.member for r in context.reporter.positions} != expected:
            await curio.sleep(POLL_S)
        await curio.sleep(POLL_S)

    run(context, wait)
    reports = context.reporter.positions
    assert {report.member for report in reports} == expected, reports
    assert {report.position.position for report in reports} <= {number}, reports
    assert {report.round_id for report in reports} <= {ROUND}, reports


@then("commit relay: {names} are held")
def step_held(context, names):
    expected = set() if names == "none" else set(names.split(" and "))
    members = context.path.group.members.items()
    assert {name for name, member in members if member.held_term} == expected


@then("commit relay: no replica is held within {ms:d} ms")
def step_released(context, ms):
    members = context.path.group.members.values()

    async def wait() -> bool:
        end = time.monotonic() + ms / 1_000
        while time.monotonic() < end:
            if not any(member.held_term for member in members):
                return True
            await curio.sleep(POLL_S)
        return False

    assert run(context, wait), {member.identity: member.held_term for member in members}
