"""Steps on transactions that rest while other requests wait for connections."""

from __future__ import annotations

import curio
from behave import given, then, when

from features.steps.statement_path_steps import run
from features.support.statement_path import GROUP, LineClient
from limedyke.core.statements.resting_transactions import ConnectionClaim, RestingTransactions
from limedyke.messages.control import ConnectionLease

NEVER = float("inf")
NOW = 1_000.0
RESTING_VALUE = "rest"


@given("resting transactions: the lease is for {count:d} connection, and the members are monitored")
@given(
    "resting transactions: the lease is for {count:d} connections, and the members are monitored"
)
def step_lease(context, count):
    groups = context.path.groups
    lease = ConnectionLease(GROUP, "shared", count)
    run(context, groups.leases_changed, (lease,), NEVER)
    run(context, _watch, groups)


@given("resting transactions: the members are monitored at the home proxies")
def step_monitored_at_homes(context):
    for home in context.path.homes.values():
        run(context, _watch, home.groups)


async def _watch(groups) -> None:
    await curio.spawn(groups.watch, daemon=True)


@when(
    "resting transactions: {count:d} clients with {key:w} begin transactions at {database:w} "
    "and rest"
)
def step_rest(context, count, key, database):
    """Begin one transaction first, which therefore rests longest, then the others at once."""

    async def begin_one() -> LineClient | None:
        client, _ = await context.path.connect(database, key)
        assert await client.ask("BEGIN") == "done T"
        is_open = await client.ask(f"WRITE {RESTING_VALUE} {RESTING_VALUE}") == "done T"
        return client if is_open else None

    async def begin_all() -> list[LineClient]:
        first = await begin_one()
        tasks = [await curio.spawn(begin_one) for _ in range(count - 1)]
        clients = [first, *[await task.join() for task in tasks]]
        return [client for client in clients if client is not None]

    context.at_rest = [*getattr(context, "at_rest", ()), *run(context, begin_all)]
    assert context.at_rest


@then(
    "resting transactions: {count:d} {kind:w} at {database:w} with {key:w}, one each "
    "{pause_ms:d} ms, are all served"
)
def step_served(context, count, kind, database, key, pause_ms):
    text = {"writes": "WRITE x 1", "reads": "READ x"}[kind]

    async def ask_one() -> str:
        client, _ = await context.path.connect(database, key)
        return (await client.ask(text)).split(" ")[-2]

    async def ask_all() -> list[str]:
        tasks = []
        for _ in range(count):
            tasks.append(await curio.spawn(ask_one))
            await curio.sleep(pause_ms / 1_000)
        return [await task.join() for task in tasks]

    answers = run(context, ask_all)
    assert answers == ["done"] * count, answers


@then('resting transactions: the client at rest asks "{asked}" and gets "{told}"')
def step_asks(context, asked, told):
    answer = run(context, context.at_rest[0].ask, asked)
    assert answer == told, answer


@then("resting transactions: nothing that was written at rest is kept")
def step_not_kept(context):
    commits = [
        commit for member in context.path.group.members.values() for commit in member.log.commits
    ]
    kept = [commit for commit in commits if (RESTING_VALUE, RESTING_VALUE) in commit.writes]
    assert not kept, kept


@when("resting transactions: the client at rest leaves")
def step_leaves(context):
    run(context, context.at_rest[0].close)
    run(context, curio.sleep, 0.1)


@then("resting transactions: all clients at rest commit")
def step_all_commit(context):
    for client in context.at_rest:
        answer = run(context, client.ask, "COMMIT")
        assert answer == "done I", answer


@then("resting transactions: the pool of {name:w} counts {count:d} transaction that gave way")
def step_counted(context, name, count):
    pool = context.path.groups.groups[GROUP].pools[name]
    assert pool.ended_for_waiting == count, pool.ended_for_waiting


@given(
    "resting transactions: a transaction of tenant one with priority {priority:d} that has rested "
    "for {rested_ms:d} ms"
)
def step_rested(context, priority, rested_ms):
    context.resting = RestingTransactions()
    claim = ConnectionClaim("one", priority)
    context.transaction = context.resting.begin_rest("c", claim, NOW - rested_ms / 1_000)


@when(
    "resting transactions: a request of {who} with priority {priority:d} waits while one holds "
    "{one:d} and two holds {two:d}"
)
def step_waits(context, who, priority, one, two):
    tenant = None if who == "the proxy" else who
    claim = ConnectionClaim(tenant, priority)
    context.resting.end_one_for(claim, {"one": one, "two": two}, NOW)


@then("resting transactions: the transaction {fate}")
def step_fate(context, fate):
    goes_on = context.resting.end_rest(context.transaction)
    assert goes_on == (fate == "goes on")
