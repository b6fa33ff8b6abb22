"""One member as a proxy observes it: whether it answers, how fast, how far; sans-IO."""

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
"""Assumed of an answer until one was seen: quick, so that a new member is tried."""
FIRST_OPENING_S = 0.04
"""Assumed of opening a connection until one was opened: two round trips within a region and some
work of the member."""
FIRST_SPREAD_S = 0.06
"""Assumed spread of both: a member at 45 ms one way isn't taken for silent before its first sign
(2 round trips and 12 ms of work: 0.19 s)."""
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0
FIRST_BUSY_S = 0.05
LONGEST_BUSY_S = 0.4
"""A member that turned work away is left alone for so long, twice as long each time until it has
served something after that."""
TOLD_S = 0.5
"""What a member told of its load says something for so long."""
STALE_S = 1.0
"""After so long without an answer what is known of its time beyond the quickest begins to halve, in
the same time: a member that was slow is tried again, and one that still is shows it soon."""
TROUBLES_FOR_UNREACHABLE = 2
LATELY_S = 0.5
SILENT_S = 0.1
"""A member silent for so long, and for longer than its answers explain, seems to hang."""
LONGEST_SLOT_USE_S = 0.35
"""What isn't answered for longer, and for longer than answers explain, holds no slot of the limit
any more: a member that is mute for some of its work has ended that, or lost it."""
OPENING = "opening"
"""The kind of work that opening a connection is."""


def _first_answer() -> TimeEstimate:
    return TimeEstimate(FIRST_ANSWER_S, FIRST_SPREAD_S)


def _first_opening() -> TimeEstimate:
    return TimeEstimate(FIRST_OPENING_S, FIRST_SPREAD_S)


@dataclass(slots=True)
class ObservedMember:
    """One member as this proxy sees it; times are seconds of a monotonic clock.

    :ivar outstanding: connections of this proxy to it that are in use
    :ivar waiting: requests of this proxy that wait for a connection to it
    :ivar answer: how long its answers take, the network's part included
    :ivar opening: how long a connection to it takes to open
    :ivar paused_until: no new work goes there before, unless nothing else is left
    :ivar lag: how late its log is, while it is a replica
    :ivar position: the last one it told
    :ivar contact_at: when it last answered anything
    :ivar probed_at: when it was last asked whether it answers
    :ivar leads: it is the recorded primary
    :ivar told: the highest position that it told while it led
    :ivar has_lost_log: it has started again without what it had told of
    :ivar busy_until: it had no room for something a moment ago
    :ivar quality: how much of what is asked there fails
    :ivar concurrency: bounds what this proxy has under way there
    :ivar reserved: connections lent to requests that have not sent anything yet
    :param pauses: of this process: nothing that falls in there is silence of the member
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
    _others: int = 0
    _others_at: float = float("-inf")
    _quickest_s: float = float("inf")
    _served_at: float = float("-inf")

    def __post_init__(self) -> None:
        """Begin with a limit that suits the member's capacity."""
        self.concurrency = ConcurrencyLimit(max(1, self.record.capacity))

    @property
    def is_ready(self) -> bool:
        """Whether the member itself takes new work."""
        return self.record.state is MemberState.READY

    def takes_work(self, now: float) -> bool:
        """Whether a statement that only this member can run should be sent there now."""
        is_gone = self.health is MemberHealth.UNREACHABLE and now < self.paused_until
        return self.is_ready and not is_gone

    def answered_lately(self, now: float) -> bool:
        """Whether a further sign of life is not due yet."""
        return now - self.contact_at < LATELY_S

    def sent(self, now: float) -> None:
        """Note that a statement or question was sent, whose answer is awaited from now on."""
        if not self._sent_at and not self._owes_answer:
            self._awaited_since = now
        self._sent_at.append(now)

    def ended(self, is_answered: bool = True, sent_at: float | None = None) -> None:
        """Note that an answer is awaited no more.

        :param is_answered: False when its time passed and the member answered nothing meanwhile
        :param sent_at: when it was asked for; None for the one that is awaited for longest
        """
        self._sent_at.remove(self._sent_at[0] if sent_at is None else sent_at)
        self._owes_answer = self._owes_answer or not is_answered

    def awaited_s(self, since: float, now: float) -> float:
        """Return for how long this process has been there to take an answer."""
        return now - since - self.pauses.total_s(since, now)

    def silent_s(self, now: float) -> float:
        """Return for how long answers were awaited without a single one coming.

        A member that let the time of a statement pass is silent until it answers something.
        """
        if not self._sent_at and not self._owes_answer:
            return 0.0
        return self.awaited_s(self._awaited_since, now)

    def seems_silent(self, now: float) -> bool:
        """Whether the member seems to hang: nothing of what is awaited there comes."""
        return self.silent_s(now) >= max(SILENT_S, self.longest_sign_s)

    def under_way(self, now: float) -> int:
        """Return how much of this proxy holds a slot at the member, or is about to."""
        if not self._sent_at:
            return self.reserved
        longest_s = max(LONGEST_SLOT_USE_S, self.longest_sign_s)
        return self.reserved + sum(now - sent_at < longest_s for sent_at in self._sent_at)

    def has_room(self, now: float) -> bool:
        """Tell whether one more statement or opening may go there within the limit."""
        return self.concurrency.has_room(self.under_way(now))

    @property
    def longest_sign_s(self) -> float:
        """How long a member that works may take to answer, or to take a connection."""
        return max(self.answer.longest_s, self.opening.longest_s)

    def usual_s(self, now: float) -> float:
        """Return how long an answer takes lately.

        What was seen long ago counts less: reads that avoid a slow member never see it get quick.
        """
        usual_s = self.answer.usual_s
        stale_s = now - self._served_at - STALE_S
        if stale_s <= 0.0 or not math.isfinite(self._served_at):
            return usual_s
        quickest_s = min(self._quickest_s, usual_s)
        kept = 0.5 ** (stale_s / STALE_S)
        return quickest_s + (usual_s - quickest_s) * kept

    def expected_s(self, now: float) -> float:
        """Return how long an answer takes lately, at least as long as the member is silent."""
        return max(self.usual_s(now), self.silent_s(now))

    def crowd(self, now: float) -> int:
        """Return how much is under way there: of this proxy, and of others as it told lately."""
        others = self._others if now - self._others_at < TOLD_S else 0
        return self.under_way(now) + others

    def report_busy_slots(self, busy: int, now: float) -> None:
        """Take how many of its slots are in use, that of the question itself included."""
        self._others = max(0, busy - self.under_way(now))
        self._others_at = now

    def answered(self, now: float, position: LogPosition | None) -> None:
        """Take any sign that the member works."""
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
        """Take that the primary has changed: what this member told counts from here on."""
        self.leads = leads
        self.told = LogPosition()
        self.has_lost_log = False

    def opened_at(self, position: LogPosition | None, told: LogPosition) -> None:
        """Take the position that a new connection began with.

        A primary's log never goes back while its process runs. One that has started again under
        its identity is empty, takes connections meant for that identity, and may say that it
        leads; where it is cut off from the controllers nobody else would know for seconds. Members
        that do not tell when they started get a new identity instead.

        :param told: what it had told of when the connection was asked for
        """
        if not self.leads or position is None or self.record.started_at_ms == 0:
            return
        self.has_lost_log = self.has_lost_log or position < told

    def connected(self, now: float, seconds: float) -> None:
        """Take that a connection was opened: a member that hangs may still take them.

        One that can't be reached counts as such until it answers a statement or question.

        :param seconds: how long that took, with two round trips
        """
        self.contact_at = now
        self.opening.learn(seconds)
        self.answer.assume(seconds / 2)
        if self.health is MemberHealth.REACHABLE:
            self.paused_until = 0.0
            self._troubles = 0

    def served(self, seconds: float, now: float | None = None) -> None:
        """Take how long an answer took."""
        self.answer.learn(seconds)
        self._quickest_s = min(self._quickest_s, self.answer.usual_s)
        if now is None:
            return
        self._served_at = now
        self.quality.good(now)
        if now >= self.busy_until:
            self._busy_s = FIRST_BUSY_S

    def assume_times_of(self, other: ObservedMember) -> None:
        """Assume the times of another member, such as one in the same zone."""
        for own, known in ((self.answer, other.answer), (self.opening, other.opening)):
            if known.is_seen and not own.is_seen:
                own.usual_s, own.spread_s = known.usual_s, known.spread_s

    def answer_took_at_least(self, seconds: float) -> None:
        """Take that an answer was awaited for so long and then given up."""
        self.answer.learn_at_least(seconds)

    def is_busy(self, now: float) -> None:
        """Take its word that it has no room."""
        if now < self.busy_until:
            return
        self.busy_until = now + self._busy_s
        self._busy_s = min(2 * self._busy_s, LONGEST_BUSY_S)

    def probe_timed_out(self, now: float) -> None:
        """Note that a probe got no answer for its whole time."""
        self._owes_answer = True
        self._trouble(now, TROUBLES_FOR_UNREACHABLE)

    def answer_timed_out(self, asked_at: float, limit_s: float, now: float) -> bool:
        """Take that nothing came in the time for an answer; tell whether that says anything.

        It does not when this process stood still: it may not even have asked.
        """
        if self.awaited_s(asked_at, now) < limit_s:
            return False
        self.probe_timed_out(now)
        return True

    def broke(self, now: float) -> None:
        """Note that a connection was refused, reset or closed."""
        self.quality.bad(now, "broke")
        self._trouble(now, 1)

    def _trouble(self, now: float, weight: int) -> None:
        self._troubles += weight
        pause_s = min(FIRST_PAUSE_S * 2 ** (self._troubles - 1), LONGEST_PAUSE_S)
        self.paused_until = now + pause_s
        if self._troubles >= TROUBLES_FOR_UNREACHABLE:
            self.health = MemberHealth.UNREACHABLE
