"""All groups of this proxy: follows the controllers' view and leases, watches members."""

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
from limedyke.proxy.statements.runner import StatementRunner
from limedyke.proxy.statements.settings import StatementProxySettings
from limedyke.transport.traffic import NO_METER, Distance, Place, TrafficMeter

WATCH_INTERVAL_S = 0.1
"""A member that seems to hang is probed at most so much later."""
BUSY_PROBE_SHARE = 0.3
"""With statements under way a silence is looked at after so much of the probe interval."""
HOUSEKEEPING_S = 2.0
EVENTS = EventLog("groups")


@dataclass(frozen=True, slots=True)
class _Seen:
    """What was last reported of a member.

    :param is_primary: it is the recorded primary, and has said nothing to the contrary
    :param log_term: of the newest commit in its log: it shows whether the member has followed the
        last change of primary
    :param started_at_ms: of its incarnation
    """

    health: MemberHealth
    is_primary: bool
    log_term: int
    started_at_ms: int


class Reporter(Protocol):
    """What is told to the controllers."""

    async def report_member(self, report: MemberReport) -> None:
        """Report what is seen of a member."""

    async def return_leases(self, leases: tuple[ConnectionLease, ...]) -> None:
        """Tell that no more than these connections are held."""


class StatementGroups:
    """The groups by name; handler of the control client.

    :param make_codec: makes the codec of a member connection
    :param primary_lease_ends_at: see ``StatementGroup``
    :param meter: counts what is sent to members and received from them
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
        self._demand_news = DemandReporter()
        self._owed: set[tuple[str, str]] = set()
        self._reported: dict[tuple[str, str], _Seen] = {}
        self._unusable: set[str] = set()

    async def control_changed(self, view: ControlView) -> None:
        """Take a newer view into force."""
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
            await group.take_declared(view.groups[name])
            await group.take_members(members[name])
            group.set_proxies(len(view.home_proxies(name)))
            await group.take_primary(view.primaries.get(name))
        self._forget_reports(view)
        await self._first_view.set()
        if self.on_view is not None:
            await self.on_view(view)

    def _is_usable(self, member: AnnouncedMember) -> bool:
        """Tell whether a record names a member to use; log once why one does not."""
        fault = invalid_field(member)
        if not fault:
            self._unusable.discard(member.identity)
            return True
        if member.identity not in self._unusable:
            self._unusable.add(member.identity)
            EVENTS.warning("member-unusable", group=member.group, member=member.identity, why=fault)
        return False

    async def leases_changed(self, leases: tuple[ConnectionLease, ...], expires_at: float) -> None:
        """Take the leases of connections; what is above them is closed and given back."""
        self._owed |= self._leases.keys()
        before = self._leases
        self._leases = {(lease.group, lease.tenant): lease.connections for lease in leases}
        if self._leases != before:
            EVENTS.info("leases", connections=_text_of(self._leases) or "none")
        for name, group in self.groups.items():
            await group.set_limit(*self._limits_of(name))
        await self._return_leases()

    async def promote(self, order: PromoteOrder) -> PromoteResult:
        """Refuse: members of these groups are promoted by an authority outside."""
        return PromoteResult(order.group, order.term, "", "an authority outside promotes")

    async def wait_for_view(self, limit_s: float) -> ControlView | None:
        """Return the view in force; before the first one wait for it, for a limited time."""
        if self.view is None:
            await curio.ignore_after(limit_s, self._first_view.wait)
        return self.view

    async def watch(self) -> None:
        """Watch the members until cancelled: probe silent primaries, report changes."""
        next_housekeeping = time.monotonic() + HOUSEKEEPING_S
        while True:
            self._pauses.sleeps_until(time.monotonic() + WATCH_INTERVAL_S)
            await curio.sleep(WATCH_INTERVAL_S)
            now = time.monotonic()
            self._pauses.woke(now)
            for group in [group for group in self.groups.values() if group.limit > 0]:
                await self._watch_group(group, now)
            await self._return_leases()
            if now >= next_housekeeping:
                next_housekeeping = now + HOUSEKEEPING_S
                await self._keep_house(now)

    async def _watch_group(self, group: StatementGroup, now: float) -> None:
        for identity, pool in list(group.pools.items()):
            observed = pool.observed
            await pool.look_after_waiting(now)
            await pool.room_came()
            pool.judgement.look(group.name, observed, now)
            is_primary = identity == group.primary
            if self._wants_probe(observed, is_primary, now):
                observed.probed_at = now
                await curio.spawn(self._probe, pool, daemon=True)
            await self._report(group, observed)

    def _wants_probe(self, observed: ObservedMember, is_primary: bool, now: float) -> bool:
        """Tell whether a member should be asked whether it answers.

        A primary that is silent is, and any member that can't be reached or seems to hang: no
        statement goes there before it answers again.
        """
        if now - observed.probed_at < self._settings.probe_timeout_ms / 1_000:
            return False
        if observed.health is MemberHealth.UNREACHABLE or observed.seems_silent(now):
            return True
        interval_s = self._settings.probe_interval_ms / 1_000
        if observed.outstanding:
            interval_s *= BUSY_PROBE_SHARE
        return is_primary and now - observed.contact_at > interval_s

    async def _probe(self, pool: MemberPool) -> None:
        """Ask a member how it is, and learn from the answer, or from none."""
        limit_s = max(self._settings.probe_timeout_ms / 1_000, pool.observed.longest_sign_s)
        is_lost = pool.observed.health is MemberHealth.UNREACHABLE
        if is_lost or pool.observed.seems_silent(time.monotonic()):
            await self._runner.questions.examine(pool, limit_s)
        elif pool.has_room:
            await self._runner.questions.ask_status(pool, limit_s)
        else:
            await pool.connector.check_address(limit_s)

    async def _report(self, group: StatementGroup, observed: ObservedMember) -> None:
        """Report a member when its health, its role or the term of its log has changed.

        A primary that has lost its log is reported as one that can't be reached: it has to be
        replaced as soon.
        """
        identity = observed.record.identity
        key = (group.name, identity)
        is_primary = group.leads(identity)
        health = MemberHealth.UNREACHABLE if observed.has_lost_log else observed.health
        started_at_ms = observed.record.started_at_ms
        seen = _Seen(health, is_primary, observed.position.term, started_at_ms)
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

    def _forget_reports(self, view: ControlView) -> None:
        self._unusable &= view.announced.keys()
        gone = [key for key in self._reported if key[1] not in view.announced]
        for key in gone:
            del self._reported[key]

    async def _keep_house(self, now: float) -> None:
        for group in self.groups.values():
            for pool in group.pools.values():
                await pool.close_idle(now)

    async def _return_leases(self) -> None:
        """Give back what was taken away, once no member has more connections than are left."""
        if self.reporter is None or not self._owed:
            return
        due = {key for key in self._owed if self._holds_no_more_than_leased(*key)}
        self._owed -= due
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
        """Return the connections leased to each member of a group, and beside them to some."""
        at_members: Counter[str] = Counter()
        for (name, tenant), connections in self._leases.items():
            if name == group:
                at_members[member_of_budget(tenant)] += connections
        return at_members.pop("", 0), at_members

    def demands(self, whole: bool) -> tuple[ConnectionDemand, ...]:
        """Return what is to be told of the connections that there is use for here.

        :param whole: nothing of it is known yet where it is told
        """
        now = time.monotonic()
        told = (group.demands(now) for group in self.groups.values())
        return self._demand_news.changes_to_report(chain.from_iterable(told), whole)

    def _new_group(self, name: str) -> StatementGroup:
        def make_pool(observed: ObservedMember) -> MemberPool:
            settings = self._settings
            observed.pauses = self._pauses
            timeout_s = settings.connect_timeout_ms / 1_000
            neighbour = self._known_in(observed.record.zone)
            if neighbour is not None:
                observed.assume_times_of(neighbour)
            count = MemberTraffic(self._meter, lambda: self._distance_to(observed.record.zone))
            return MemberPool(observed, self._make_codec, settings.source_ip, timeout_s, count)

        return StatementGroup(name, make_pool, self._primary_lease_ends_at, self._outage_times)

    def _known_in(self, zone: str) -> ObservedMember | None:
        """Return a member of a zone whose times are known: a new one there is as far away."""
        pools = (pool for group in self.groups.values() for pool in group.pools.values())
        observed_members = (pool.observed for pool in pools if pool.observed.record.zone == zone)
        return next((observed for observed in observed_members if observed.opening.is_seen), None)

    def _distance_to(self, zone: str) -> Distance:
        """Return how far a zone is, whose region is that of the proxies there."""
        own = Place(self._settings.zone, self._settings.region)
        proxies = self.view.proxies.values() if self.view is not None else ()
        region = next((proxy.region for proxy in proxies if proxy.zone == zone), "")
        return own.distance_to(Place(zone, region))


def _text_of(leases: dict[tuple[str, str], int]) -> str:
    """Return connections by group, in one word."""
    total: Counter[str] = Counter()
    for (group, _), connections in leases.items():
        total[group] += connections
    return ",".join(f"{group}:{connections}" for group, connections in sorted(total.items()))
