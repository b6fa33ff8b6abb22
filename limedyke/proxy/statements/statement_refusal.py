"""The final refusal of a statement that could not be run."""

from __future__ import annotations

from limedyke.core.queueing.retry_schedule import MIN_RETRY_DELAY_S
from limedyke.core.statements.session import StatementSession, refusal
from limedyke.messages.statements import StatementAnswer
from limedyke.result_codes import ResultCode

MS_PER_S = 1_000
DEFAULT_READY_S = 0.2
"""Retry delay, in seconds, when nothing predicts recovery, such as while no member is fresh."""
RETRY_AFTER_MS = int(MIN_RETRY_DELAY_S * MS_PER_S)
"""Retry delay when another proxy or connection can serve at once, as when a home proxy is lost."""


def refuse_statement(
    session: StatementSession,
    code: ResultCode,
    detail: str,
    may_have_run: bool = False,
    retry_after_ms: int = RETRY_AFTER_MS,
) -> StatementAnswer:
    """Return the refusal of a statement without lasting effect; its open transaction fails.

    :param code: the reason, for a statement that certainly did not run
    :param may_have_run: it was sent and not answered; only reads are refused in that case, with
        ``READ_UNANSWERED``
    :param retry_after_ms: delay before the client should retry
    """
    if session.transaction is not None:
        session.fail_transaction()
        return refusal(ResultCode.TRANSACTION_LOST, detail, retry_after_ms)
    if may_have_run:
        return refusal(ResultCode.READ_UNANSWERED, detail, retry_after_ms)
    return refusal(code, detail, retry_after_ms)
