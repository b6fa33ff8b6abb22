"""What a member's answer to a statement means for the client and its session."""

from __future__ import annotations

from limedyke.core.statements.session import RunOnMember, StatementSession, refusal
from limedyke.messages.statements import (
    AnswerKind,
    MemberAnswer,
    StatementAnswer,
    StatementKind,
)
from limedyke.proxy.statements.members.pinned_connection import PinnedConnection
from limedyke.proxy.statements.statement_outcome import PlacedAnswer
from limedyke.proxy.statements.statement_refusal import RETRY_AFTER_MS
from limedyke.result_codes import ResultCode

MAY_HAVE_RUN = frozenset({AnswerKind.LOST, AnswerKind.TIMED_OUT, AnswerKind.FAILED})


async def settle_first(
    session: StatementSession, run: RunOnMember, pinned: PinnedConnection, answer: MemberAnswer
) -> PlacedAnswer:
    """Take the answer to a statement outside a transaction, or to a transaction's first."""
    if session.transaction is not None:
        return await settle_in_transaction(session, run, pinned, answer)
    if answer.kind in (AnswerKind.LOST, AnswerKind.TIMED_OUT):
        await pinned.abandon()
    else:
        await pinned.release()
    if answer.kind is not AnswerKind.DONE:
        return PlacedAnswer(_failure(answer, run))
    if run.writes:
        session.wrote_up_to(answer.position)
    return PlacedAnswer(_done(answer))


async def settle_in_transaction(
    session: StatementSession, run: RunOnMember, pinned: PinnedConnection, answer: MemberAnswer
) -> PlacedAnswer:
    """Take the answer to a statement of a transaction that is open on a connection."""
    if answer.kind is not AnswerKind.DONE:
        return await _transaction_failed(session, run, pinned, answer)
    session.ran(run)
    if run.statement.kind is not StatementKind.COMMIT:
        return PlacedAnswer(_done(answer), pinned)
    session.wrote_up_to(answer.position if run.writes else None)
    await pinned.give_back()
    return PlacedAnswer(_done(answer))


def settle_unanswered(session: StatementSession, run: RunOnMember, detail: str) -> PlacedAnswer:
    """Say what is known of a statement that was sent, and of which no answer comes any more.

    An open transaction can't be committed any more: who has it rolls it back.
    """
    is_commit = run.statement.kind is StatementKind.COMMIT
    is_in_transaction = session.transaction is not None
    if is_commit:
        session.close_transaction()
    else:
        session.fail_transaction()
    if session.was_sent and run.writes and (is_commit or not is_in_transaction):
        return PlacedAnswer(refusal(ResultCode.OUTCOME_UNKNOWN, detail))
    if is_in_transaction:
        return PlacedAnswer(refusal(ResultCode.TRANSACTION_LOST, detail, RETRY_AFTER_MS))
    return PlacedAnswer(refusal(ResultCode.READ_UNANSWERED, detail))


async def _transaction_failed(
    session: StatementSession, run: RunOnMember, pinned: PinnedConnection, answer: MemberAnswer
) -> PlacedAnswer:
    """End a transaction whose statement was no success; say what is known of it."""
    is_commit = run.statement.kind is StatementKind.COMMIT
    await pinned.abandon()
    if is_commit:
        session.close_transaction()
    else:
        session.fail_transaction()
    if is_commit and run.writes and answer.kind in MAY_HAVE_RUN:
        return PlacedAnswer(refusal(ResultCode.OUTCOME_UNKNOWN, answer.detail))
    if answer.kind is AnswerKind.FAILED and not is_commit:
        return PlacedAnswer(refusal(ResultCode.STATEMENT_FAILED, answer.detail))
    detail = f"{answer.kind} at {pinned.identity}"
    retry_after_ms = pinned.pool.retry_after_ms(session.database.priority)
    return PlacedAnswer(refusal(ResultCode.TRANSACTION_LOST, detail, retry_after_ms))


def _done(answer: MemberAnswer) -> StatementAnswer:
    return StatementAnswer(rows=answer.rows, signature=answer.signature)


def _failure(answer: MemberAnswer, run: RunOnMember) -> StatementAnswer:
    """Return what is known of a single statement that was no success."""
    match answer.kind:
        case AnswerKind.FAILED:
            return refusal(ResultCode.STATEMENT_FAILED, answer.detail)
        case AnswerKind.TIMED_OUT:
            return refusal(ResultCode.STATEMENT_TIMEOUT, answer.detail)
    if run.writes:
        return refusal(ResultCode.OUTCOME_UNKNOWN, answer.detail)
    return refusal(ResultCode.READ_UNANSWERED, answer.detail)
