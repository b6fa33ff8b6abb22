"""One member as observed by a proxy: reachability, response times, log position; sans-IO."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from limedyke.core.statements.answer_quality import AnswerQuality
from limedyke.core.statements.concurrency_limit import ConcurrencyLimit
from limedyke.core.statements.process_pauses import ProcessPauses
from limedyke.core.statements.replica_lag import ReplicaLag
from limedyke.core.statements.time_estimate import TimeEstimate
from limedyke.messages.control import MemberHealth
from limedyke.messages.databases import AnnouncedMember, MemberState
from limedyke.messages.work import LogPosition

FIRST_ANSWER_S = 0.02
"""Assumed time of an answer before one was measured; short, so that a new member is tried."""
FIRST_OPENING_S = 0.04
"""Assumed time to open a connection before one was opened: two round trips within a region and some
work of the member."""
FIRST_SPREAD_S = 0.06
"""Assumed spread of both times. A member 45 ms away one way needs 0.19 s for its first answer (2
round trips and 12 ms of work) and must not count as silent before."""
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0
FIRST_BUSY_S = 0.05
LONGEST_BUSY_S = 0.4
"""A member without room is avoided for this time, which doubles until the member has served
something again."""
REPORT_LIFE_S = 0.5
"""A member's report of its load is used for this time."""
STALE_S = 1.0
"""After this time without an answer the known response time starts to decay towards the fastest one
with this half-life, so that a member that was slow is tried again."""
TROUBLES_FOR_UNREACHABLE = 2
RECENT_ANSWER_S = 0.5
SILENT_S = 0.1
"""A member counts as hanging after this silence, if its response times do not explain it."""
MAX_SLOT_USE_S = 0.35
"""A request without an answer for longer than this, and than response times explain, no longer
counts against the limit: a member that drops some work has finished or lost it."""
OPENING = "opening"
"""The kind of work for opening a connection."""


def _first_answer() -> TimeEstimate:
    return TimeEstimate(FIRST_ANSWER_S, FIRST_SPREAD_S)


def _first_opening() -> TimeEstimate:
    return TimeEstimate(FIRST_OPENING_S, FIRST_SPREAD_S)


@dataclass(slots=True)
class ObservedMember:
    """One member as this proxy sees it; times are seconds of a monotonic clock.

    :ivar outstanding: this proxy's connections to it that are in use
    :ivar waiting: this proxy's requests that wait for a connection to it
    :ivar answer: time of its answers, network included
    :ivar opening: time to open a connection to it
    :ivar paused_until: it gets no new work before, unless no other member is left
    :ivar lag: lag of its log, while it is a replica
    :ivar position: its last reported position
    :ivar contact_at: when it last answered anything
    :ivar probed_at: when it was last probed
    :ivar leads: whether it is the recorded primary
    :ivar told: the highest position that it reported as primary
    :ivar has_lost_log: whether it restarted without positions that it had reported
    :ivar busy_until: it recently reported having no room
    :ivar quality: the failing share of its answers
    :ivar concurrency: bounds this proxy's requests under way there
    :ivar reserved: connections lent to requests that have not sent anything yet
    :param pauses: pauses of this process, which do not count as silence of the member
    """

    record: AnnouncedMember
    pauses: ProcessPauses = field(default_factory=ProcessPauses)
    outstanding: int = 0
    waiting: int = 0
    answer: TimeEstimate = field(default_factory=_first_answer)
    opening: TimeEstimate = field(default_factory=_first_opening)
    paused_until: float = 0.0
    busy_until: float = 0.0
    lag: ReplicaLag = field(default_factory=ReplicaLag)
    position: LogPosition = field(default_factory=LogPosition)
    contact_at: float = float("-inf")
    probed_at: float = float("-inf")
    health: MemberHealth = MemberHealth.REACHABLE
    leads: bool = False
    told: LogPosition = field(default_factory=LogPosition)
    has_lost_log: bool = False
    quality: AnswerQuality = field(default_factory=AnswerQuality)
    concurrency: ConcurrencyLimit = field(init=False)
    reserved: int = 0
    _sent_at: list[float] = field(default_factory=list)
    _awaited_since: float = 0.0
    _owes_answer: bool = False
    _troubles: int = 0
    _busy_s: float = FIRST_BUSY_S
    _other_busy_slots: int = 0
    _busy_reported_at: float = float("-inf")
    _quickest_s: float = float("inf")
    _served_at: float = float("-inf")

    def __post_init__(self) -> None:
        """Start with a limit that suits the member's capacity."""
        self.concurrency = ConcurrencyLimit(max(1, self.record.capacity))

    @property
    def is_ready(self) -> bool:
        """Whether the member accepts new work."""
        return self.record.state is MemberState.READY

    def takes_work(self, now: float) -> bool:
        """Return whether a statement that only this member can run should be sent now."""
        is_gone = self.health is MemberHealth.UNREACHABLE and now < self.paused_until
        return self.is_ready and not is_gone

    def answered_lately(self, now: float) -> bool:
        """Return whether it answered so recently that no probe is due."""
        return now - self.contact_at < RECENT_ANSWER_S

    def sent(self, now: float) -> None:
        """Record that a statement or query was sent and its answer is awaited."""
        if not self._sent_at and not self._owes_answer:
            self._awaited_since = now
        self._sent_at.append(now)

    def ended(self, is_answered: bool = True, sent_at: float | None = None) -> None:
        """Record that an answer is no longer awaited.

        :param is_answered: False if it timed out and the member answered nothing meanwhile
        :param sent_at: when the request was sent; None for the oldest one
        """
        self._sent_at.remove(self._sent_at[0] if sent_at is None else sent_at)
        self._owes_answer = self._owes_answer or not is_answered

    def awaited_s(self, since: float, now: float) -> float:
        """Return the time since a moment without pauses of this process."""
        return now - since - self.pauses.total_s(since, now)

    def silent_s(self, now: float) -> float:
        """Return for how long answers were awaited without a single one arriving.

        After a timeout the member counts as silent until it answers something.
        """
        if not self._sent_at and not self._owes_answer:
            return 0.0
        return self.awaited_s(self._awaited_since, now)

    def seems_silent(self, now: float) -> bool:
        """Return whether the member seems to hang: none of the awaited answers arrives."""
        return self.silent_s(now) >= max(SILENT_S, self.longest_sign_s)

    def under_way(self, now: float) -> int:
        """Return how many of this proxy's requests use a slot of the member or are about to."""
        if not self._sent_at:
            return self.reserved
        longest_s = max(MAX_SLOT_USE_S, self.longest_sign_s)
        return self.reserved + sum(now - sent_at < longest_s for sent_at in self._sent_at)

    def has_room(self, now: float) -> bool:
        """Tell whether the limit allows one more statement or connection opening."""
        return self.concurrency.has_room(self.under_way(now))

    @property
    def longest_sign_s(self) -> float:
        """The longest time in which a healthy member answers or accepts a connection."""
        return max(self.answer.longest_s, self.opening.longest_s)

    def usual_s(self, now: float) -> float:
        """Return the recent time of an answer.

        Old measurements count less, since reads that avoid a slow member never observe its
        recovery.
        """
        usual_s = self.answer.usual_s
        stale_s = now - self._served_at - STALE_S
        if stale_s <= 0.0 or not math.isfinite(self._served_at):
            return usual_s
        quickest_s = min(self._quickest_s, usual_s)
        kept = 0.5 ** (stale_s / STALE_S)
        return quickest_s + (usual_s - quickest_s) * kept

    def expected_s(self, now: float) -> float:
        """Return the recent time of an answer, at least the time for which it is silent."""
        return max(self.usual_s(now), self.silent_s(now))

    def total_load(self, now: float) -> int:
        """Return the work under way there: of this proxy, and of others by its last report."""
        others = self._other_busy_slots if now - self._busy_reported_at < REPORT_LIFE_S else 0
        return self.under_way(now) + others

    def report_busy_slots(self, busy: int, now: float) -> None:
        """Record how many of its slots are in use, including the one of the query itself."""
        self._other_busy_slots = max(0, busy - self.under_way(now))
        self._busy_reported_at = now

    def answered(self, now: float, position: LogPosition | None) -> None:
        """Record any sign of life, with the position that it reported, if any."""
        self.contact_at = now
        self._awaited_since = now
        self._owes_answer = False
        self.paused_until = 0.0
        self._troubles = 0
        self.health = MemberHealth.REACHABLE
        if position is not None:
            self.position = position
            if self.leads:
                self.told = max(self.told, position)

    def note_primary_change(self, leads: bool) -> None:
        """Record a change of primary; reported positions count from now on."""
        self.leads = leads
        self.told = LogPosition()
        self.has_lost_log = False

    def opened_at(self, position: LogPosition | None, told: LogPosition) -> None:
        """Check the position with which a new connection began.

        A primary's log never goes back while its process runs.  A process that restarted under the
        same identity is empty, accepts connections for that identity, and may claim to be the
        primary; if it is cut off from the controllers, nobody else detects this for seconds.
        Members that do not report their start time get a new identity instead.

        :param told: highest position that it had reported when the connection was requested
        """
        if not self.leads or position is None or self.record.started_at_ms == 0:
            return
        self.has_lost_log = self.has_lost_log or position < told

    def connected(self, now: float, seconds: float) -> None:
        """Record that a connection was opened, which a member that hangs may still accept.

        An unreachable member stays so until it answers a statement or query.

        :param seconds: time that this took, including two round trips
        """
        self.contact_at = now
        self.opening.learn(seconds)
        self.answer.assume(seconds / 2)
        if self.health is MemberHealth.REACHABLE:
            self.paused_until = 0.0
            self._troubles = 0

    def served(self, seconds: float, now: float | None = None) -> None:
        """Record the time of an answer."""
        self.answer.learn(seconds)
        self._quickest_s = min(self._quickest_s, self.answer.usual_s)
        if now is None:
            return
        self._served_at = now
        self.quality.good(now)
        if now >= self.busy_until:
            self._busy_s = FIRST_BUSY_S

    def assume_times_of(self, other: ObservedMember) -> None:
        """Adopt the times of another member, for example one in the same zone."""
        for own, known in ((self.answer, other.answer), (self.opening, other.opening)):
            if known.is_seen and not own.is_seen:
                own.usual_s, own.spread_s = known.usual_s, known.spread_s

    def answer_took_at_least(self, seconds: float) -> None:
        """Record that an answer was given up after this time."""
        self.answer.learn_at_least(seconds)

    def is_busy(self, now: float) -> None:
        """Record its statement that it has no room."""
        if now < self.busy_until:
            return
        self.busy_until = now + self._busy_s
        self._busy_s = min(2 * self._busy_s, LONGEST_BUSY_S)

    def probe_timed_out(self, now: float) -> None:
        """Record that a probe got no answer before its timeout."""
        self._owes_answer = True
        self._record_trouble(now, TROUBLES_FOR_UNREACHABLE)

    def answer_timed_out(self, asked_at: float, limit_s: float, now: float) -> bool:
        """Record an answer's timeout; return whether it is evidence against the member.

        It is none if this process paused, since the request may not even have been sent.
        """
        if self.awaited_s(asked_at, now) < limit_s:
            return False
        self.probe_timed_out(now)
        return True

    def broke(self, now: float) -> None:
        """Record that a connection was refused, reset or closed."""
        self.quality.bad(now, "broke")
        self._record_trouble(now, 1)

    def _record_trouble(self, now: float, weight: int) -> None:
        self._troubles += weight
        pause_s = min(FIRST_PAUSE_S * 2 ** (self._troubles - 1), LONGEST_PAUSE_S)
        self.paused_until = now + pause_s
        if self._troubles >= TROUBLES_FOR_UNREACHABLE:
            self.health = MemberHealth.UNREACHABLE
