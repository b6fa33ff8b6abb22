"""Steps on the session of statements."""

from __future__ import annotations

from behave import given, then, when

from limedyke.core.statements.session import EndTransaction, RunOnMember, StatementSession
from limedyke.messages.databases import Consistency, Database
from limedyke.messages.statements import Statement, StatementKind
from limedyke.messages.work import LogPosition
from limedyke.result_codes import CODE_BY_NUMBER

STATEMENTS = {
    "begin": Statement("1", StatementKind.BEGIN, "BEGIN"),
    "begin-read": Statement("1", StatementKind.BEGIN_READ, "BEGIN READ"),
    "commit": Statement("1", StatementKind.COMMIT, "COMMIT"),
    "rollback": Statement("1", StatementKind.ROLLBACK, "ROLLBACK"),
    "read": Statement("1", StatementKind.READ, "READ x", "x"),
    "write": Statement("1", StatementKind.WRITE, "WRITE x d", "x", "d"),
    "set": Statement("1", StatementKind.SET, "SET n v", "n", "v"),
    "prepare r": Statement("1", StatementKind.PREPARE, "PREPARE s READ q", "s", "q", False),
    "prepare w": Statement("1", StatementKind.PREPARE, "PREPARE s WRITE q", "s", "q", True),
    "execute": Statement("1", StatementKind.EXECUTE, "EXECUTE s x", "s", "x"),
    "deallocate": Statement("1", StatementKind.DEALLOCATE, "DEALLOC s", "s"),
}


@given("statement session: consistency {consistency}")
def step_session(context, consistency):
    database = Database("db", "g", Consistency(consistency), 800, 1000, 1, 1500)
    context.session = StatementSession(database)


def ask(session: StatementSession, asked: str) -> str:
    """Plan one statement, let a member answer it with success, and return the planned action."""
    if asked == "fail":
        session.fail_transaction()
        return "failed"
    plan = session.plan(STATEMENTS[asked])
    if isinstance(plan, EndTransaction):
        return "end"
    if not isinstance(plan, RunOnMember):
        return CODE_BY_NUMBER[plan.code].label if plan.code else "done"
    is_pinned = session.transaction is not None and session.transaction.at_member
    where = "primary" if session.needs_primary(plan) else "any"
    session.ran(plan)
    return "run-pinned" if is_pinned else f"run-{where}"


@when('statement session: a client asks "{asked}"')
def step_asks(context, asked):
    context.outcomes = [ask(context.session, statement) for statement in asked.split(", ")]


@then('statement session: the outcomes are "{outcomes}"')
def step_outcomes(context, outcomes):
    assert ", ".join(context.outcomes) == outcomes, context.outcomes


def position(text: str) -> LogPosition:
    """Return the position written as TERM.NUMBER."""
    term, _, number = text.partition(".")
    return LogPosition(int(term), int(number))


@when("statement session: it has written up to {first}, then {second}, then {third}")
def step_written(context, first, second, third):
    for text in (first, second, third):
        context.session.wrote_up_to(position(text))


@then("statement session: it must see {expected}")
def step_must_see(context, expected):
    assert context.session.written == position(expected), context.session.written
