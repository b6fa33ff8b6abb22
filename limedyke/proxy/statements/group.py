"""One group of announced members as this proxy serves it."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Mapping
from types import MappingProxyType

import curio

from limedyke.core.member_caps import holds_common
from limedyke.core.queueing.retry_schedule import RetrySchedule
from limedyke.core.statements.observed_member import ObservedMember
from limedyke.core.statements.primary_outage import OutageTimes, PrimaryOutage
from limedyke.core.statements.primary_positions import PrimaryPositions
from limedyke.core.statements.retry_budget import RetryBudget
from limedyke.core.statements.routing import accepts_reads, ready_in_s
from limedyke.messages.control import ConnectionDemand, GroupPrimary, MemberHealth
from limedyke.messages.databases import AnnouncedMember
from limedyke.messages.declaration import Group
from limedyke.messages.work import LogPosition
from limedyke.proxy.statements.members.member_pool import MemberPool

LEASE_MARGIN_S = 0.2
CUT_OFF_S = 1.0
"""A proxy whose lease ended so long ago may hear of the next primary late: it holds nothing."""
PRIMARY_LOOK_S = 0.1
"""A statement that is held looks again so often whether the primary answers."""
UNKNOWN_GAP_S = 0.005
"""Turns are assumed to come so quickly at members that another proxy has the connections to."""
LEAST_GAP_S = 0.0001
MS_PER_S = 1_000
NO_MEMBERS: Mapping[str, int] = MappingProxyType({})
MakePool = Callable[[ObservedMember], MemberPool]


class StatementGroup:
    """Members, pools and the primary of one group.

    :param name: of the group
    :param make_pool: makes the pool of a member
    :param lease_ends_at: gives the moment until which the recorded primary is surely the only one
    :param outage_times: how long changes of primary take as a rule

    :ivar retries: how many tries beyond the first its statements may cost
    :ivar position_is_asked: a question for the primary's position is under way
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
        self.limit = 0
        self._declared: Group | None = None
        self._limits_at: Mapping[str, int] = NO_MEMBERS
        self.exposed = ""
        self.replaced = ""
        self.denied: set[str] = set()
        self._primary_started_at_ms = 0
        self.next_search_at = 0.0
        self.position_is_asked = False
        self.primary_changed = curio.Event()
        self.leased = curio.Event()
        self._returns = RetrySchedule()
        self._make_pool = make_pool
        self._lease_ends_at = lease_ends_at

    @property
    def observed_members(self) -> list[ObservedMember]:
        """Each member as this proxy observes it."""
        return [pool.observed for pool in self.pools.values()]

    def primary_pool(self) -> MemberPool | None:
        """Return the pool of the member that should lead; None while none is known.

        It is the recorded primary, unless that one has said since that it does not lead, or none
        is recorded, and another member says that it does: its own word is good for what it
        checks itself, such as writes.  The one that is being replaced is not taken: what it
        acknowledges now may be lost.
        """
        recorded = self.pools.get(self.primary)
        if self._has_started_again():
            recorded = None
        if recorded is not None and self.primary not in self.denied:
            return recorded
        if self.exposed == self.replaced:
            return recorded
        return self.pools.get(self.exposed) or recorded

    def retry_after_ms(self, priority: int, needs_primary: bool, ready_in_s: float) -> int:
        """Return when one that is refused may come back, as the members give turns.

        :param ready_in_s: when there is room for it, if that is known
        """
        outage_s = self.outage.return_in_s(time.monotonic()) if needs_primary else 0.0
        ready_in_s = max(ready_in_s, outage_s)
        primary = self.primary_pool()
        pools = [primary] if needs_primary and primary is not None else list(self.pools.values())
        turns = sum(1.0 / max(pool.turn_gap_s, LEAST_GAP_S) for pool in pools if pool.limit > 0)
        gap_s = 1.0 / turns if turns else UNKNOWN_GAP_S
        return_s = self._returns.retry_after_s(priority, ready_in_s, time.monotonic(), gap_s)
        return math.ceil(return_s * MS_PER_S)

    async def says_role(self, identity: str, is_primary: bool) -> None:
        """Take a member's word on whether it leads."""
        if not is_primary:
            self.denied.add(identity)
            if self.exposed == identity:
                self.exposed = ""
            return
        self.denied.discard(identity)
        if identity not in (self.primary, self.exposed):
            self.exposed = identity
            await self._wake_waiting()

    def leads(self, identity: str) -> bool:
        """Tell whether a member is the recorded primary, and has said nothing to the contrary."""
        is_recorded = identity == self.primary and identity not in self.denied
        return is_recorded and not self._has_started_again()

    def has_unreachable_primary(self) -> bool:
        """Tell whether this proxy can't reach the member that should lead, though one is known."""
        pool = self.primary_pool()
        return pool is not None and pool.observed.health is MemberHealth.UNREACHABLE

    def lacks_primary(self, now: float) -> bool:
        """Tell whether no member is known that leads and answers."""
        pool = self.primary_pool()
        if pool is None or pool.observed.record.identity in self.denied:
            return True
        return pool.observed.health is MemberHealth.UNREACHABLE or pool.observed.seems_silent(now)

    def has_replica_for(self, since: float, written: LogPosition | None, within_s: float) -> bool:
        """Tell whether a replica is expected to serve a read soon.

        :param since: what was acknowledged before, seconds of the monotonic clock, must be seen
        :param written: position that must be held beside that; None for none
        :param within_s: how soon
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
        """Return until when statements that need the primary are held; ``now`` when they aren't."""
        if self.primary_lease_left_s() < -CUT_OFF_S:
            return now
        return self.outage.hold_until(now)

    def primary_lease_left_s(self) -> float:
        """Return for how long the recorded primary is surely the only one; negative when not."""
        return self._lease_ends_at() - LEASE_MARGIN_S - time.monotonic()

    def is_surely_primary(self, identity: str) -> bool:
        """Tell whether a member is the recorded primary, and no other can be for a while.

        A statement that is sent now runs a little later: the lease must hold until then.
        """
        is_recorded = identity == self.primary and not self._has_started_again()
        return is_recorded and self.primary_lease_left_s() > 0.0

    def _has_started_again(self) -> bool:
        """Tell whether the recorded primary has started again, and holds nothing of its log."""
        pool = self.pools.get(self.primary)
        if pool is None:
            return False
        started_at_ms = pool.observed.record.started_at_ms
        is_later = 0 < self._primary_started_at_ms < started_at_ms
        return is_later or pool.observed.has_lost_log

    async def take_members(self, members: Mapping[str, AnnouncedMember]) -> None:
        """Take the recorded members of this group, by identity."""
        for identity in [name for name in self.pools if name not in members]:
            await self.pools.pop(identity).drain()
        for identity, record in members.items():
            pool = self.pools.get(identity)
            if pool is not None and _is_same_process(pool.observed.record, record):
                pool.observed.record = record
                continue
            if pool is not None:
                await pool.drain()
            self.denied.discard(identity)
            self.pools[identity] = self._make_pool(ObservedMember(record))
            self.pools[identity].observed.leads = identity == self.primary
            await self.pools[identity].set_limit(self.limit_at(identity))

    async def take_primary(self, primary: GroupPrimary | None) -> None:
        """Take the recorded primary."""
        identity = primary.primary if primary is not None else ""
        term = primary.term if primary is not None else 0
        self._primary_started_at_ms = primary.started_at_ms if primary is not None else 0
        if (identity, term) == (self.primary, self.term):
            return
        self.replaced = "" if identity else self.primary
        if identity:
            self.outage.note_replaced(time.monotonic())
        self.primary = identity
        self.term = term
        for name, pool in self.pools.items():
            pool.observed.note_primary_change(name == identity)
        self.positions.clear()
        self.exposed = ""
        self.denied.clear()
        await self._wake_waiting()

    async def wait_for_primary(self, until: float) -> bool:
        """Wait a little for a change of the primary; False when ``until`` has passed already."""
        left_s = until - time.monotonic()
        if left_s <= 0.0:
            return False
        await curio.ignore_after(min(left_s, PRIMARY_LOOK_S), self.primary_changed.wait)
        return True

    async def _wake_waiting(self) -> None:
        """Have those that wait for a primary look again."""
        event, self.primary_changed = self.primary_changed, curio.Event()
        await event.set()

    async def set_limit(self, limit: int, limits_at: Mapping[str, int] = NO_MEMBERS) -> None:
        """Take the lease of connections.

        :param limit: to each member
        :param limits_at: to some of them beside that, by identity
        """
        self.limit = limit
        self._limits_at = limits_at
        if limit > 0:
            await self.leased.set()
        else:
            self.leased.clear()
        for identity, pool in self.pools.items():
            await pool.set_limit(self.limit_at(identity))

    def set_proxies(self, proxies: int) -> None:
        """Take how many home proxies send to the members."""
        for observed in self.observed_members:
            observed.concurrency.set_proxies(proxies)

    async def take_declared(self, declared: Group) -> None:
        """Take the declaration: at which members the lease to each one holds."""
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
        """Tell whether more connections are open than leased to a member; empty for any."""
        pools = self.pools.items()
        return any(
            pool.opened > self.limit_at(name) for name, pool in pools if identity in ("", name)
        )

    def demands(self, now: float) -> list[ConnectionDemand]:
        """Return how many connections to each member there is use for here."""
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
        """Take a position that a member told.

        :param proven: the answer itself shows that the member was the primary
        """
        if position is None:
            return
        if proven or self.is_surely_primary(identity):
            self.positions.add(asked_at, position)

    async def drain(self) -> None:
        """Close all pools: the group is declared no longer."""
        for pool in self.pools.values():
            await pool.drain()


def _is_same_process(known: AnnouncedMember, record: AnnouncedMember) -> bool:
    """Tell whether a record is of the process that is known: another one holds nothing of before.

    What was observed of it, and its connections, are of no use then.
    """
    is_same_place = known.address == record.address
    return is_same_place and known.started_at_ms == record.started_at_ms
