"""Turns a member's answer into the client's answer, and updates the session."""

from __future__ import annotations

from limedyke.core.statements.session import RunOnMember, StatementSession, refusal
from limedyke.messages.statements import (
    AnswerKind,
    MemberAnswer,
    StatementAnswer,
    StatementKind,
)
from limedyke.proxy.statements.members.pinned_connection import PinnedConnection
from limedyke.proxy.statements.statement_outcome import StatementOutcome
from limedyke.proxy.statements.statement_refusal import RETRY_AFTER_MS
from limedyke.result_codes import ResultCode

MAY_HAVE_RUN = frozenset({AnswerKind.LOST, AnswerKind.TIMED_OUT, AnswerKind.FAILED})


async def settle_first(
    session: StatementSession, run: RunOnMember, pinned: PinnedConnection, answer: MemberAnswer
) -> StatementOutcome:
    """Process the answer to a statement outside a transaction, or to the first one inside."""
    if session.transaction is not None:
        return await settle_in_transaction(session, run, pinned, answer)
    if answer.kind in (AnswerKind.LOST, AnswerKind.TIMED_OUT):
        await pinned.abandon()
    else:
        await pinned.release()
    if answer.kind is not AnswerKind.DONE:
        return StatementOutcome(_refusal_of(answer, run))
    if run.writes:
        session.wrote_up_to(answer.position)
    return StatementOutcome(_success(answer))


async def settle_in_transaction(
    session: StatementSession, run: RunOnMember, pinned: PinnedConnection, answer: MemberAnswer
) -> StatementOutcome:
    """Process the answer to a statement of a transaction that is open on a connection."""
    if answer.kind is not AnswerKind.DONE:
        return await _transaction_failed(session, run, pinned, answer)
    session.ran(run)
    if run.statement.kind is not StatementKind.COMMIT:
        pinned.begin_rest(session.database.priority)
        return StatementOutcome(_success(answer), pinned)
    session.wrote_up_to(answer.position if run.writes else None)
    await pinned.give_back()
    return StatementOutcome(_success(answer))


def settle_unanswered(session: StatementSession, run: RunOnMember, detail: str) -> StatementOutcome:
    """Return the result of a statement that was sent and will not be answered.

    Its open transaction can't be committed any more; the member or home proxy rolls it back.
    """
    is_commit = run.statement.kind is StatementKind.COMMIT
    is_in_transaction = session.transaction is not None
    if is_commit:
        session.close_transaction()
    else:
        session.fail_transaction()
    if session.was_sent and run.writes and (is_commit or not is_in_transaction):
        return StatementOutcome(refusal(ResultCode.OUTCOME_UNKNOWN, detail))
    if is_in_transaction:
        return StatementOutcome(refusal(ResultCode.TRANSACTION_LOST, detail, RETRY_AFTER_MS))
    return StatementOutcome(refusal(ResultCode.READ_UNANSWERED, detail))


def settle_ended_at_rest(
    session: StatementSession, run: RunOnMember, pinned: PinnedConnection
) -> StatementOutcome:
    """Return the result of a statement whose transaction gave way to a request while it rested."""
    if run.statement.kind is StatementKind.COMMIT:
        session.close_transaction()
    else:
        session.fail_transaction()
    detail = f"it rested while requests waited for connections to {pinned.identity}"
    retry_after_ms = pinned.pool.retry_after_ms(session.database.priority)
    return StatementOutcome(refusal(ResultCode.IDLE_IN_TRANSACTION, detail, retry_after_ms))


async def _transaction_failed(
    session: StatementSession, run: RunOnMember, pinned: PinnedConnection, answer: MemberAnswer
) -> StatementOutcome:
    """End a transaction after a failed statement; return its known outcome."""
    is_commit = run.statement.kind is StatementKind.COMMIT
    await pinned.abandon()
    if is_commit:
        session.close_transaction()
    else:
        session.fail_transaction()
    if is_commit and run.writes and answer.kind in MAY_HAVE_RUN:
        return StatementOutcome(refusal(ResultCode.OUTCOME_UNKNOWN, answer.detail))
    if answer.kind is AnswerKind.FAILED and not is_commit:
        return StatementOutcome(refusal(ResultCode.STATEMENT_FAILED, answer.detail))
    detail = f"{answer.kind} at {pinned.identity}"
    retry_after_ms = pinned.pool.retry_after_ms(session.database.priority)
    return StatementOutcome(refusal(ResultCode.TRANSACTION_LOST, detail, retry_after_ms))


def _success(answer: MemberAnswer) -> StatementAnswer:
    return StatementAnswer(rows=answer.rows, signature=answer.signature)


def _refusal_of(answer: MemberAnswer, run: RunOnMember) -> StatementAnswer:
    """Return the refusal for a failed statement outside a transaction."""
    match answer.kind:
        case AnswerKind.FAILED:
            return refusal(ResultCode.STATEMENT_FAILED, answer.detail)
        case AnswerKind.TIMED_OUT:
            return refusal(ResultCode.STATEMENT_TIMEOUT, answer.detail)
    if run.writes:
        return refusal(ResultCode.OUTCOME_UNKNOWN, answer.detail)
    return refusal(ResultCode.READ_UNANSWERED, answer.detail)
