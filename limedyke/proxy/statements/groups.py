"""All groups of this proxy: applies control views and leases, and monitors the members."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from itertools import chain
from typing import Protocol

import curio

from limedyke.core.access_keys import AccessKeys
from limedyke.core.member_record import invalid_field
from limedyke.core.statements.connection_demand import DemandReporter
from limedyke.core.statements.observed_member import ObservedMember
from limedyke.core.statements.primary_outage import OutageTimes
from limedyke.core.statements.process_pauses import ProcessPauses
from limedyke.event_log import EventLog
from limedyke.messages.control import (
    ConnectionDemand,
    ConnectionLease,
    MemberHealth,
    MemberReport,
    PositionQuery,
    PositionReport,
    PrimaryClaim,
    PrimaryQuery,
    PromoteOrder,
    PromoteResult,
    member_of_budget,
)
from limedyke.messages.databases import AnnouncedMember
from limedyke.proxy.control.view import ControlView
from limedyke.proxy.statements.group import StatementGroup
from limedyke.proxy.statements.members.member_codec import MemberCodec
from limedyke.proxy.statements.members.member_pool import MemberPool
from limedyke.proxy.statements.members.member_traffic import MemberTraffic
from limedyke.proxy.statements.position_queries import PositionQueries
from limedyke.proxy.statements.primary_queries import PrimaryQueries
from limedyke.proxy.statements.runner import StatementRunner
from limedyke.proxy.statements.settings import StatementProxySettings
from limedyke.transport.traffic import NO_METER, Distance, Place, TrafficMeter

WATCH_INTERVAL_S = 0.1
"""Interval of the member checks: the longest delay before a hanging member is probed."""
BUSY_PROBE_SHARE = 0.3
"""Share of the probe interval after which a silent primary is probed while statements run there."""
IDLE_CHECK_INTERVAL_S = 2.0
EVENTS = EventLog("groups")


@dataclass(frozen=True, slots=True)
class _ReportedState:
    """The state of a member that was last reported to the controllers.

    :param is_primary: it is the recorded primary and has not denied that it is
    :param log_term: term of the newest commit in its log, which shows whether the member follows
        the latest primary
    :param started_at_ms: start time of its incarnation
    """

    health: MemberHealth
    is_primary: bool
    log_term: int
    started_at_ms: int


class Reporter(Protocol):
    """Sends reports to the controllers."""

    async def report_member(self, report: MemberReport) -> None:
        """Report the state of a member."""

    async def report_position(self, report: PositionReport) -> None:
        """Report the log position of a member, in answer to a query."""

    async def report_claim(self, claim: PrimaryClaim) -> None:
        """Report that a member says that it leads, in answer to a query."""

    async def return_leases(self, leases: tuple[ConnectionLease, ...]) -> None:
        """Report that no more than these connections are open."""


class StatementGroups:
    """The groups by name; handles the events of the control client.

    :param make_codec: creates the codec of a member connection
    :param primary_lease_ends_at: see ``StatementGroup``
    :param meter: counts the bytes exchanged with members
    """

    def __init__(
        self,
        settings: StatementProxySettings,
        runner: StatementRunner,
        make_codec: Callable[[], MemberCodec],
        primary_lease_ends_at: Callable[[], float],
        meter: TrafficMeter = NO_METER,
    ) -> None:
        self._meter = meter
        self.groups: dict[str, StatementGroup] = {}
        self.view: ControlView | None = None
        self.access_keys = AccessKeys()
        self._first_view = curio.Event()
        self.reporter: Reporter | None = None
        self.on_view: Callable[[ControlView], Awaitable[None]] | None = None
        self._settings = settings
        self._runner = runner
        self._make_codec = make_codec
        self._primary_lease_ends_at = primary_lease_ends_at
        self._outage_times = OutageTimes()
        self._pauses = ProcessPauses()
        self._leases: dict[tuple[str, str], int] = {}
        self._demand_changes = DemandReporter()
        self._unconfirmed_leases: set[tuple[str, str]] = set()
        self._reported: dict[tuple[str, str], _ReportedState] = {}
        self._unusable: set[str] = set()
        self._positions = PositionQueries(runner.queries, self._report_position)
        self._primary_queries = PrimaryQueries(runner.queries, self._report_claim)

    async def control_changed(self, view: ControlView) -> None:
        """Apply a newer control view."""
        self.view = view
        self.access_keys.set_tenants(view.tenants)
        members: dict[str, dict[str, AnnouncedMember]] = {name: {} for name in view.groups}
        for member in view.announced.values():
            if member.group in members and self._is_usable(member):
                members[member.group][member.identity] = member
        for name in [name for name in self.groups if name not in view.groups]:
            await self.groups.pop(name).drain()
        for name in view.groups:
            group = self.groups.get(name)
            if group is None:
                group = self.groups[name] = self._new_group(name)
                await group.set_limit(*self._limits_of(name))
            await group.update_declaration(view.groups[name])
            await group.update_members(members[name])
            group.set_home_proxy_count(len(view.home_proxies(name)))
            await group.update_primary(view.primaries.get(name))
        self._discard_stale_reports(view)
        await self._first_view.set()
        if self.on_view is not None:
            await self.on_view(view)

    def _is_usable(self, member: AnnouncedMember) -> bool:
        """Tell whether a member record is valid; log once why it is not."""
        fault = invalid_field(member)
        if not fault:
            self._unusable.discard(member.identity)
            return True
        if member.identity not in self._unusable:
            self._unusable.add(member.identity)
            EVENTS.warning("member-unusable", group=member.group, member=member.identity, why=fault)
        return False

    async def leases_changed(self, leases: tuple[ConnectionLease, ...], expires_at: float) -> None:
        """Apply connection leases; connections above them are closed and returned."""
        self._unconfirmed_leases |= self._leases.keys()
        before = self._leases
        self._leases = {(lease.group, lease.tenant): lease.connections for lease in leases}
        if self._leases != before:
            EVENTS.info("leases", connections=_format_leases(self._leases) or "none")
        for name, group in self.groups.items():
            await group.set_limit(*self._limits_of(name))
        await self._return_leases()

    async def close(self) -> None:
        """Close all pools before the process ends.

        A task that is cancelled then returns its connection, and must not open another one for a
        request that waits: the process would end with an error.
        """
        for group in self.groups.values():
            await group.drain()

    async def promote(self, order: PromoteOrder) -> PromoteResult:
        """Refuse the order: an external authority promotes the members of these groups."""
        return PromoteResult(order.group, order.term, "", "an external authority promotes")

    async def query_positions(self, query: PositionQuery) -> None:
        """Query members for their log positions."""
        group = self.groups.get(query.group)
        if group is None or group.limit == 0:
            EVENTS.info("positions-not-queried", group=query.group, reason="no lease")
            return
        await self._positions.start(group, query)

    async def _report_position(self, report: PositionReport) -> None:
        if self.reporter is not None:
            await self.reporter.report_position(report)

    async def query_primary(self, query: PrimaryQuery) -> None:
        """Ask a member whether it leads."""
        group = self.groups.get(query.group)
        if group is None or group.limit == 0:
            EVENTS.info("primary-not-queried", group=query.group, reason="no lease")
            return
        await self._primary_queries.start(group, query)

    async def _report_claim(self, claim: PrimaryClaim) -> None:
        if self.reporter is not None:
            await self.reporter.report_claim(claim)

    async def wait_for_view(self, limit_s: float) -> ControlView | None:
        """Return the current view; wait for the first one for a limited time."""
        if self.view is None:
            await curio.ignore_after(limit_s, self._first_view.wait)
        return self.view

    async def watch(self) -> None:
        """Monitor the members until cancelled: probe silent ones and report changes."""
        next_idle_check_at = time.monotonic() + IDLE_CHECK_INTERVAL_S
        while True:
            self._pauses.sleeps_until(time.monotonic() + WATCH_INTERVAL_S)
            await curio.sleep(WATCH_INTERVAL_S)
            now = time.monotonic()
            self._pauses.woke(now)
            for group in [group for group in self.groups.values() if group.limit > 0]:
                await self._watch_group(group, now)
            await self._return_leases()
            if now >= next_idle_check_at:
                next_idle_check_at = now + IDLE_CHECK_INTERVAL_S
                await self._close_idle_connections(now)

    async def _watch_group(self, group: StatementGroup, now: float) -> None:
        if group.is_synchronous:
            await self._positions.check_held(group, now)
        for pool in list(group.pools.values()):
            observed = pool.observed
            await pool.check_waiting(now)
            await pool.serve_waiting()
            pool.judgement.look(group.name, observed, now)
            if self._should_probe(group, observed, now):
                observed.probed_at = now
                await curio.spawn(self._probe, group, pool, daemon=True)
            await self._report(group, observed)

    def _should_probe(self, group: StatementGroup, observed: ObservedMember, now: float) -> bool:
        """Tell whether to probe a member.

        A silent primary is probed, and one that has yet to confirm its role, and so is any member
        that is unreachable or seems to hang, as it gets no statements until it answers again.
        """
        if now - observed.probed_at < self._settings.probe_timeout_ms / 1_000:
            return False
        if observed.health is MemberHealth.UNREACHABLE or observed.seems_silent(now):
            return True
        identity = observed.record.identity
        if identity != group.primary:
            return False
        interval_s = self._settings.probe_interval_ms / 1_000
        if observed.outstanding:
            interval_s *= BUSY_PROBE_SHARE
        return not group.roles.is_confirmed(identity) or now - observed.contact_at > interval_s

    async def _probe(self, group: StatementGroup, pool: MemberPool) -> None:
        """Probe a member and update its observed state and role."""
        limit_s = max(self._settings.probe_timeout_ms / 1_000, pool.observed.longest_sign_s)
        is_lost = pool.observed.health is MemberHealth.UNREACHABLE
        if is_lost or pool.observed.seems_silent(time.monotonic()):
            await self._runner.queries.diagnose_silence(pool, limit_s)
        elif pool.has_room:
            await self._runner.queries.ask_role(group, pool, limit_s)
        else:
            await pool.connector.check_address(limit_s)

    async def _report(self, group: StatementGroup, observed: ObservedMember) -> None:
        """Report a member whose health, role, log term or incarnation has changed.

        A primary that lost its log is reported as unreachable, so that it is replaced as quickly.
        """
        identity = observed.record.identity
        key = (group.name, identity)
        is_primary = group.is_accepted_primary(identity)
        health = MemberHealth.UNREACHABLE if observed.has_lost_log else observed.health
        started_at_ms = observed.record.started_at_ms
        seen = _ReportedState(health, is_primary, observed.position.term, started_at_ms)
        known = self._reported.get(key)
        is_news = known != seen and (known is not None or observed.contact_at > 0.0 or is_primary)
        if not is_news or self.reporter is None:
            return
        self._reported[key] = seen
        EVENTS.info("member-judged", group=group.name, member=identity, health=health)
        position = observed.position
        await self.reporter.report_member(
            MemberReport(
                group.name,
                identity,
                health,
                position.term,
                position.position,
                is_primary,
                started_at_ms,
            )
        )

    def _discard_stale_reports(self, view: ControlView) -> None:
        self._unusable &= view.announced.keys()
        self._positions.forget_members(set(view.announced))
        gone = [key for key in self._reported if key[1] not in view.announced]
        for key in gone:
            del self._reported[key]

    async def _close_idle_connections(self, now: float) -> None:
        for group in self.groups.values():
            for pool in group.pools.values():
                await pool.close_idle(now)

    async def _return_leases(self) -> None:
        """Confirm reduced leases once no member has more connections open than are left."""
        if self.reporter is None or not self._unconfirmed_leases:
            return
        due = {key for key in self._unconfirmed_leases if self._holds_no_more_than_leased(*key)}
        self._unconfirmed_leases -= due
        returned = [
            ConnectionLease(group, tenant, self._leases.get((group, tenant), 0))
            for group, tenant in sorted(due)
        ]
        if returned:
            await self.reporter.return_leases(tuple(returned))

    def _holds_no_more_than_leased(self, name: str, tenant: str) -> bool:
        group = self.groups.get(name)
        return group is None or not group.exceeds_lease(member_of_budget(tenant))

    def _limits_of(self, group: str) -> tuple[int, Counter[str]]:
        """Return a group's leased connections: to each member, and additional ones by member."""
        at_members: Counter[str] = Counter()
        for (name, tenant), connections in self._leases.items():
            if name == group:
                at_members[member_of_budget(tenant)] += connections
        return at_members.pop("", 0), at_members

    def demands(self, complete: bool) -> tuple[ConnectionDemand, ...]:
        """Return the changed connection demands to report.

        :param complete: return all of them, because the receiver knows none yet
        """
        now = time.monotonic()
        demands_by_group = (group.demands(now) for group in self.groups.values())
        return self._demand_changes.changes_to_report(
            chain.from_iterable(demands_by_group), complete
        )

    def _new_group(self, name: str) -> StatementGroup:
        def make_pool(observed: ObservedMember) -> MemberPool:
            settings = self._settings
            observed.pauses = self._pauses
            timeout_s = settings.connect_timeout_ms / 1_000
            neighbour = self._observed_member_in(observed.record.zone)
            if neighbour is not None:
                observed.assume_times_of(neighbour)
            count = MemberTraffic(self._meter, lambda: self._distance_to(observed.record.zone))
            return MemberPool(observed, self._make_codec, settings.source_ip, timeout_s, count)

        return StatementGroup(name, make_pool, self._primary_lease_ends_at, self._outage_times)

    def _observed_member_in(self, zone: str) -> ObservedMember | None:
        """Return a member of a zone with known latency, as an estimate for a new one there."""
        pools = (pool for group in self.groups.values() for pool in group.pools.values())
        observed_members = (pool.observed for pool in pools if pool.observed.record.zone == zone)
        return next((observed for observed in observed_members if observed.opening.is_seen), None)

    def _distance_to(self, zone: str) -> Distance:
        """Return the distance to a zone; its region is taken from the proxies there."""
        own = Place(self._settings.zone, self._settings.region)
        proxies = self.view.proxies.values() if self.view is not None else ()
        region = next((proxy.region for proxy in proxies if proxy.zone == zone), "")
        return own.distance_to(Place(zone, region))


def _format_leases(leases: dict[tuple[str, str], int]) -> str:
    """Return the total connections by group, formatted without blanks."""
    total: Counter[str] = Counter()
    for (group, _), connections in leases.items():
        total[group] += connections
    return ",".join(f"{group}:{connections}" for group, connections in sorted(total.items()))
