"""Runs units of work on the members of groups for which this proxy holds leases."""

from __future__ import annotations

import time

import curio

from limedyke.messages.work import AbandonWork, Access, AnswerEnd, WorkUnit
from limedyke.proxy.executor import Relay, refusal
from limedyke.proxy.forwarding.work_key import LOCAL_ORIGIN, WorkKey
from limedyke.proxy.members.connection import MemberEndpoint
from limedyke.proxy.members.group import BackendGroup
from limedyke.proxy.metrics import ProxyMetrics
from limedyke.proxy.open_transactions import OpenTransactions, RunningUnit
from limedyke.proxy.unit_context import UnitContext
from limedyke.proxy.unit_once_write import UnitOnceWrite
from limedyke.proxy.unit_read import UnitRead
from limedyke.proxy.unit_transaction import UnitInTransaction, roll_back
from limedyke.proxy.unit_write import UnitWrite
from limedyke.result_codes import Failure, Outcome, ResultCode
from limedyke.settings.proxy import ProxySettings

MS_PER_S = 1_000.0
CANCEL_GRACE_S = 1.0
"""How long a member may take to react to a cancel request before its connection is shut down."""
QUEUE_TIMEOUT_NUMBER = ResultCode.QUEUE_TIMEOUT.value.number
UNKNOWN_NUMBERS = frozenset(
    code.value.number for code in ResultCode if code.outcome is Outcome.UNKNOWN
)


class LocalExecutor:
    """Executes units on members from this proxy.

    :param groups: groups by name, shared with ``BackEnds``
    :param metrics: counts executed and refused units
    """

    def __init__(
        self, settings: ProxySettings, groups: dict[str, BackendGroup], metrics: ProxyMetrics
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._groups = groups
        self._transactions = OpenTransactions()
        self._running: dict[WorkKey, RunningUnit] = {}

    @property
    def open_transactions(self) -> int:
        """Number of open transactions."""
        return len(self._transactions)

    @property
    def running_units(self) -> int:
        """Number of running units."""
        return len(self._running)

    def has_transaction(self, key: WorkKey) -> bool:
        """Return whether a transaction is open here."""
        return self._transactions.get(key) is not None

    def has_transactions_of(self, origin: str) -> bool:
        """Return whether a transaction from a link is open here."""
        return self._transactions.has_origin(origin)

    async def run(self, unit: WorkUnit, relay: Relay, origin: str = LOCAL_ORIGIN) -> AnswerEnd:
        """Run a unit and return the end of its answer (see ``Executor``).

        :param origin: the link from which the unit came
        """
        group = self._groups.get(unit.group)
        if group is None:
            return refusal(unit, ResultCode.NO_MEMBER, f"group {unit.group} is not known here")
        key = WorkKey(origin, unit.stream)
        running = RunningUnit(unit, time.monotonic() + unit.deadline_ms / MS_PER_S)
        self._running[key] = running
        context = UnitContext(
            self._settings,
            group,
            unit,
            relay,
            running,
            self._transactions,
            origin,
            self._metrics,
        )
        if origin != LOCAL_ORIGIN:
            self._metrics.forwarded_in.inc()
        try:
            end = await self._run(context)
        finally:
            del self._running[key]
        self._count(unit, end)
        return end

    def _count(self, unit: WorkUnit, end: AnswerEnd) -> None:
        if end.code in UNKNOWN_NUMBERS:
            self._metrics.unknown_outcomes.inc()
        elif end.code == QUEUE_TIMEOUT_NUMBER:
            self._metrics.queue_timeouts.inc()
        elif end.code == 0 and unit.access is Access.WRITE:
            self._metrics.writes.inc()

    async def _run(self, context: UnitContext) -> AnswerEnd:
        unit = context.unit
        if context.expired:
            return await self._refuse_expired(context)
        if unit.transaction:
            transaction = self._transactions.get(context.transaction_key)
            if transaction is not None:
                return await UnitInTransaction(context, transaction).run()
        if not context.group.holds_lease(unit.tenant):
            return context.no_lease()
        if unit.access is Access.READ:
            return await UnitRead(context).run()
        if unit.once_key and unit.transaction:
            detail = "a once-key is not supported for BEGIN"
            return refusal(unit, ResultCode.FEATURE_NOT_SUPPORTED, detail)
        if unit.once_key:
            return await UnitOnceWrite(context).run()
        return await UnitWrite(context).run()

    async def _refuse_expired(self, context: UnitContext) -> AnswerEnd:
        """Refuse a unit whose time was over before it could run; end its open transaction."""
        detail = "its time was over before it could run"
        if not self.has_transaction(context.transaction_key):
            return context.failed(Failure(ResultCode.QUEUE_TIMEOUT, detail))
        await self._abandon_transaction(context.transaction_key)
        return context.failed(Failure(ResultCode.TRANSACTION_LOST, detail))

    async def abandon(self, work: AbandonWork, origin: str = LOCAL_ORIGIN) -> None:
        """Cancel a unit or roll back a transaction (see ``Executor``)."""
        running = self._running.get(WorkKey(origin, work.stream))
        if running is not None:
            await self._cancel(running)
        if work.transaction and not work.cancel_only:
            await self._abandon_transaction(WorkKey(origin, work.transaction))

    async def _cancel(self, running: RunningUnit) -> None:
        running.cancelled = True
        if running.connection is not None:
            await running.connection.cancel()
            return
        group = self._groups.get(running.unit.group)
        if group is not None:
            await group.cancel_wait(running.unit)

    async def abandon_origin(self, origin: str) -> None:
        """Roll back all transactions from a link that was closed."""
        for transaction in self._transactions.of_origin(origin):
            await self._abandon_transaction(transaction.key)

    async def _abandon_transaction(self, key: WorkKey) -> None:
        transaction = self._transactions.get(key)
        if transaction is None:
            return
        if transaction.running:
            transaction.abandoned = True
            return
        self._transactions.remove(key)
        await roll_back(transaction)

    def abort_reads(self, endpoint: MemberEndpoint) -> None:
        """Shut down the connections of reads at a member, so that they retry on another one."""
        for running in self._running.values():
            connection = running.connection
            if connection is None or running.unit.access is not Access.READ:
                continue
            if connection.endpoint is endpoint:
                connection.shut()

    def writes_under_way(self, group: str) -> bool:
        """Return whether a group has a running write or an open transaction that may write."""
        if any(t.access is Access.WRITE for t in self._transactions.of_group(group)):
            return True
        return any(
            running.unit.access is Access.WRITE and running.connection is not None
            for running in self._running.values()
            if running.unit.group == group
        )

    async def enforce_deadlines(self) -> None:
        """Cancel units past their deadline; shut their connection down if that has no effect."""
        now = time.monotonic()
        for running in list(self._running.values()):
            connection = running.connection
            if connection is None or now < running.deadline_at:
                continue
            if running.cancel_sent_at == 0.0:
                running.cancel_sent_at = now
                await curio.spawn(connection.cancel, daemon=True)
            elif now - running.cancel_sent_at > CANCEL_GRACE_S:
                connection.shut()
