"""One group of announced members: its pools, its primary and this proxy's lease."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Mapping
from types import MappingProxyType

import curio

from limedyke.core.member_caps import holds_common
from limedyke.core.queueing.retry_schedule import RetrySchedule
from limedyke.core.statements.acknowledgement import AcknowledgementRule, Office, Permission
from limedyke.core.statements.member_roles import MemberRoles
from limedyke.core.statements.observed_member import ObservedMember
from limedyke.core.statements.primary_outage import OutageTimes, PrimaryOutage
from limedyke.core.statements.primary_positions import PrimaryPositions
from limedyke.core.statements.retry_budget import RetryBudget
from limedyke.core.statements.routing import accepts_reads, ready_in_s
from limedyke.messages.control import ConnectionDemand, GroupPrimary, MemberHealth
from limedyke.messages.databases import AnnouncedMember
from limedyke.messages.declaration import Group
from limedyke.messages.work import FIRST_POSITION, LogPosition
from limedyke.proxy.statements.members.member_pool import MemberPool

LEASE_MARGIN_S = 0.2
"""The primary lease counts as expired this much early, so that a statement sent now still runs
under it."""
CUT_OFF_AFTER_S = 1.0
"""Seconds after the end of the primary lease from which statements are no longer held: the proxy
may be cut off from the controllers and learn of a new primary late."""
PRIMARY_CHECK_INTERVAL_S = 0.1
"""Interval at which a held statement checks whether the primary answers."""
DEFAULT_DEQUEUE_INTERVAL_S = 0.005
"""Assumed time between two turns at members to which only other proxies have connections."""
MINIMUM_GAP_S = 0.0001
MS_PER_S = 1_000
NO_MEMBERS: Mapping[str, int] = MappingProxyType({})
MakePool = Callable[[ObservedMember], MemberPool]


class StatementGroup:
    """Members, pools and the primary of one group.

    :param name: of the group
    :param make_pool: creates the pool of a member
    :param lease_ends_at: returns when the primary lease ends, monotonic seconds; until then no
        other member can be primary
    :param outage_times: usual durations of primary changes

    :ivar fence: number of the grant of the current term
    :ivar retries: budget for retries of the group's statements
    :ivar self_reported_primary: member that claims to be primary but is not the recorded one
    :ivar replaced_primary: the former primary, while no primary is recorded
    :ivar roles: what the members said of their roles
    :ivar acknowledged: the highest position that the recorded primary acknowledged a commit with
    :ivar is_position_query_running: a query for the primary's position is running
    :ivar confirmation: set when the running query for the primary's role ends; None if none runs
    """

    def __init__(
        self,
        name: str,
        make_pool: MakePool,
        lease_ends_at: Callable[[], float],
        outage_times: OutageTimes,
    ) -> None:
        self.name = name
        self.outage = PrimaryOutage(outage_times)
        self.pools: dict[str, MemberPool] = {}
        self.positions = PrimaryPositions()
        self.retries = RetryBudget()
        self.primary = ""
        self.term = 0
        self.fence = 0
        self.limit = 0
        self._declared: Group | None = None
        self._limits_at: Mapping[str, int] = NO_MEMBERS
        self.self_reported_primary = ""
        self.replaced_primary = ""
        self.roles = MemberRoles()
        self.acknowledged = FIRST_POSITION
        self._primary_started_at_ms = 0
        self.next_primary_search_at = 0.0
        self.is_position_query_running = False
        self.confirmation: curio.Event | None = None
        self.primary_changed = curio.Event()
        self.leased = curio.Event()
        self._retry_schedule = RetrySchedule()
        self._acknowledgement = AcknowledgementRule()
        self._make_pool = make_pool
        self._lease_ends_at = lease_ends_at

    @property
    def observed_members(self) -> list[ObservedMember]:
        """Each member as this proxy observes it."""
        return [pool.observed for pool in self.pools.values()]

    def primary_pool(self) -> MemberPool | None:
        """Return the pool of the presumed primary; None while none is known.

        This is the recorded primary. If none is recorded, or the recorded one reported that it is
        not primary, it is a member that reports itself as primary. Its claim suffices for
        statements whose role it checks itself, such as writes. A primary that is being replaced is
        never chosen, because writes that it acknowledges now may be lost.
        """
        recorded = self.pools.get(self.primary)
        if self._primary_has_restarted():
            recorded = None
        if recorded is not None and not self.roles.denies(self.primary):
            return recorded
        if self.self_reported_primary == self.replaced_primary:
            return recorded
        return self.pools.get(self.self_reported_primary) or recorded

    def retry_after_ms(self, priority: int, needs_primary: bool, ready_in_s: float) -> int:
        """Return the retry delay for a refused statement, from the rate at which members serve.

        :param ready_in_s: seconds until there is room for it, if known
        """
        outage_s = self.outage.return_in_s(time.monotonic()) if needs_primary else 0.0
        ready_in_s = max(ready_in_s, outage_s)
        primary = self.primary_pool()
        pools = [primary] if needs_primary and primary is not None else list(self.pools.values())
        turns = sum(
            1.0 / max(pool.dequeue_interval_s, MINIMUM_GAP_S) for pool in pools if pool.limit > 0
        )
        gap_s = 1.0 / turns if turns else DEFAULT_DEQUEUE_INTERVAL_S
        return_s = self._retry_schedule.retry_after_s(priority, ready_in_s, time.monotonic(), gap_s)
        return math.ceil(return_s * MS_PER_S)

    async def record_reported_role(self, identity: str, is_primary: bool, asked_at: float) -> None:
        """Record a member's own report on whether it is primary.

        :param asked_at: when the member was asked, monotonic seconds
        """
        if not is_primary:
            self.roles.denied(identity, asked_at, time.monotonic())
            if self.self_reported_primary == identity:
                self.self_reported_primary = ""
            return
        if self.roles.is_confirmed(identity):
            return
        was_accepted = self.is_accepted_primary(identity)
        if not self.roles.claimed(identity, asked_at):
            return
        is_news = identity not in (self.primary, self.self_reported_primary)
        if is_news:
            self.self_reported_primary = identity
        if is_news or was_accepted != self.is_accepted_primary(identity):
            await self._wake_waiters()

    def is_accepted_primary(self, identity: str) -> bool:
        """Tell whether a member is the recorded primary and has not denied that it is."""
        is_recorded = identity == self.primary and not self.roles.denies(identity)
        return is_recorded and not self._primary_has_restarted()

    def has_unreachable_primary(self) -> bool:
        """Tell whether the presumed primary is known but unreachable from this proxy."""
        pool = self.primary_pool()
        return pool is not None and pool.observed.health is MemberHealth.UNREACHABLE

    def lacks_primary(self, now: float) -> bool:
        """Tell whether there is no known primary that answers."""
        pool = self.primary_pool()
        if pool is None or self.roles.denies(pool.observed.record.identity):
            return True
        return pool.observed.health is MemberHealth.UNREACHABLE or pool.observed.seems_silent(now)

    def has_replica_for(self, since: float, written: LogPosition | None, within_s: float) -> bool:
        """Tell whether a replica is expected to be able to serve a read soon.

        :param since: the read must see all writes acknowledged before this monotonic time
        :param written: further log position that the replica must hold; None for none
        :param within_s: longest wait until the replica is ready, in seconds
        """
        fresh = self.positions.not_older_than(since)
        if fresh is None:
            return False
        required = fresh if written is None else max(fresh, written)
        held_since = self.positions.held_since(required)
        now = time.monotonic()
        return any(
            accepts_reads(pool.observed)
            and ready_in_s(pool.observed, required, held_since, now) <= within_s
            for identity, pool in self.pools.items()
            if identity != self.primary
        )

    def hold_until(self, now: float) -> float:
        """Return until when statements that need the primary are held; ``now`` for no hold."""
        if self.primary_lease_left_s() < -CUT_OFF_AFTER_S:
            return now
        return self.outage.hold_until(now)

    def primary_lease_left_s(self) -> float:
        """Return the seconds left of the primary lease, less a margin; negative once it ended."""
        return self._lease_ends_at() - LEASE_MARGIN_S - time.monotonic()

    def is_surely_primary(self, identity: str) -> bool:
        """Tell whether a member is the recorded primary under a lease that is still valid.

        The member itself must have confirmed it to this proxy, as the record may have been made
        before it leads. A statement that is sent now runs a little later, so the lease must last
        until then.
        """
        is_confirmed = self.roles.is_confirmed(identity) and not self._primary_has_restarted()
        return is_confirmed and self.primary_lease_left_s() > 0.0

    def awaits_confirmation(self) -> bool:
        """Tell whether a primary is recorded under a valid lease that has yet to say it leads."""
        is_accepted = self.is_accepted_primary(self.primary) and self.primary_lease_left_s() > 0.0
        return bool(self.primary) and is_accepted and not self.roles.is_confirmed(self.primary)

    def has_sure_primary(self) -> bool:
        """Tell whether a primary is recorded and confirmed, under a lease that is still valid."""
        return bool(self.primary) and self.is_surely_primary(self.primary)

    @property
    def is_synchronous(self) -> bool:
        """Whether commits wait for replicas before they are acknowledged."""
        return self._declared is not None and self._declared.synchronous_replicas > 0

    def office_of(self, identity: str) -> Office:
        """Return the office under which a statement is sent to a member now."""
        return self._acknowledgement.office_of(identity)

    def commit_permission(self, sent_under: Office) -> Permission:
        """Tell whether the answer to a commit may be relayed to its client now."""
        if not self.is_synchronous:
            return Permission.GRANTED
        return self._acknowledgement.permission(sent_under, self._lease_ends_at(), time.monotonic())

    def may_commit(self) -> bool:
        """Tell whether a commit that is sent now may be acknowledged, as far as is known."""
        return not self.is_synchronous or time.monotonic() < self._lease_ends_at()

    def _primary_has_restarted(self) -> bool:
        """Tell whether the recorded primary restarted and so lost its log."""
        pool = self.pools.get(self.primary)
        if pool is None:
            return False
        started_at_ms = pool.observed.record.started_at_ms
        is_later = 0 < self._primary_started_at_ms < started_at_ms
        return is_later or pool.observed.has_lost_log

    async def update_members(self, members: Mapping[str, AnnouncedMember]) -> None:
        """Update the pools to the recorded members of this group, given by identity."""
        for identity in [name for name in self.pools if name not in members]:
            await self.pools.pop(identity).drain()
        for identity, record in members.items():
            pool = self.pools.get(identity)
            if pool is not None and _is_same_process(pool.observed.record, record):
                pool.observed.record = record
                continue
            if pool is not None:
                await pool.drain()
            self.roles.forget(identity)
            self.pools[identity] = self._make_pool(ObservedMember(record))
            self.pools[identity].on_answer = self._wake_waiters
            self.pools[identity].observed.leads = identity == self.primary
            await self.pools[identity].set_limit(self.limit_at(identity))

    async def update_primary(self, primary: GroupPrimary | None) -> None:
        """Update the recorded primary."""
        identity = primary.primary if primary is not None else ""
        term = primary.term if primary is not None else 0
        self._primary_started_at_ms = primary.started_at_ms if primary is not None else 0
        self.fence = primary.fence if primary is not None else 0
        if (identity, term) == (self.primary, self.term):
            return
        self.replaced_primary = "" if identity else self._replaced_by(primary)
        self._acknowledgement.primary_recorded(
            Office(identity, term), self._lease_ends_at(), time.monotonic()
        )
        if identity:
            self.outage.note_replaced(time.monotonic())
        self.primary = identity
        self.term = term
        for name, pool in self.pools.items():
            pool.observed.note_primary_change(name == identity)
        self.positions.clear()
        self.acknowledged = FIRST_POSITION
        self.self_reported_primary = ""
        self.roles.primary_recorded(identity, time.monotonic())
        await self._wake_waiters()

    def _replaced_by(self, granted: GroupPrimary | None) -> str:
        """Return the primary that a grant replaces, also if another grant came before it.

        Controllers of an earlier version do not record it.
        """
        recorded = granted.replaced if granted is not None else ""
        return recorded or self.primary or self.replaced_primary

    async def wait_for_primary(self, until: float) -> bool:
        """Wait briefly for a primary that changes, or answers again.

        :returns: False when ``until`` has already passed
        """
        left_s = until - time.monotonic()
        if left_s <= 0.0:
            return False
        await curio.ignore_after(min(left_s, PRIMARY_CHECK_INTERVAL_S), self.primary_changed.wait)
        return True

    async def _wake_waiters(self) -> None:
        """Wake all statements that wait for a primary."""
        event, self.primary_changed = self.primary_changed, curio.Event()
        await event.set()

    async def set_limit(self, limit: int, limits_at: Mapping[str, int] = NO_MEMBERS) -> None:
        """Update the connection lease.

        :param limit: connections to each member
        :param limits_at: additional connections to certain members, by identity
        """
        self.limit = limit
        self._limits_at = limits_at
        if limit > 0:
            await self.leased.set()
        else:
            self.leased.clear()
        for identity, pool in self.pools.items():
            await pool.set_limit(self.limit_at(identity))

    def set_home_proxy_count(self, proxies: int) -> None:
        """Update how many home proxies share the members."""
        for observed in self.observed_members:
            observed.concurrency.set_proxies(proxies)

    async def update_declaration(self, declared: Group) -> None:
        """Update the group's declaration, which says at which members the common lease holds."""
        if declared == self._declared:
            return
        self._declared = declared
        for identity, pool in self.pools.items():
            await pool.set_limit(self.limit_at(identity))

    def limit_at(self, identity: str) -> int:
        """Return how many connections to a member may be open."""
        if self.limit == 0:
            return 0
        is_common = self._declared is None or holds_common(self._declared, identity)
        return is_common * self.limit + self._limits_at.get(identity, 0)

    def exceeds_lease(self, identity: str = "") -> bool:
        """Tell whether more connections are open than leased to a member, or to any if empty."""
        pools = self.pools.items()
        return any(
            pool.opened > self.limit_at(name) for name, pool in pools if identity in ("", name)
        )

    def demands(self, now: float) -> list[ConnectionDemand]:
        """Return this proxy's demand for connections to each member."""
        return [
            ConnectionDemand(
                self.name,
                identity,
                pool.use.wanted(now),
                pool.observed.outstanding,
                pool.observed.waiting,
                pool.use.turned_away,
            )
            for identity, pool in self.pools.items()
        ]

    def learn_position(
        self, identity: str, asked_at: float, position: LogPosition | None, proven: bool
    ) -> None:
        """Record a log position reported by a member if it is known to be the primary's.

        :param proven: the answer itself shows that the member was the primary
        """
        if position is None:
            return
        if proven or self.is_surely_primary(identity):
            self.positions.add(asked_at, position)

    def note_acknowledged(self, identity: str, asked_at: float, position: LogPosition) -> None:
        """Record the position of a commit that a member acknowledged, if it is the primary.

        :param asked_at: when the commit was sent; one from before the record changed may have been
            rolled back since
        """
        if self.is_accepted_primary(identity) and asked_at >= self.roles.changed_at:
            self.acknowledged = max(self.acknowledged, position)

    async def drain(self) -> None:
        """Close all pools because the group is no longer declared."""
        for pool in self.pools.values():
            await pool.drain()


def _is_same_process(known: AnnouncedMember, record: AnnouncedMember) -> bool:
    """Tell whether a record is of the same member process as the known one.

    Observations of another process and connections to it are useless for the new one.
    """
    is_same_place = known.address == record.address
    return is_same_place and known.started_at_ms == record.started_at_ms
