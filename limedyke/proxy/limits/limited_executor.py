"""Runs units of PostgreSQL sessions within their tenants' operation limits."""

from __future__ import annotations

from limedyke.messages.work import AbandonWork, AnswerEnd, TransactionStatus, WorkUnit
from limedyke.proxy.executor import Executor, Relay, refusal
from limedyke.proxy.limits.operation_limiter import OperationLimiter
from limedyke.result_codes import ResultCode, did_not_run

MS_PER_S = 1_000


class LimitedExecutor:
    """An ``Executor`` that counts each transaction, and each unit outside one, as one operation.

    :param executor: runs the admitted units
    :param limiter: admits operations
    """

    def __init__(self, executor: Executor, limiter: OperationLimiter) -> None:
        self._executor = executor
        self._limiter = limiter
        self._open: set[int] = set()

    async def run(self, unit: WorkUnit, relay: Relay) -> AnswerEnd:
        """Run a unit (see ``Executor``), or refuse it if the tenant is over its limit."""
        is_first = unit.transaction not in self._open
        over = await self._limiter.admit(unit.tenant, unit.priority) if is_first else None
        if over is not None:
            retry_after_ms = int(over.retry_after_s * MS_PER_S)
            return refusal(
                unit, ResultCode.OVER_OPERATION_LIMIT, over.detail, retry_after_ms=retry_after_ms
            )
        end = await self._executor.run(unit, relay)
        if unit.transaction and end.status is not TransactionStatus.IDLE:
            self._open.add(unit.transaction)
        else:
            self._open.discard(unit.transaction)
        if is_first and did_not_run(end.code):
            await self._limiter.give_back(unit.tenant, unit.priority)
        return end

    async def abandon(self, work: AbandonWork) -> None:
        """Stop a unit or roll a transaction back (see ``Executor``)."""
        self._open.discard(work.transaction)
        await self._executor.abandon(work)
