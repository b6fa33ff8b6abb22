"""Steps on the whole path of a statement."""

from __future__ import annotations

import re
import time

import curio
from behave import given, step, then, when

from features.support.statement_path import GROUP, StatementPath, elapsed_ms, summary
from limedyke.core.statements.time_estimate import TimeEstimate
from limedyke.messages.databases import Consistency


def run(context, function, *arguments):
    """Run a coroutine in the scenario's kernel, where daemons go on between steps."""
    return context.kernel.run(function, *arguments)


def begin(context, path: StatementPath) -> None:
    """Create the scenario's kernel, which is shut down at the end of the scenario."""
    context.kernel = curio.Kernel()
    context.path = path

    def end() -> None:
        context.kernel.run(path.stop)
        context.kernel.run(shutdown=True)

    context.add_cleanup(end)


@given("statement path: a {consistency} database on primary a and replicas b c, the proxy beside b")
def step_path(context, consistency):
    begin(context, StatementPath(Consistency(consistency)))
    run(context, context.path.start)
    context.client, _ = run(context, context.path.connect)
    context.other = None


@given("statement path: a proxy without a control view")
def step_without_view(context):
    begin(context, StatementPath(Consistency.SESSION))


@given("statement path: {name:w} recently answered within {milliseconds:d} ms")
def step_answered(context, name, milliseconds):
    context.path.groups.groups[GROUP].pools[name].observed.answer.learn(milliseconds / 1_000)


@given(
    "statement path: statements have a timeout of {limit:d} ms, a target of "
    "{target:d} ms and {tries:d} attempts"
)
def step_times(context, limit, target, tries):
    context.path.statement_timeout_ms = limit
    context.path.target_latency_ms = target
    context.path.maximum_attempts = tries
    run(context, context.path.tell_view)


@step("statement path: all members recently answered within {milliseconds:d} ms")
def step_all_answered(context, milliseconds):
    for pool in context.path.groups.groups[GROUP].pools.values():
        pool.observed.answer = TimeEstimate(milliseconds / 1_000, milliseconds / 2_000, True)


@when("statement path: {count:d} clients read at once")
def step_read_at_once(context, count):
    _ask_at_once(context, count, "READ x")


@given("statement path: transactions may be idle for {rest:d} ms")
def step_idle_limit(context, rest):
    context.path.idle_in_transaction_ms = rest
    run(context, context.path.tell_view)


@when('statement path: the client asks "{asked}" and is told "{told}"')
def step_ask(context, asked, told):
    began_at = time.monotonic()
    context.told = run(context, context.client.ask, asked)
    context.took_ms = elapsed_ms(began_at)
    assert context.told == told, context.told


@when('statement path: another client asks "{asked}" and is told "{told}"')
def step_other_asks(context, asked, told):
    if context.other is None:
        context.other, _ = run(context, context.path.connect)
    answer = run(context, context.other.ask, asked)
    assert answer == told, answer


@step("statement path: {milliseconds:d} ms pass")
def step_wait(context, milliseconds):
    run(context, curio.sleep, milliseconds / 1_000)


@when("statement path: the process will pause for {still:d} ms, in {after:d} ms")
def step_pause(context, still, after):
    async def pause():
        await curio.sleep(after / 1_000)
        time.sleep(still / 1_000)

    run(context, _spawn, pause)


async def _spawn(function):
    await curio.spawn(function, daemon=True)


@step("statement path: nothing happens")
def step_nothing(context):
    pass


@then("statement path: the client's session is {state:w}")
def step_session_state(context, state):
    if state == "open":
        assert run(context, context.client.ask, "SET tone low") == "done I"
    else:
        run(context, context.client.expect_end)


@step("statement path: the outage has lasted longer than usual")
def step_long_outage(context):
    outage = context.path.groups.groups[GROUP].outage
    now = time.monotonic()
    for seconds in (5.0, 4.2, 3.4, 2.6, 1.8, 1.0, 0.2):
        outage.note_no_primary(now - seconds)


@given("statement path: recent changes of primary took {milliseconds:d} ms")
def step_outage_times(context, milliseconds):
    for _ in range(10):
        context.path.groups._outage_times.learn(milliseconds / 1_000)


@given("statement path: statements have a timeout of {milliseconds:d} ms")
def step_statement_timeout(context, milliseconds):
    context.path.statement_timeout_ms = milliseconds
    run(context, context.path.tell_view)


@when("statement path: another client begins to write")
def step_begin_to_write(context):
    async def begin_one():
        client, _ = await context.path.connect()
        await curio.spawn(client.ask, "WRITE y 1", daemon=True)

    run(context, begin_one)


@then('statement path: it is told "{told}" within {limit:d} ms')
def step_told_within(context, told, limit):
    assert context.told == told, context.told
    assert context.took_ms < limit, context.took_ms


@then("statement path: it is told to retry in {least:d} to {most:d} ms")
def step_retry_after(context, least, most):
    found = re.search(r"try again in (\d+) ms", " ".join(context.client.last_answer))
    assert found is not None, context.client.last_answer
    assert least <= int(found[1]) <= most, context.client.last_answer


def _ask_at_once(context, count, text):
    """Send the same statement from several clients at once; record the answers."""

    async def ask_all():
        clients = [(await context.path.connect())[0] for _ in range(count)]
        tasks = [await curio.spawn(client.ask, text) for client in clients]
        return [await task.join() for task in tasks]

    began_at = time.monotonic()
    context.all_told = run(context, ask_all)
    context.took_ms = elapsed_ms(began_at)


@when("statement path: {count:d} clients write at once")
def step_write_at_once(context, count):
    _ask_at_once(context, count, "WRITE x 1")


@then('statement path: all are told "{told}"')
def step_told_all(context, told):
    assert set(context.all_told) == {told}, context.all_told


@when("statement path: the client disconnects")
def step_leaves(context):
    run(context, context.client.close)


@when("statement path: the database is removed")
def step_removed(context):
    context.path.with_database = False
    run(context, context.path.tell_view)


@when('statement path: the client sends "{lines}"')
def step_sends(context, lines):
    run(context, context.client.send, lines.replace("\\r", "\r").replace("\\n", "\n"))


@then('statement path: it is told "{first}", "{second}", "{third}", "{fourth}"')
def step_told(context, first, second, third, fourth):
    async def answers() -> list[str]:
        return [summary(await context.client.answer()) for _ in range(4)]

    told = run(context, answers)
    assert told == [first, second, third, fourth], told


@then('statement path: a session at "{database}" is told "{told}"')
def step_session(context, database, told):
    _, answer = run(context, context.path.connect, database)
    assert answer == told, answer


@then("statement path: that took less than {limit:d} ms")
def step_took(context, limit):
    assert context.took_ms < limit, context.took_ms


@then("statement path: {count:d} read was hedged")
def step_hedged(context, count):
    found = context.path.registry.get_sample_value("limedyke_statements_hedged_reads_total")
    assert found == count, found
