"""Steps for the protocol after the login, on the sans-IO session."""

from __future__ import annotations

from behave import given, then, when
from behave.runner import Context

from features.support.session_exchange import SessionExchange
from limedyke.core.sessions.client_exchange import LeaveRequested, Moment, Tick, UnitEnded
from limedyke.messages.work import AnswerEnd, LogPosition, TransactionStatus, WorkUnit
from limedyke.postgres.client_framing import ClientFramer
from limedyke.result_codes import Failure, ResultCode


@given("client: a session")
def given_session(context: Context) -> None:
    context.exchange = SessionExchange(context.folder)


@when("client: the client sends {notation}")
def when_sends(context: Context, notation: str) -> None:
    context.answer = context.exchange.send(notation)


@when("client: {seconds:d} seconds pass")
def when_time_passes(context: Context, seconds: int) -> None:
    start = context.exchange.moment
    moment = Moment(start.now + seconds, start.unix_s + seconds)
    context.exchange.moment = moment
    context.answer = context.exchange.handle(Tick(moment))


@when("client: {milliseconds:d} ms pass")
def when_moment_passes(context: Context, milliseconds: int) -> None:
    start = context.exchange.moment
    context.exchange.moment = Moment(start.now + milliseconds / 1_000, start.unix_s)


@when("client: an answer for another unit arrives")
def when_other_answer(context: Context) -> None:
    end = AnswerEnd(9_999, TransactionStatus.IDLE, LogPosition(9, 9), "a", False)
    context.answer = context.exchange.handle(UnitEnded(end, context.exchange.moment))


@when("client: the session is asked to leave")
def when_asked_to_leave(context: Context) -> None:
    exchange = context.exchange
    context.answer = exchange.handle(LeaveRequested(Failure(ResultCode.DRAINING), exchange.moment))


@then("client: the units were {units}")
def then_units(context: Context, units: str) -> None:
    found = " ".join(unit.access.value for unit in context.exchange.units) or "none"
    assert found == units, found


@then("client: the client receives {answer}")
def then_answer(context: Context, answer: str) -> None:
    expected = "" if answer == "nothing" else answer
    assert context.answer == expected, context.answer


@then("client: the last unit binds each statement by its back-end name")
def then_bound_by_back_end_names(context: Context) -> None:
    unit = context.exchange.units[-1]
    assert unit.prepared
    for statement in unit.prepared:
        assert f"\0{statement.name}\0".encode() in unit.data, unit.data


@then("client: the last unit contains no message {kind}")
def then_no_message(context: Context, kind: str) -> None:
    kinds = _kinds(context.exchange.units[-1])
    assert kind not in kinds, kinds


@then("client: transactions abandoned: {count:d}")
def then_abandoned(context: Context, count: int) -> None:
    numbers = {work.transaction for work in context.exchange.abandoned if work.transaction}
    assert len(numbers) == count, context.exchange.abandoned


@then("client: the connection is closed")
def then_closed(context: Context) -> None:
    assert context.exchange.closed


def _kinds(unit: WorkUnit) -> str:
    framer = ClientFramer(1 << 20)
    return "".join(chr(message.kind) for message in framer.feed(unit.data))
