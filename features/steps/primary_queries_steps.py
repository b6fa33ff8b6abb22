"""Steps on a proxy's questions to a member that is being promoted."""

from __future__ import annotations

import curio
from behave import then, when

from features.support.path_scenario import run
from features.support.statement_path import GROUP, StatementPath
from limedyke.messages.control import PrimaryClaim, PrimaryQuery
from limedyke.messages.databases import Consistency

ROUND = 78
ANSWER_S = 0.25
CONNECTIONS, CLIENTS = 2, 8


@when("primary queries: the controllers ask for {ms:d} ms whether b leads")
def step_query(context, ms):
    query = PrimaryQuery(GROUP, ROUND, context.path.fence, "b", ms)
    run(context, context.path.groups.query_primary, query)


@then("primary queries: no claim is reported")
def step_no_claim(context):
    assert not context.reporter.claims, context.reporter.claims


@then("primary queries: one claim of b with its term is reported within {ms:d} ms")
def step_claim(context, ms):
    run(context, curio.sleep, ms / 1_000)
    expected = PrimaryClaim(GROUP, ROUND, "b", 0, context.path.group.term)
    assert context.reporter.claims == [expected], context.reporter.claims


@when("primary queries: the proxy looks for a primary")
def step_search(context):
    path = context.path
    run(context, path.runner.queries.search_primary, path.groups.groups[GROUP])


@then("primary queries: b is taken for the primary within {ms:d} ms")
def step_found(context, ms):
    run(context, curio.sleep, ms / 1_000)
    assert context.path.groups.groups[GROUP].self_reported_primary == "b"


@then("primary queries: a is confirmed as the primary")
def step_confirmed(context):
    assert context.path.groups.groups[GROUP].roles.is_confirmed("a")


async def _ask_slow_member(path: StatementPath, seconds: float) -> None:
    """Ask a slow member whether it leads, while reads wait for connections; then end."""
    await path.start(CONNECTIONS)
    await curio.spawn(path.groups.watch, daemon=True)
    for member in path.group.members.values():
        member.faults.answers_travel_s = ANSWER_S
    for _ in range(CLIENTS):
        client, _ = await path.connect()
        await curio.spawn(client.ask, "READ x", daemon=True)
    path.primary = ""
    path.term += 1
    path.fence += 1
    await path.tell_view()
    await path.groups.query_primary(PrimaryQuery(GROUP, ROUND, path.fence, "b", 1_000))
    await curio.sleep(seconds)
    await path.groups.close()


@then(
    "primary queries: a process that ends {ms:d} ms after a question to a slow member ends without "
    "an error"
)
def step_ends(context, ms):
    kernel = curio.Kernel()
    path = StatementPath(Consistency.PRIMARY)
    kernel.run(_ask_slow_member, path, ms / 1_000)
    kernel.run(shutdown=True)
