"""Steps on the path of a statement: faults and roles of members, and what ran on them."""

from __future__ import annotations

import time
from unittest import mock

import curio
from behave import given, step, then, when

from features.steps.statement_path_steps import run
from features.support.line_platform.member_session import ALWAYS
from features.support.statement_path import GROUP, elapsed_ms
from limedyke.proxy.statements.members.member_connection import MemberConnection
from limedyke.proxy.statements.members.member_queries import MemberQueries

HANGS_S = 3_600.0


@given("statement path: replicas lag by {lag:d} ms")
def step_lag(context, lag):
    context.path.group.lag_s = lag / 1_000


@given("statement path: the staleness bound is {bound:d} ms, and replicas lag by {lag:d} ms")
def step_bound(context, bound, lag):
    context.path.group.lag_s = lag / 1_000
    context.path.staleness_ms = bound
    run(context, context.path.tell_view)


@given("statement path: {name:w} is {milliseconds:d} ms away, one way")
def step_far(context, name, milliseconds):
    run(context, context.path.move_away, name, milliseconds / 1_000)


@given("statement path: another proxy has written {value} to {thing:w}")
def step_written_elsewhere(context, value, thing):
    group = context.path.group
    run(context, group.commit, group.primary, "elsewhere", ((thing, value),))


@step("statement path: {name:w} takes {milliseconds:d} ms for a read")
def step_slow(context, name, milliseconds):
    context.path.group.members[name].faults.work_s = milliseconds / 1_000


def _delay_connecting(context, name, seconds):
    """Delay attempts to connect to a member."""
    open_connection = MemberConnection.open
    address = context.path.group.members[name].address

    async def open_late(to, *arguments):
        if to == address:
            await curio.sleep(seconds)
        return await open_connection(to, *arguments)

    patch = mock.patch.object(MemberConnection, "open", open_late)
    patch.start()
    context.add_cleanup(patch.stop)


@given("statement path: attempts to connect to {name:w} hang")
def step_connecting_hangs(context, name):
    _delay_connecting(context, name, HANGS_S)


@given("statement path: attempts to connect to {name:w} take {milliseconds:d} ms")
def step_connecting_takes(context, name, milliseconds):
    _delay_connecting(context, name, milliseconds / 1_000)


@given(
    "statement path: attempts to connect to {name:w} take {milliseconds:d} ms, "
    "and may take {limit_ms:d} ms"
)
def step_connecting_may_take(context, name, milliseconds, limit_ms):
    _delay_connecting(context, name, milliseconds / 1_000)
    pool = context.path.groups.groups[GROUP].pools[name]
    pool.connector.connect_timeout_s = limit_ms / 1_000


@then("statement path: at least {count:d} of them were served by replicas")
def step_by_replicas(context, count):
    runs = context.path.runs_of("READ x")
    assert sum(member != "a" for member in runs) >= count, runs


@then("statement path: {name:w} was queried for its position {count:d} times")
def step_asked_position(context, name, count):
    asked = context.path.group.members[name].status_questions
    assert asked == count, asked


@step("statement path: {name:w} loses {count:d} answer")
def step_loses(context, name, count):
    context.path.group.members[name].faults.lose_answers = count


@step("statement path: {name:w} fails {count:d} read")
def step_fails(context, name, count):
    context.path.group.members[name].faults.fail_reads = count


@step("statement path: all members fail reads")
def step_all_fail(context):
    for member in context.path.group.members.values():
        member.faults.fail_reads = ALWAYS


@when('statement path: {count:d} clients ask "{text}", one after the other')
def step_many_ask(context, count, text):
    async def ask_all():
        for _ in range(count):
            client, _ = await context.path.connect()
            await client.ask(text)

    run(context, ask_all)


@then("statement path: members turned away at least {least:d} and at most {most:d} statements")
def step_turned_away(context, least, most):
    members = context.path.group.members.values()
    count = sum(ALWAYS - member.faults.busy for member in members)
    assert least <= count <= most, count


@step("statement path: {name:w} loses 1 answer and is busy from then on, the others are busy")
def step_loses_then_busy(context, name):
    for member in context.path.group.members.values():
        member.faults.busy = ALWAYS
    faults = context.path.group.members[name].faults
    faults.busy = 0
    faults.lose_answers = 1
    faults.busy_after_loss = True


@step("statement path: {name:w} is busy {count:d} times")
def step_busy(context, name, count):
    context.path.group.members[name].faults.busy = count


@step("statement path: all members are busy")
def step_all_busy(context):
    for member in context.path.group.members.values():
        member.faults.busy = ALWAYS


@when(
    'statement path: the client asks "{asked}", and after {milliseconds:d} ms {name:w} leads, '
    "and the proxy knows"
)
def step_ask_and_promote(context, asked, milliseconds, name):
    async def ask():
        task = await curio.spawn(context.client.ask, asked)
        await curio.sleep(milliseconds / 1_000)
        context.path.group.promote(name)
        context.path.primary = name
        context.path.term = 2
        await context.path.tell_view()
        return await task.join()

    began_at = time.monotonic()
    context.told = run(context, ask)
    context.took_ms = elapsed_ms(began_at)


@step("statement path: {name:w} crashes")
def step_crashes(context, name):
    run(context, context.path.group.crash, name)


@step("statement path: {name:w} turns silent")
def step_silent(context, name):
    context.path.group.members[name].faults.silent = True


@step("statement path: all open connections to {name:w} go silent")
def step_connections_silent(context, name):
    for session in context.path.group.members[name].sessions:
        session.is_silent = True


@given('statement path: the safeguard "examined on a new connection" is {state:w}')
def step_examined(context, state):
    if state == "off":
        patch = mock.patch.object(MemberQueries, "diagnose_silence", _ask_on_any_connection)
        patch.start()
        context.add_cleanup(patch.stop)


async def _ask_on_any_connection(queries, pool, limit_s):
    """Count a missing answer on any connection as the member's silence."""
    asked_at = time.monotonic()
    await queries.ask_status(pool, limit_s)
    if pool.observed.contact_at < asked_at:
        pool.observed.probe_timed_out(time.monotonic())


@step("statement path: {name:w} answers again")
def step_answers_again(context, name):
    context.path.group.members[name].faults.silent = False


@step("statement path: {name:w} drains")
def step_drains(context, name):
    context.path.draining.add(name)
    run(context, context.path.tell_view)


@step("statement path: the address of b passes to another member")
def step_passes(context):
    context.path.group.members["b"].identity = "d"
    for session in list(context.path.group.members["b"].sessions):
        run(context, session.abort)


@step("statement path: b leads without the proxy knowing")
def step_leads_unknown(context):
    context.path.group.promote("b")


@step("statement path: b leads, and the proxy knows")
def step_leads_known(context):
    context.path.group.promote("b")
    context.path.primary = "b"
    context.path.term = 2
    run(context, context.path.tell_view)


@step("statement path: answers of {name:w} are delayed by {milliseconds:d} ms")
def step_travel(context, name, milliseconds):
    context.path.group.members[name].faults.answers_travel_s = milliseconds / 1_000


@step(
    'statement path: {name:w} begins to lead while another client\'s "{text}" runs there, '
    "and the proxy knows"
)
def step_leads_meanwhile(context, name, text):
    async def lead_meanwhile() -> str:
        client, _ = await context.path.connect()
        task = await curio.spawn(client.ask, text)
        while not context.path.runs_of(text):
            await curio.sleep(0.01)
        context.path.group.promote(name)
        context.path.primary = name
        context.path.term = 2
        await context.path.tell_view()
        return await task.join()

    told = run(context, lead_meanwhile)
    assert told.endswith("done I"), told


@then("statement path: no position of the primary is known")
def step_no_position(context):
    known = context.path.groups.groups[GROUP].positions.not_older_than(0.0)
    assert known is None, known


@step("statement path: no primary is recorded")
def step_no_primary(context):
    context.path.primary = ""
    context.path.term = 2
    run(context, context.path.tell_view)


@then('statement path: "{text}" ran at {member:w}')
def step_ran_at(context, text, member):
    runs = context.path.runs_of(text)
    assert runs[-1:] == [member], runs


@then('statement path: "{text}" ran nowhere')
def step_ran_nowhere(context, text):
    assert not context.path.runs_of(text), context.path.runs_of(text)


@then('statement path: "{text}" ran {count:d} times')
def step_ran_times(context, text, count):
    runs = context.path.runs_of(text)
    assert len(runs) == count, runs


@then('statement path: all ran at a with "{setting}"')
def step_all_ran(context, setting):
    name, _, value = setting.partition("=")
    runs = context.path.group.runs
    assert runs and {run.member for run in runs} == {"a"}, runs
    assert all(run.values == {name: value} for run in runs), runs


@then(
    "statement path: the other client's work ran without settings, the client's with \"{setting}\""
)
def step_apart(context, setting):
    name, _, value = setting.partition("=")
    seen = {run.text.split(" ", 2)[2]: run.values for run in context.path.group.runs}
    assert seen["x 1"] == seen["x 2"] == {name: value}, seen
    assert [r.values for r in context.path.group.runs if r.text == "WRITE y 1"] == [{}], seen
