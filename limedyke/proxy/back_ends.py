"""The back-end side of a proxy: groups, leases, and where each unit runs."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Protocol

import curio
from prometheus_client import CollectorRegistry

from limedyke.event_log import EventLog
from limedyke.messages.control import ConnectionLease, MemberReport, PromoteOrder, PromoteResult
from limedyke.messages.work import AbandonWork, AnswerEnd, WorkUnit
from limedyke.metrics import PromotionOutcome
from limedyke.proxy.control.view import ControlView
from limedyke.proxy.executor import Relay
from limedyke.proxy.forwarding.executor import ForwardingExecutor
from limedyke.proxy.forwarding.server import ForwardingServer
from limedyke.proxy.forwarding.work_key import LOCAL_ORIGIN, WorkKey
from limedyke.proxy.local_executor import LocalExecutor
from limedyke.proxy.members.connection import MemberEndpoint
from limedyke.proxy.members.group import BackendGroup
from limedyke.proxy.metrics import ProxyMetrics
from limedyke.result_codes import ResultCode
from limedyke.settings.proxy import ProxySettings
from limedyke.settings.secrets import Secrets
from limedyke.transport.link import Link
from limedyke.transport.traffic import NO_METER, TrafficMeter

DEADLINE_SWEEP_S = 0.05
POOL_CHECK_S = 0.5
LEASE_MARGIN_S = 1.0
"""All connections are closed this long before the leases expire."""
DRAIN_POLL_S = 0.02
NO_MEMBER_CODE = ResultCode.NO_MEMBER.value.number

_log = EventLog("back-ends")


class ControlReporter(Protocol):
    """Sends reports of the back-end side to the leader."""

    async def report_member(self, report: MemberReport) -> None:
        """Report a changed member state."""

    async def promotion_done(self, result: PromoteResult) -> None:
        """Send the answer to a ``PromoteOrder``."""

    async def return_leases(self, leases: tuple[ConnectionLease, ...]) -> None:
        """Report that no more than these connections are held."""

    async def report_writes_paused(self, group: str, term: int) -> None:
        """Report that no write of a group is in flight here."""


@dataclass(frozen=True, slots=True)
class BackEndStats:
    """Counts for metrics; connections are summed over the groups with a lease.

    :param opened: connections opened since the pools were created
    :param failed: failed attempts to open a connection
    :param leased: connections that the leases allow to each member
    :param waiting: units that wait for a connection or slot
    """

    idle: int
    busy: int
    opening: int
    opened: int
    failed: int
    leased: int
    waiting: int
    running_units: int
    open_transactions: int


class BackEnds:
    """Runs units of work for the client side and for other proxies.

    :param settings: the proxy's settings
    :param secrets: passwords of the back-end logins and the cluster key
    :param control: receives member reports and promotion results; None in tests
    :param metrics: the proxy's metrics; None for metrics that are not exported
    :param meter: counts the bytes sent to home proxies
    """

    def __init__(
        self,
        settings: ProxySettings,
        secrets: Secrets,
        control: ControlReporter | None = None,
        metrics: ProxyMetrics | None = None,
        meter: TrafficMeter = NO_METER,
    ) -> None:
        self._settings = settings
        self._metrics = metrics or ProxyMetrics(CollectorRegistry())
        self._secrets = secrets
        self._control = control
        self._groups: dict[str, BackendGroup] = {}
        self._leases: tuple[ConnectionLease, ...] = ()
        self._leases_expire_at = 0.0
        self._unreturned: set[tuple[str, str]] = set()
        self._leased_groups: set[str] = set()
        self._paused_groups: set[str] = set()
        self._paused_reported: dict[str, int] = {}
        self._view_changed = curio.Event()
        self._local = LocalExecutor(settings, self._groups, self._metrics)
        self._forwarding = ForwardingExecutor(settings, secrets, self._wait_view_change, meter)
        self._serving = ForwardingServer(self._local)
        self._periodic: list[curio.Task] = []

    async def start(self) -> None:
        """Start the periodic tasks."""
        for work in (self._sweep, self._check_pools):
            self._periodic.append(await curio.spawn(work, daemon=True))

    async def close(self) -> None:
        """Stop the periodic tasks and shut down all connections; running units fail."""
        while self._periodic:
            await self._periodic.pop().cancel()
        while self._groups:
            _, group = self._groups.popitem()
            await group.close()

    # Changes from the controllers

    async def control_changed(self, view: ControlView) -> None:
        """Apply a new ``ControlView``."""
        self._forwarding.control_changed(view)
        for name in [name for name in self._groups if name not in view.groups]:
            await self._groups.pop(name).close()
        for name, group in view.groups.items():
            primary = view.primaries.get(name)
            known = self._groups.get(name)
            if known is None:
                known = self._groups[name] = BackendGroup(
                    group,
                    primary,
                    self._settings,
                    self._secrets,
                    self._report,
                    self._member_unreachable,
                )
                await known.set_leases(self._leases_of(name))
                self._leased_groups.add(name)
            await known.declare(group, primary, view.home_proxies(name))
        self._paused_groups = {n for n, group in self._groups.items() if group.view.writes_paused}
        changed, self._view_changed = self._view_changed, curio.Event()
        await changed.set()

    async def _wait_view_change(self, until: float) -> bool:
        left = until - time.monotonic()
        if left > 0:
            await curio.ignore_after(left, self._view_changed.wait)
        return time.monotonic() < until

    async def leases_changed(self, leases: tuple[ConnectionLease, ...], expires_at: float) -> None:
        """Apply all held leases, valid until ``expires_at`` (``time.monotonic()`` seconds)."""
        before = {(lease.group, lease.tenant): lease.connections for lease in self._leases}
        now = {(lease.group, lease.tenant): lease.connections for lease in leases}
        self._unreturned |= {key for key, held in before.items() if now.get(key, 0) < held}
        self._leases = leases
        self._leases_expire_at = expires_at
        self._leased_groups |= {lease.group for lease in leases}
        for name in self._leased_groups & self._groups.keys():
            await self._groups[name].set_leases(self._leases_of(name))

    def _leases_of(self, group: str) -> dict[str, int]:
        return {lease.tenant: lease.connections for lease in self._leases if lease.group == group}

    async def _report(self, report: MemberReport) -> None:
        self._metrics.member_reports.labels(report.health.value).inc()
        if self._control is not None:
            await self._control.report_member(report)

    def _member_unreachable(self, endpoint: MemberEndpoint) -> None:
        self._local.abort_reads(endpoint)

    async def promote(self, order: PromoteOrder) -> None:
        """Start a promotion in a separate task; its result goes to ``control``."""
        await curio.spawn(self._promote, order, daemon=True)

    async def _promote(self, order: PromoteOrder) -> None:
        group = self._groups.get(order.group)
        if group is None:
            result = PromoteResult(order.group, order.term, "", "the group is not known here")
        else:
            self._metrics.promotions.labels(PromotionOutcome.STARTED.value).inc()
            result = await group.promote(order)
        outcome = PromotionOutcome.DONE if result.primary else PromotionOutcome.FAILED
        self._metrics.promotions.labels(outcome.value).inc()
        if self._control is not None:
            await self._control.promotion_done(result)

    # Work

    async def run(self, unit: WorkUnit, relay: Relay) -> AnswerEnd:
        """Run a unit here or at a home proxy (see ``Executor``)."""
        if unit.transaction and self._forwarding.holds(unit.transaction):
            return await self._forwarding.run(unit, relay)
        group = self._groups.get(unit.group)
        if group is not None and (group.holds_lease(unit.tenant) or self._is_open_here(unit)):
            end = await self._local.run(unit, relay)
            if end.code != NO_MEMBER_CODE or group.may_serve(unit.tenant):
                return end
        self._metrics.forwarded_out.inc()
        return await self._forwarding.run(unit, relay)

    def _is_open_here(self, unit: WorkUnit) -> bool:
        if unit.transaction == 0:
            return False
        return self._local.has_transaction(WorkKey(LOCAL_ORIGIN, unit.transaction))

    async def abandon(self, work: AbandonWork) -> None:
        """Stop a unit or roll a transaction back (see ``Executor``)."""
        await self._local.abandon(work)
        await self._forwarding.abandon(work)

    async def serve_link(self, link: Link) -> None:
        """Run the units that another proxy sends over ``link``, until it closes."""
        await self._serving.serve(link)

    def refuse_new_work(self) -> None:
        """Refuse new work from other proxies from now on; open transactions continue."""
        self._serving.draining = True

    async def drain(self) -> None:
        """Refuse new work from other proxies, wait for running work, and close connections."""
        self.refuse_new_work()
        while self._local.running_units or self._local.open_transactions:
            await curio.sleep(DRAIN_POLL_S)
        for group in self._groups.values():
            await group.set_leases({})
        await self._return_leases()

    def get_stats(self) -> BackEndStats:
        """Return counts for metrics."""
        held = (self._groups[name] for name in self._leased_groups & self._groups.keys())
        gates = [gate for group in held for gate in group.gates.values()]
        pools = [pool.get_stats() for gate in gates for pool in gate.pools.values()]
        return BackEndStats(
            idle=sum(pool.idle for pool in pools),
            busy=sum(pool.busy for pool in pools),
            opening=sum(pool.opening for pool in pools),
            opened=sum(pool.opened for pool in pools),
            failed=sum(pool.failed for pool in pools),
            leased=sum(lease.connections for lease in self._leases),
            waiting=sum(gate.state.waiting for gate in gates),
            running_units=self._local.running_units,
            open_transactions=self._local.open_transactions,
        )

    # Periodic work

    async def _sweep(self) -> None:
        while True:
            await curio.sleep(DEADLINE_SWEEP_S)
            await self._local.enforce_deadlines()
            for name in self._leased_groups & self._groups.keys():
                await self._groups[name].probe_stalled_members()
            await self._report_pauses()
            if self._unreturned:
                await self._return_leases()

    async def _report_pauses(self) -> None:
        """Report each group whose last write before a planned switchover has ended."""
        for name in self._paused_groups & self._groups.keys():
            view = self._groups[name].view
            if not view.writes_paused or self._paused_reported.get(name) == view.term:
                continue
            if self._local.writes_under_way(name):
                continue
            self._paused_reported[name] = view.term
            if self._control is not None:
                await self._control.report_writes_paused(name, view.term)

    async def _return_leases(self) -> None:
        """Return the connections that a reduced lease no longer covers, once they are closed."""
        returned = []
        allowed = {(lease.group, lease.tenant): lease.connections for lease in self._leases}
        for key in list(self._unreturned):
            group = self._groups.get(key[0])
            held = 0 if group is None else group.connections_held(key[1])
            if held <= allowed.get(key, 0):
                self._unreturned.discard(key)
            returned.append(ConnectionLease(key[0], key[1], max(held, allowed.get(key, 0))))
        if returned and self._control is not None:
            await self._control.return_leases(tuple(returned))

    async def _handle_lease_expiry(self) -> None:
        """Close all connections, since the leader may soon grant the same share to others."""
        _log.warning("leases-expired", leases=len(self._leases))
        self._metrics.leases_expired.inc()
        await self.leases_changed((), 0.0)
        for group in self._groups.values():
            group.shut_all()

    async def _check_pools(self) -> None:
        while True:
            await curio.sleep(POOL_CHECK_S)
            if self._leases and time.monotonic() > self._leases_expire_at - LEASE_MARGIN_S:
                await self._handle_lease_expiry()
            await self._check_leased_groups()

    async def _check_leased_groups(self) -> None:
        """Check the groups that have a lease or connections, which are few of the declared ones."""
        for name in list(self._leased_groups):
            group = self._groups.get(name)
            if group is not None:
                await group.check()
            if group is None or not group.holds_leases_or_connections:
                self._leased_groups.discard(name)
