"""The final answer to a statement that is given up."""

from __future__ import annotations

from limedyke.core.queueing.retry_schedule import MIN_RETRY_DELAY_S
from limedyke.core.statements.session import StatementSession, refusal
from limedyke.messages.statements import StatementAnswer
from limedyke.result_codes import ResultCode

MS_PER_S = 1_000
UNKNOWN_READY_S = 0.2
"""When it is worth asking again for what nothing tells the time of, such as a fresh member."""
RETRY_AFTER_MS = int(MIN_RETRY_DELAY_S * MS_PER_S)
"""When to come back where another place can serve at once, as when a home proxy is lost."""


def give_up(
    session: StatementSession,
    code: ResultCode,
    detail: str,
    may_have_run: bool = False,
    retry_after_ms: int = RETRY_AFTER_MS,
) -> StatementAnswer:
    """Return the final answer to a statement that nothing was kept of; an open transaction fails.

    :param code: why it was given up, if it surely did not run
    :param may_have_run: it was sent somewhere and not answered: only reads are given up then, and
        are told so
    :param retry_after_ms: when to come back
    """
    if session.transaction is not None:
        session.fail_transaction()
        return refusal(ResultCode.TRANSACTION_LOST, detail, retry_after_ms)
    if may_have_run:
        return refusal(ResultCode.READ_UNANSWERED, detail, retry_after_ms)
    return refusal(code, detail, retry_after_ms)
