"""Runs statements that other proxies forward to this home proxy."""

from __future__ import annotations

import dataclasses
import time
from dataclasses import dataclass

import curio

from limedyke.core.statements.session import (
    OpenTransaction,
    RunOnMember,
    StatementSession,
    refusal,
)
from limedyke.core.statements.stop_schedule import StopState
from limedyke.messages.databases import Consistency
from limedyke.messages.statements import StatementKind, StatementUnit, StatementUnitEnd
from limedyke.messages.work import AbandonWork, TransactionStatus
from limedyke.proxy.executor import Relay
from limedyke.proxy.forwarding.work_key import WorkKey
from limedyke.proxy.statements.group import StatementGroup
from limedyke.proxy.statements.groups import StatementGroups
from limedyke.proxy.statements.homes.home_loads import HomeLoads
from limedyke.proxy.statements.members.pinned_connection import PinnedConnection
from limedyke.proxy.statements.runner import StatementRunner
from limedyke.proxy.statements.statement_log import StatementLog
from limedyke.proxy.statements.statement_metrics import StatementMetrics
from limedyke.result_codes import ResultCode

MS_PER_S = 1_000.0
CROWDED_WAIT_S = 0.1
"""Expected wait, in seconds, from which another home proxy is the better choice, even one in
another region: a round trip there and back takes 0.08 s at 20 ms one way."""


@dataclass(slots=True)
class _OpenForwardedTransaction:
    """An open transaction of another proxy's client, between two of its statements."""

    session: StatementSession
    pinned: PinnedConnection


def refuse_unit(
    unit: StatementUnit, code: ResultCode, detail: str = "", retry_after_ms: int = 0
) -> StatementUnitEnd:
    """Return the answer to a unit that did not run and whose transaction is not open here."""
    status = TransactionStatus.FAILED if unit.transaction else TransactionStatus.IDLE
    return StatementUnitEnd(unit.stream, refusal(code, detail, retry_after_ms), status)


class StatementHomeService:
    """Executor of forwarded statements (see ``HomeExecutor``).

    :param groups: the groups with their connection pools
    :param runner: runs statements on members
    :param log: receives each statement that is not served
    :param stop: state and schedule of a planned stop
    """

    def __init__(
        self,
        groups: StatementGroups,
        runner: StatementRunner,
        log: StatementLog,
        metrics: StatementMetrics,
        stop: StopState | None = None,
    ) -> None:
        self._stop = stop or StopState()
        self._groups = groups
        self._runner = runner
        self._log = log
        self._metrics = metrics
        self._open_transactions: dict[WorkKey, _OpenForwardedTransaction] = {}
        self._running: dict[WorkKey, curio.Task] = {}
        self._loads = HomeLoads()

    @property
    def has_work(self) -> bool:
        """Whether a unit runs or a transaction is open here."""
        return bool(self._open_transactions or self._running)

    @property
    def under_way(self) -> int:
        """How many units run here."""
        return len(self._running)

    def has_transaction(self, key: WorkKey) -> bool:
        """Tell whether a transaction is open here."""
        return key in self._open_transactions

    def has_transactions_of(self, origin: str) -> bool:
        """Tell whether a transaction that came over a link is open here."""
        return any(key.origin == origin for key in self._open_transactions)

    async def run(self, unit: StatementUnit, relay: Relay, origin: str) -> StatementUnitEnd:
        """Run a unit; return the end of its answer."""
        del relay
        self._metrics.forwarded_in.inc()
        key = WorkKey(origin, unit.stream)
        self._running[key] = await curio.current_task()
        try:
            end = await self._run(unit, WorkKey(origin, unit.transaction))
        finally:
            del self._running[key]
        self._log.forwarded(unit, end.answer, origin)
        group = self._groups.groups.get(unit.database.group)
        if group is None:
            return end
        load = self._loads.load_of(group, unit.tenant, time.monotonic())
        return end if load is None else dataclasses.replace(end, load=load)

    async def _run(self, unit: StatementUnit, key: WorkKey) -> StatementUnitEnd:
        group = self._groups.groups.get(unit.database.group)
        held = self._open_transactions.pop(key, None)
        if held is None and unit.transaction and unit.begin is None:
            return refuse_unit(
                unit, ResultCode.TRANSACTION_LOST, "the transaction is not open here"
            )
        if held is None and (group is None or group.limit == 0):
            return refuse_unit(unit, ResultCode.NO_LEASE)
        if held is None and unit.may_decline and self._refuses_units():
            return refuse_unit(unit, ResultCode.DRAINING)
        if held is None and _lacks_reachable_primary(unit, group):
            return refuse_unit(unit, ResultCode.PRIMARY_UNREACHED, group.primary)
        if held is None and unit.may_decline and _would_wait_long(unit, group):
            return refuse_unit(unit, ResultCode.HOME_CROWDED, group.primary)
        session = held.session if held is not None else _new_session(unit)
        _update_session(session, unit)
        session.begin_statement(self._stop.schedule.answers_until)
        run = RunOnMember(unit.statement, unit.begin, unit.writes, unit.prepared)
        pinned = held.pinned if held is not None else None
        try:
            outcome = await self._runner.run(session, run, group, pinned)
        except curio.CancelledError:
            if held is not None:
                await held.pinned.abandon()
            raise
        if outcome.location is not None:
            self._open_transactions[key] = _OpenForwardedTransaction(session, outcome.location)
        return StatementUnitEnd(unit.stream, outcome.answer, session.status, session.written)

    def _refuses_units(self) -> bool:
        """Tell whether the planned stop has reached the phase that refuses forwarded units."""
        return time.monotonic() >= self._stop.schedule.transactions_until

    async def abandon(self, work: AbandonWork, origin: str) -> None:
        """Cancel a unit, or roll a transaction back."""
        task = self._running.get(WorkKey(origin, work.stream))
        if task is not None:
            await task.cancel(blocking=False)
        held = self._open_transactions.pop(WorkKey(origin, work.transaction), None)
        if held is not None:
            await held.pinned.roll_back()

    async def abandon_origin(self, origin: str) -> None:
        """Roll back all transactions that came over a closed link."""
        for key in [key for key in self._open_transactions if key.origin == origin]:
            held = self._open_transactions.pop(key, None)
            if held is not None:
                await held.pinned.roll_back()


def _new_session(unit: StatementUnit) -> StatementSession:
    session = StatementSession(
        unit.database, written=unit.written, tenant=unit.tenant, may_run_elsewhere=True
    )
    if unit.begin is not None:
        session.transaction = OpenTransaction(unit.begin)
        session.status = TransactionStatus.IN_TRANSACTION
    return session


def _update_session(session: StatementSession, unit: StatementUnit) -> None:
    """Update the session from a unit; the unit's remaining time becomes the statement timeout."""
    session.database = dataclasses.replace(unit.database, statement_timeout_ms=unit.deadline_ms)
    session.settings = {setting.name: setting.value for setting in unit.settings}


def _would_wait_long(unit: StatementUnit, group: StatementGroup) -> bool:
    """Tell whether a unit that needs the primary would wait long for a connection to it here.

    Home proxies hold equal shares of a group's connections, but not all are equally loaded.
    """
    pool = group.primary_pool()
    if pool is None or not _needs_primary(unit, group):
        return False
    wait_s = pool.expected_wait_s(unit.tenant, unit.database.priority)
    return wait_s > max(CROWDED_WAIT_S, pool.observed.opening.usual_s)


def _needs_primary(unit: StatementUnit, group: StatementGroup) -> bool:
    """Tell whether only the primary can run a unit."""
    begins_to_write = unit.begin is not None and unit.begin.kind is StatementKind.BEGIN
    return unit.writes or begins_to_write or not group.is_surely_primary(group.primary)


def _lacks_reachable_primary(unit: StatementUnit, group: StatementGroup) -> bool:
    """Tell whether to return a unit because it needs the primary, which can't be reached here."""
    if not group.has_unreachable_primary():
        return False
    return _needs_primary(unit, group) or not _replica_ready_soon(unit, group)


def _replica_ready_soon(unit: StatementUnit, group: StatementGroup) -> bool:
    """Tell whether a replica here is expected to serve a read sooner than another home proxy."""
    database = unit.database
    if database.consistency is Consistency.PRIMARY:
        return False
    since = time.monotonic() - database.max_staleness_ms / MS_PER_S
    written = unit.written if database.consistency is Consistency.SESSION else None
    return group.has_replica_for(since, written, CROWDED_WAIT_S)
