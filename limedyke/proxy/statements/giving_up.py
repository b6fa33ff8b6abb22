"""The final answer to a statement that is given up."""

from __future__ import annotations

from limedyke.core.statements.session import StatementSession, refusal
from limedyke.messages.statements import StatementAnswer
from limedyke.result_codes import ResultCode

MS_PER_S = 1_000
RETRY_AFTER_MS = 200
"""When a refused client should come back: about as long as a change of primary takes."""


def give_up(
    session: StatementSession,
    code: ResultCode,
    detail: str,
    may_have_run: bool = False,
    retry_after_s: float = 0.0,
) -> StatementAnswer:
    """Return the final answer to a statement that nothing was kept of; an open transaction fails.

    :param code: why it was given up, if it surely did not run
    :param may_have_run: it was sent somewhere and not answered: only reads are given up then, and
        are told so
    :param retry_after_s: when a primary is expected, if that is what was wanted
    """
    retry_after_ms = max(RETRY_AFTER_MS, int(retry_after_s * MS_PER_S))
    if session.transaction is not None:
        session.fail_transaction()
        return refusal(ResultCode.TRANSACTION_LOST, detail, retry_after_ms)
    if may_have_run:
        return refusal(ResultCode.READ_UNANSWERED, detail, retry_after_ms)
    return refusal(code, detail, retry_after_ms)
