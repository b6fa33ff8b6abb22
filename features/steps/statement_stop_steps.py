"""Steps on what a stopping proxy accepts and answers."""

from __future__ import annotations

import time

import curio
from behave import given, step, then, when

from features.steps.statement_path_steps import begin, run
from features.support.statement_path import GROUP
from features.support.statement_stop import StoppingPath
from limedyke.core.statements.session import StatementSession
from limedyke.core.statements.stop_schedule import StopSchedule
from limedyke.messages.control import ConnectionLease
from limedyke.messages.databases import Consistency, Database
from line_protocol import parse_statement

REFUSED = "BUSY I"
LEAVES_SERVICE = "LD3006"
SLACK_S = 0.3
"""Allowed delay, in seconds, on a loaded machine."""
UNDER_WAY_S = 0.1
"""Seconds after which a statement has reached its member."""
NONE = "none"


@given("statement stop: a stop of {whole_s:g} s that begins at {began_at:g} s")
def step_schedule(context, whole_s, began_at):
    context.schedule = StopSchedule.of(began_at, whole_s)


@then("statement stop: at {moment:g} s {text} is {verdict:w}")
def step_taken(context, moment, text, verdict):
    taken = context.schedule.takes(parse_statement("q", text).kind, moment)
    assert taken == (verdict == "taken"), taken


@given(
    "statement stop: a statement of {timeout:d} ms that is taken {late:d} ms before answers are "
    "due may take {allowed:d} ms"
)
@then(
    "statement stop: a statement of {timeout:d} ms accepted {late:d} ms before "
    "answers are due may take {allowed:d} ms"
)
def step_time(context, timeout, late, allowed):
    database = Database("db", "g", Consistency.SESSION, timeout, 1_000, 1, 0, 2, is_public=True)
    session = StatementSession(database)
    session.begin_statement(100.0 + late / 1_000)
    assert round(session.statement_time_s(100.0) * 1_000) == allowed


def _begin(context, timeout_ms: int = 800) -> None:
    path = StoppingPath(Consistency.SESSION)
    path.statement_timeout_ms = timeout_ms
    begin(context, path)
    run(context, path.start)
    context.client, _ = run(context, path.connect)
    context.other = None


@given("statement stop: a session database on primary a")
def step_path(context):
    _begin(context)


@given("statement stop: a session database on primary a, and statements of {seconds:d} s")
def step_path_of_long(context, seconds):
    _begin(context, seconds * 1_000)
    for text in ("WRITE w 0", "READ w"):
        run(context, context.client.ask, text)


@given("statement stop: a transaction is {state:w}")
def step_transaction(context, state):
    if state == NONE:
        return
    assert run(context, context.client.ask, "BEGIN") == "done T"
    assert run(context, context.client.ask, "WRITE x 1") == "done T"


@given("statement stop: a client with an open transaction, which delays the end")
def step_keeps(context):
    context.keeper, _ = run(context, context.path.connect)
    run(context, context.keeper.ask, "BEGIN")
    run(context, context.keeper.ask, "WRITE y 1")


@step("statement stop: the proxy stops within {whole_s:g} s")
def step_stops(context, whole_s):
    context.signalled_at = time.monotonic()
    run(context, context.path.stop_proxy, whole_s)


@when('statement stop: {state}, the client asks "{text}", and the proxy stops within {whole_s:g} s')
def step_ask_and_stop(context, state, text, whole_s):
    if state == "members answer after 5 s":
        for member in context.path.group.members.values():
            member.faults.answers_travel_s = 5.0
    elif state == "all connections are in use":
        lease = ConnectionLease(GROUP, "shared", 1)
        run(context, context.path.groups.leases_changed, (lease,), float("inf"))
    else:
        run(context, context.path.groups.leases_changed, (), 0.0)
    context.asking = run(context, curio.spawn, context.client.ask, text)
    run(context, curio.sleep, UNDER_WAY_S)
    step_stops(context, whole_s)


@then('statement stop: it is told "{told}" when answers are due')
def step_told_when_due(context, told):
    answer = run(context, context.asking.join)
    late_s = time.monotonic() - context.path.schedule.answers_until
    assert answer == told, (answer, context.client.last_answer)
    assert -0.01 <= late_s <= SLACK_S, (late_s, context.client.last_answer)


@then('statement stop: it is told "{told}" before answers are due')
def step_told_before_due(context, told):
    answer = run(context, context.asking.join)
    assert answer == told, (answer, context.client.last_answer)
    assert time.monotonic() <= context.path.schedule.answers_until + SLACK_S


@then("statement stop: the proxy has left service within {whole_s:g} s")
def step_left(context, whole_s):
    run(context, context.client.close)
    run(context, context.path.wait_for_end)
    assert context.path.control.is_done
    assert time.monotonic() - context.signalled_at < whole_s


@then("statement stop: it has left service after {least:d} to {most:d} ms")
def step_left_after(context, least, most):
    run(context, context.path.wait_for_end)
    took_ms = (time.monotonic() - context.signalled_at) * 1_000
    assert least <= took_ms <= most, took_ms


@when("statement stop: idle sessions are due to end")
def step_idle_end(context):
    run(context, context.path.wait_until, "idle_sessions_until")


@step("statement stop: statements are no longer accepted")
def step_no_more(context):
    run(context, context.path.wait_until, "statements_until")


@when('statement stop: the client, which has not read anything yet, asks "{text}"')
def step_crosses(context, text):
    assert context.client.has_unsolicited_data()
    context.told = run(context, context.client.ask, text)


@then('statement stop: it is told "{told}" with {code:w}')
def step_told_with(context, told, code):
    assert context.told == told, context.client.last_answer
    assert code in context.client.last_answer[0], context.client.last_answer


@when('statement stop: the client asks "{text}" repeatedly until the answer is not "{told}"')
def step_goes_on(context, text, told):
    run(context, _ask_until, context, text, told, float("inf"))


async def _ask_until(context, text: str, told: str, until: float) -> None:
    context.told = told
    while context.told == told and time.monotonic() < until:
        context.asked_at = time.monotonic()
        context.told = await context.client.ask(text)
        context.told_at = time.monotonic()


@then('statement stop: that was "{told}" with {code:w}, when statements were no longer accepted')
def step_refused_when_due(context, told, code):
    step_told_with(context, told, code)
    until = context.path.schedule.statements_until
    assert context.told_at >= until, (context.told_at - until, "told too early")
    assert context.asked_at - until <= SLACK_S, (context.asked_at - until, "asked too late")


@when("statement stop: the client asks repeatedly until no transaction may begin")
def step_until_no_transactions(context):
    until = context.path.schedule.transactions_until
    run(context, _ask_until, context, "READ x", "- done I", until)


@then('statement stop: a further session is told "{told}"')
def step_further(context, told):
    _, answer = run(context, context.path.connect)
    assert answer == told, answer
