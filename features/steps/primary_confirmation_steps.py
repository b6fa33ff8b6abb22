"""Steps on what a proxy believes of the recorded primary."""

from __future__ import annotations

import time

import curio
from behave import given, step, then, when

from features.support.path_scenario import begin, run
from features.support.statement_path import GROUP, LineClient, StatementPath, elapsed_ms
from limedyke.core.statements.member_roles import MemberRoles
from limedyke.core.statements.time_estimate import TimeEstimate
from limedyke.messages.databases import Consistency

CONNECTIONS = 4
RETRY_S = 0.02
STATUS_LIMIT_S = 1.0
SLOW_SPREAD_S = 0.02
HELD_ABOVE = 1
NOT_RUN_WORDS = ("BUSY", "LAGGING")
"""The errors that promise that nothing of a statement is kept."""


@given("confirmation: a primary database on primary a and replicas b and c, which lag by {ms:d} ms")
def step_path(context, ms):
    path = StatementPath(Consistency.PRIMARY)
    path.group.lag_s = ms / 1_000
    begin(context, path, CONNECTIONS)
    context.client, _ = run(context, path.connect)


@given("confirmation: members answer after {ms:d} ms, which the proxy {knows}")
def step_slow(context, ms, knows):
    for member in context.path.group.members.values():
        member.faults.answers_travel_s = ms / 1_000
    if knows == "knows":
        for observed in context.path.groups.groups[GROUP].observed_members:
            observed.answer = TimeEstimate(ms / 1_000, SLOW_SPREAD_S, True)
            observed.opening = TimeEstimate(ms / 1_000, SLOW_SPREAD_S, True)


@given("confirmation: commits wait for a replica")
def step_synchronous(context):
    context.path.group.synchronous_replicas = 1
    run(context, context.path.tell_view)


@when("confirmation: x is written as {value:w}")
def step_write(context, value):
    assert run(context, context.client.ask, f"WRITE x {value}") == "done I"


@when("confirmation: another proxy writes x as {value:w}")
def step_written_elsewhere(context, value):
    group = context.path.group

    async def write() -> None:
        await group.commit(group.primary, f"other-{value}", (("x", value),))

    run(context, write)


@when("confirmation: b is recorded as the primary, and a still leads")
def step_recorded_early(context):
    context.path.primary = "b"
    context.path.term += 1
    context.path.fence += 1
    run(context, context.path.tell_view)


@when("confirmation: c receives nothing, and leads, and the proxy does not know")
def step_deaf_leads(context):
    context.path.group.members["c"].faults.deaf = True
    context.path.group.promote("c")


@when("confirmation: c receives nothing")
def step_deaf(context):
    context.path.group.members["c"].faults.deaf = True


@when("confirmation: c leads, and the proxy does not know")
def step_leads_unknown(context):
    context.path.group.promote("c")


@when("confirmation: b leads")
def step_leads(context):
    context.path.group.promote("b")


@when("confirmation: a refuses a write as a replica")
def step_refuses_write(context):
    told = run(context, context.client.ask, "WRITE y 1")
    assert told.split(" ")[0] in ("done", *NOT_RUN_WORDS), told


@when("confirmation: a answers a status query")
def step_status(context):
    group = context.path.groups.groups[GROUP]
    queries = context.path.runner.queries
    run(context, queries.ask_role, group, group.pools["a"], STATUS_LIMIT_S)


@when("confirmation: {count:d} terms are granted one after the other")
def step_grants(context, count):
    path = context.path
    path.primary = ""
    for _ in range(count):
        path.term += 1
        path.fence += 1
        run(context, path.tell_view)


@when("confirmation: {name:w} is held")
def step_hold(context, name):
    group = context.path.group
    assert group.hold(group.members[name], group.term + HELD_ABOVE)


@step("confirmation: {ms:d} ms pass")
def step_pass(context, ms):
    run(context, curio.sleep, ms / 1_000)


async def _read_for(client: LineClient, text: str, ms: int) -> list[str]:
    """Return what a client is told that repeats a read for a time."""
    end = time.monotonic() + ms / 1_000
    told = []
    while time.monotonic() < end:
        told.append(await client.ask(text))
        await curio.sleep(RETRY_S)
    return told


@then('confirmation: for {ms:d} ms every "{text}" is told {value:w}, or is refused as not run')
def step_reads_or_refused(context, ms, text, value):
    told = run(context, _read_for, context.client, text, ms)
    refused = tuple(f"{word} I" for word in NOT_RUN_WORDS)
    assert all(found in (f"{value} done I", *refused) for found in told), told


@then('confirmation: for {ms:d} ms every "{text}" is told {value:w}')
def step_reads(context, ms, text, value):
    told = run(context, _read_for, context.client, text, ms)
    assert all(found == f"{value} done I" for found in told), told


@then("confirmation: the last read ran at {name:w}")
def step_ran_at(context, name):
    assert context.path.runs_of("READ x")[-1] == name, context.path.runs_of("READ x")


@then("confirmation: the last read did not run at {name:w}")
def step_ran_elsewhere(context, name):
    assert context.path.runs_of("READ x")[-1] != name, context.path.runs_of("READ x")


@step('confirmation: "{text}" is told "{expected}" within {ms:d} ms')
def step_told(context, text, expected, ms):
    since = time.monotonic()
    told = run(context, context.client.ask, text)
    assert told == expected, told
    assert elapsed_ms(since) < ms, elapsed_ms(since)


@then('confirmation: "{text}" ran nowhere')
def step_ran_nowhere(context, text):
    assert not context.path.runs_of(text), context.path.runs_of(text)


@then("confirmation: {name:w} is still held")
def step_still_held(context, name):
    assert context.path.group.members[name].held_term


@given("confirmation: a is recorded as the primary at second {second:d}")
def step_roles(context, second):
    context.roles = MemberRoles()
    context.roles.primary_recorded("a", float(second))


@when("confirmation, members say: {order}")
def step_say(context, order):
    roles = context.roles
    for word in order.split(", "):
        match word.split(" "):
            case ["nothing"]:
                continue
            case ["C", times]:
                roles.claimed("a", float(times.split("-")[0]))
            case ["D", times]:
                asked_at, arrived_at = times.split("-")
                roles.denied("a", float(asked_at), float(arrived_at))
            case ["recorded", second]:
                roles.primary_recorded("a", float(second))
            case ["replaced", second]:
                roles.primary_recorded("b", float(second))
            case ["restarted", _]:
                roles.forget("a")
            case _:
                raise AssertionError(f"unknown word {word!r}")


@then("confirmation: a {confirmed} and {denies}")
def step_believes(context, confirmed, denies):
    assert context.roles.is_confirmed("a") == (confirmed == "is confirmed")
    assert context.roles.denies("a") == (denies == "denies")
