"""A home proxy's view of a group: declared members, term, health, positions; sans-IO."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from limedyke.core.replica_lag import PrimaryTimeline, ReplicaLag
from limedyke.messages.control import GroupPrimary, MemberHealth
from limedyke.messages.declaration import Group, Member
from limedyke.messages.work import LogPosition

SAMPLES_KEPT = 64
ROUND_TRIPS_NEEDED = 3


@dataclass(frozen=True, slots=True)
class PrimarySample:
    """The primary's position, queried at ``asked_at`` and confirmed to be the primary's."""

    asked_at: float
    position: int


@dataclass(slots=True)
class MemberState:
    """Known state of one member; an estimate, since the member may have restarted meanwhile.

    :param place: last term and position seen
    :param seen_at: when the query for that answer was sent; 0 for never
    :param lag: lag of a replica, derived from its answers
    :param round_trip_s: shortest time of an answer; 0 if unknown
    :param round_trips: number of answers measured
    :param outstanding: this proxy's units under way at the member
    :param waiting: this proxy's units that wait for it
    :param slots: statements that this proxy may execute there at once
    :param in_flight_limit: units that may be under way for that, including those on the network
    :param progress_at: when a unit there last finished, or started while none was under way
    """

    name: str
    address: str
    zone: str
    leaving: bool = False
    health: MemberHealth = MemberHealth.REACHABLE
    place: LogPosition = field(default_factory=LogPosition)
    is_replica: bool | None = None
    seen_at: float = 0.0
    lag: ReplicaLag = field(default_factory=ReplicaLag)
    round_trip_s: float = 0.0
    round_trips: int = 0
    outstanding: int = 0
    waiting: int = 0
    slots: int = 1
    in_flight_limit: int = 1
    progress_at: float = 0.0

    @property
    def saturated(self) -> bool:
        """Whether new work would have to wait there."""
        return self.waiting > 0 or self.outstanding >= self.in_flight_limit

    def answered_in(self, seconds: float) -> None:
        """Record the time of an answer; the shortest one is the network's part.

        It never grows again.  Under sustained load all answers take longer, and a round trip that
        followed them would allow more and more units under way.
        """
        self.round_trips += 1
        if self.round_trip_s == 0.0 or seconds < self.round_trip_s:
            self.round_trip_s = seconds

    @property
    def network_s(self) -> float:
        """The network's part of an answer's time; 0 until several answers were measured.

        A single one may have been delayed by this process, for example while many requests that
        waited for a new primary start at once.
        """
        return self.round_trip_s if self.round_trips >= ROUND_TRIPS_NEEDED else 0.0

    def holds(self, required: LogPosition) -> bool:
        """Tell whether its last answer reached a position."""
        return self.seen_at > 0.0 and self.place.satisfies(required)


class GroupView:
    """The state of one group, updated from control updates and member answers.

    :ivar term: term of the group as recorded by the controllers
    :ivar primary: the primary of that term, or empty during a promotion
    :ivar writes_paused: whether a planned switchover follows, so that no writes may start
    """

    def __init__(self, group: Group, primary: GroupPrimary | None) -> None:
        self.name = group.name
        self.term = 0
        self.primary = ""
        self.writes_paused = False
        self.members: dict[str, MemberState] = {}
        self.declared_count = 0
        self._samples: deque[PrimarySample] = deque(maxlen=SAMPLES_KEPT)
        self._timeline = PrimaryTimeline()
        self.declare(group, primary)

    def declare(self, group: Group, primary: GroupPrimary | None) -> bool:
        """Apply a declaration and the recorded primary; return whether the primary changed."""
        states = {}
        for member in group.members:
            states[member.name] = self._member_state(member)
        self.members = states
        self.declared_count = len(states)
        return self._take_primary(primary)

    def _member_state(self, member: Member) -> MemberState:
        state = self.members.get(member.name)
        if state is None or state.address != member.address:
            return MemberState(member.name, member.address, member.zone, member.leaving)
        state.zone = member.zone
        state.leaving = member.leaving
        return state

    def _take_primary(self, primary: GroupPrimary | None) -> bool:
        if primary is None or primary.term < self.term:
            return False
        before = (self.term, self.primary, self.writes_paused)
        if primary.term > self.term:
            self._samples.clear()
            self._timeline.clear()
        self.term = primary.term
        self.primary = primary.primary
        self.writes_paused = primary.switching_over
        return before != (self.term, self.primary, self.writes_paused)

    @property
    def majority(self) -> int:
        """Number of declared members that form a majority."""
        return self.declared_count // 2 + 1

    def primary_state(self) -> MemberState | None:
        """Return the state of the recorded primary, or None while there is none."""
        return self.members.get(self.primary)

    def observed(
        self,
        name: str,
        place: LogPosition,
        is_replica: bool,
        asked_at: float,
        answered_at: float | None = None,
    ) -> None:
        """Record a member's answer to the position query, sent at ``asked_at``.

        :param answered_at: when the answer arrived; defaults to ``asked_at``
        """
        state = self.members.get(name)
        if state is None:
            return
        if not is_replica:
            self.reached(place, asked_at if answered_at is None else answered_at)
        elif place.term == self.term:
            state.lag.observe(self._timeline, place.position, asked_at)
        if asked_at < state.seen_at:
            return
        state.place = place
        state.is_replica = is_replica
        state.seen_at = asked_at

    def reached(self, place: LogPosition, now: float) -> None:
        """Record that the primary had reached a position by ``now``, by it or a session token."""
        if place.term == self.term:
            self._timeline.reached(place.position, now)

    def wait_for_replica_s(self, state: MemberState, required: LogPosition, now: float) -> float:
        """Return the probable time until a replica reaches a position; 0 if it may have."""
        if state.holds(required):
            return 0.0
        reached_at = self._timeline.reached_at(required.position)
        age = 0.0 if reached_at is None else now - reached_at
        return max(0.0, state.lag.missing_age_s(now) - age)

    def primary_confirmed(self, term: int, position: int, asked_at: float) -> None:
        """Record a position that was that of no replaced primary at ``asked_at``."""
        if term != self.term:
            return
        self._samples.append(PrimarySample(asked_at, position))

    def place_not_older(self, since: float) -> LogPosition | None:
        """Return a position that covers all commits acknowledged before ``since``, or None.

        A replica that has reached it shows data no older than ``since``.
        """
        for sample in self._samples:
            if sample.asked_at >= since:
                return LogPosition(self.term, sample.position)
        return None

    def restarted(self, name: str) -> None:
        """Record that a member closed its connections, so that its position is unknown."""
        state = self.members.get(name)
        if state is None:
            return
        state.place = LogPosition()
        state.seen_at = 0.0
        state.lag = ReplicaLag()
