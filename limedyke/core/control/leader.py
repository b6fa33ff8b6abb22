"""The leader's decisions about proxies, leases and primaries, driven by events and a clock.

The state is kept in the leader's memory only. Whatever must survive a change of leader is
proposed as a log entry.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from limedyke.core.control.announcements import AnnouncementTracker
from limedyke.core.control.events import (
    AnswerHeartbeat,
    AuthorityAnswered,
    DisconnectProxy,
    HeartbeatReceived,
    LeaderCommand,
    LeaderEvent,
    LeasesReturned,
    MemberReported,
    OperationsRequested,
    PlatformListed,
    PositionReported,
    PrimaryClaimed,
    PromotionAnswered,
    Propose,
    ProxyConnected,
    ProxyDisconnected,
    ProxyLeft,
    SendToProxy,
    TimePassed,
    UpdateApplied,
    WritesPausedReported,
)
from limedyke.core.control.lease_table import LeaseTable
from limedyke.core.control.membership import ProxyMembership, has_ended, may_connect
from limedyke.core.control.primaries.authority_failover import AuthorityFailover
from limedyke.core.control.primaries.failover import FailoverCoordinator
from limedyke.core.control.state import ControlState
from limedyke.core.control.timing import ControlTiming
from limedyke.core.home import HomeDirectory, connection_limits
from limedyke.core.limits.operation_limits import OperationLimits
from limedyke.messages.control import (
    ConnectionLease,
    LeaseUpdate,
    ProxyHello,
)
from limedyke.messages.control_entries import ControlEntry, RecordLimits
from limedyke.messages.declaration import Group

CHECK_INTERVAL_S = 0.5
MINIMUM_MEMBERSHIP_INTERVAL_S = 0.02
MEMBERSHIP_INTERVAL_PER_GROUP_S = 0.2 / 1_800
"""Minimum interval between membership changes, as each makes every controller visit all groups."""
LEASES_EXPIRED = "its leases have run out"
EARLIER_PROCESS = "an earlier process of this name may still hold leases"


class LeaderDecisions:
    """Everything a controller decides while it leads.

    :param state: the replicated state; the caller applies entries to it
    :param home_proxies_per_group: the configured number; recorded in the log if it differs
    :param generator: source of jitter
    :param now: when this controller became the leader
    :param homes: the home proxies of the state, if the caller maintains them
    :param last_lead_began_at: when another controller last became the leader, as far as known
    """

    def __init__(
        self,
        state: ControlState,
        timing: ControlTiming,
        home_proxies_per_group: int,
        generator: Random,
        now: float,
        homes: HomeDirectory | None = None,
        last_lead_began_at: float = float("-inf"),
    ) -> None:
        self._state = state
        self._commands: list[LeaderCommand] = []
        self._next_check_at = now
        self._refused: set[str] = set()
        self._now = now
        self._next_membership_at = now
        self.homes = homes or HomeDirectory.of(
            state.home_proxies_per_group,
            state.proxies.values(),
            connection_limits(state.declared.groups.values()),
        )
        self.membership = ProxyMembership(state.proxies, timing, now)
        self.leases = LeaseTable(
            timing.lease_s, state.home_proxies_per_group, now, set(state.proxies)
        )
        self.failover = FailoverCoordinator(
            state.primaries, state.switchover_targets, self.membership, timing, generator
        )
        self.limits = OperationLimits(
            state.declared.tenants, timing.lease_s, now, last_lead_began_at
        )
        self.announcements = AnnouncementTracker(state.announced, state.displaced, now, state.ended)
        self.authority = AuthorityFailover(
            state.primaries,
            state.announced,
            state.proxies,
            self.announcements,
            self.membership,
            self.homes,
            timing,
            generator,
            now,
        )
        self._timing = timing
        if home_proxies_per_group != state.home_proxies_per_group:
            self._commands.append(Propose(RecordLimits(home_proxies_per_group)))
        for group in state.declared.groups.values():
            self._put_group(group, now)
        self._update_lease_members(state.declared.groups)

    @property
    def awaiting_positions_count(self) -> int:
        """How many groups have no primary as no member surely holds all acknowledged commits."""
        return self.authority.awaiting_positions_count

    def admits(self, hello: ProxyHello) -> bool:
        """Return whether a proxy may connect: no other process of its name may hold leases."""
        return may_connect(self._state.proxies.get(hello.name), hello)

    def handle(self, event: LeaderEvent, now: float) -> None:
        """Handle one event; the resulting commands are collected until ``take_commands``."""
        self._now = now
        if self._is_from_refused_proxy(event):
            return
        match event:
            case HeartbeatReceived():
                self._on_heartbeat(event, now)
            case MemberReported():
                self.failover.report(event.proxy, event.report, now)
                self.authority.report(event.proxy, event.report, now)
            case PositionReported():
                self.authority.position_reported(event.report, now)
            case PrimaryClaimed():
                self.authority.primary_claimed(event.claim, now)
            case OperationsRequested():
                granted = self.limits.wanted(event.proxy, event.request, now)
                self._commands.append(SendToProxy(event.proxy, granted))
            case AuthorityAnswered():
                self.authority.authority_answered(event.group, event.fence, event.outcome, now)
            case LeasesReturned():
                self.leases.returned(event.proxy, event.leases)
            case UpdateApplied():
                self._on_update(event, now)
            case TimePassed():
                self._on_time(now)
            case ProxyConnected():
                self._on_connected(event, now)
            case ProxyDisconnected():
                self._on_disconnected(event.proxy, now)
            case PromotionAnswered():
                self.failover.promotion_answered(
                    event.proxy, event.group, event.term, event.primary, now
                )
            case WritesPausedReported():
                self.failover.writes_paused(event.proxy, event.group, event.term, now)
            case ProxyLeft():
                self._on_left(event, now)
            case PlatformListed():
                self.membership.set_listed_as_leaving(event.leaving)

    def take_commands(self) -> list[LeaderCommand]:
        """Return the collected commands in order; proposals of one kind share log entries."""
        commands, self._commands = self._commands, []
        commands += [Propose(entry) for entry in self._membership_entries()]
        commands += self.failover.take_commands()
        commands += self.authority.take_commands()
        commands += self._lease_messages()
        return commands

    def _membership_entries(self) -> list[ControlEntry]:
        """Return membership changes, rate-limited; the first one is returned immediately."""
        if self._now < self._next_membership_at:
            return []
        entries = self.membership.take_entries()
        if entries:
            groups = len(self._state.declared.groups)
            interval_s = MEMBERSHIP_INTERVAL_PER_GROUP_S * groups
            self._next_membership_at = self._now + max(interval_s, MINIMUM_MEMBERSHIP_INTERVAL_S)
        return entries

    def _is_from_refused_proxy(self, event: LeaderEvent) -> bool:
        """Return whether an event comes from a proxy that was refused at its hello."""
        return getattr(event, "proxy", "") in self._refused

    def _on_connected(self, event: ProxyConnected, now: float) -> None:
        hello = event.hello
        self.failover.proxy_disconnected(hello.name, now)
        self.leases.disconnected(hello.name)
        if not self.admits(hello):
            self._refused.add(hello.name)
            self.membership.disconnected(hello.name)
            self._commands.append(DisconnectProxy(hello.name, EARLIER_PROCESS))
            return
        self._refused.discard(hello.name)
        self._end_earlier_processes(hello, now)
        known = self._state.proxies.get(hello.name)
        if known is not None and has_ended(known, hello):
            self.leases.ended(hello.name)
            self.limits.proxy_ended(hello.name, now)
        self.membership.connected(hello, now)

    def _end_earlier_processes(self, hello: ProxyHello, now: float) -> None:
        """Free the leases of other names with this proxy's folder id: their processes have ended.

        A proxy without a disk has a new name at each start. Its folder id is derived from its
        listening address, which only one process at a time can hold.
        """
        for name, record in self._state.proxies.items():
            if record.folder_id and record.folder_id == hello.folder_id and name != hello.name:
                self.leases.ended(name)
                self.limits.proxy_ended(name, now, hello.name)
                self.membership.ended(name)

    def _on_heartbeat(self, event: HeartbeatReceived, now: float) -> None:
        self.membership.heartbeat(event.proxy, event.heartbeat, now)
        self.limits.proxy_contacted(event.proxy, now)
        beat = event.heartbeat
        if event.first:
            self.leases.report(event.proxy, beat.leases, now, beat.demands)
        else:
            self.leases.renew(event.proxy, now)
            self.leases.record_demands(event.proxy, beat.demands)
        self._commands.append(AnswerHeartbeat(event.proxy, event.heartbeat.sequence))

    def _on_disconnected(self, proxy: str, now: float) -> None:
        self.membership.disconnected(proxy)
        self.leases.disconnected(proxy)
        self.failover.proxy_disconnected(proxy, now)
        self.authority.proxy_disconnected(proxy)

    def _on_left(self, event: ProxyLeft, now: float) -> None:
        if event.done:
            self.leases.ended(event.proxy)
            self.limits.proxy_ended(event.proxy, now)
        self.membership.left(event.proxy, event.done)

    def _on_time(self, now: float) -> None:
        self.failover.tick(now)
        self.authority.tick(now)
        self.limits.set_connected_share(self.leases.reported_share, now)
        self.limits.tick(now)
        self.leases.divide(now)
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_S
        for proxy in self.leases.expire(now):
            self._commands.append(DisconnectProxy(proxy, LEASES_EXPIRED))
        self.membership.check_silence(now, self.leases.holders())
        gone = self.announcements.remove_silent(self._timing.member_forgotten_s, now)
        if gone is not None:
            self._commands.append(Propose(gone))

    def _on_update(self, event: UpdateApplied, now: float) -> None:
        update = event.update
        changed = event.changed_homes
        if changed is None:
            changed = self.homes.apply(update)
        for name in update.removed_proxies:
            self.membership.forget(name)
        for name in update.removed_groups:
            self.leases.remove_group(name)
            self.failover.remove_group(name)
            self.authority.remove_group(name)
        for group in update.groups:
            self._put_group(group, now)
        self._update_lease_members(group.name for group in update.groups)
        for name in changed.difference(group.name for group in update.groups):
            self.leases.set_homes(name, self.homes.homes(name))
            self.failover.set_homes(name, self.homes.homes(name))
        self.limits.tenants_changed([tenant.name for tenant in update.tenants], now)
        self.limits.tenants_changed(update.removed_tenants, now)
        for primary in update.primaries:
            self.failover.primary_applied(primary, now)
            self.authority.primary_applied(primary, now)
        if update.announced or update.removed_announced:
            touched = self.authority.members_applied(
                update.announced, update.removed_announced, now
            )
            self._update_lease_members(touched)

    def _update_lease_members(self, groups: Iterable[str]) -> None:
        """Update the members among which the leases of groups with announced members are shared."""
        for name in groups:
            group = self._state.declared.groups.get(name)
            if group is not None and group.announced:
                members = self.authority.members_of(name)
                self.leases.set_members(name, (member.identity for member in members))

    def _put_group(self, group: Group, now: float) -> None:
        homes = self.homes.homes(group.name)
        self.leases.set_group(group)
        self.leases.set_homes(group.name, homes)
        if group.announced:
            self.authority.put_group(group, now)
        else:
            self.failover.put_group(group, homes, now)

    def _lease_messages(self) -> list[SendToProxy]:
        """Return one message for each proxy whose leases changed."""
        by_proxy: dict[str, dict[tuple[str, str], ConnectionLease]] = {}
        for change in self.leases.take_changes():
            lease = change.lease
            by_proxy.setdefault(change.proxy, {})[(lease.group, lease.tenant)] = lease
        return [
            SendToProxy(proxy, LeaseUpdate(tuple(leases.values())))
            for proxy, leases in by_proxy.items()
        ]
