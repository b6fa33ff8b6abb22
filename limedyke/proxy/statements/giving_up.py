"""The final answer to a statement that is given up."""

from __future__ import annotations

from limedyke.core.statements.session import StatementSession, refusal
from limedyke.messages.statements import StatementAnswer
from limedyke.result_codes import ResultCode

RETRY_AFTER_MS = 200
"""When a refused client should come back: about as long as a change of primary takes."""


def give_up(
    session: StatementSession, code: ResultCode, detail: str, may_have_run: bool = False
) -> StatementAnswer:
    """Return the final answer to a statement that nothing was kept of; an open transaction fails.

    :param code: why it was given up, if it surely did not run
    :param may_have_run: it was sent somewhere and not answered: only reads are given up then, and
        are told so
    """
    if session.transaction is not None:
        session.fail_transaction()
        return refusal(ResultCode.TRANSACTION_LOST, detail, RETRY_AFTER_MS)
    if may_have_run:
        return refusal(ResultCode.READ_UNANSWERED, detail, RETRY_AFTER_MS)
    return refusal(code, detail, RETRY_AFTER_MS)
