"""An observer's assessment of one member from probes and traffic; sans-IO.

A member is unreachable if connections are refused or reset again after a quick second attempt, or
if several probes in a row, the later ones over fresh connections, get no answer within the silence
limit.  Slow answers, long queues and refusals for lack of connections are signs of load: such a
member is saturated, never unreachable.

The silence limit is the probe timeout for a member that answers promptly, and grows with the
slowest of its latest round trips.  When a member gets twice the work that it can do, its queue
grows by one second per second; from one probe to the next its answers take twice as long plus the
probe interval.  The limit covers this growth, so such a member is not found silent up to the
longest limit.  A member whose answers suddenly take longer than the limit is found silent.

Pauses of the observer do not count as silence of the member: if its ticks are late because it was
stopped or starved, the start of the silence is moved by the delay.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from limedyke.messages.control import MemberHealth

QUICK_PROBE_S = 0.05
SECOND_PROBE_S = 0.2
REFUSALS_NEEDED = 2
REFUSED_FOR_S = 0.08
SILENT_PROBES_NEEDED = 2
SATURATED_FOR_S = 2.0
OWN_PAUSE_S = 0.05
TICK_S = 0.05
ROUND_TRIPS_KEPT = 20
SLOWEST_ROUND_TRIPS = 2.0
"""Multiple of the slowest recent round trip in the silence limit, besides the probe interval."""
LONGEST_UNSEEN_S = 0.5
"""Growth of a queue that may occur between probes. With rarer probes, stalled requests trigger
one."""
LONGEST_LIMIT = 5.0
"""Upper bound of the silence limit, in probe timeouts."""


@dataclass(frozen=True, slots=True)
class HealthTiming:
    """Times of the assessment in seconds.

    :param probe_interval_s: between probes of the primary, or of a member of unknown role
    :param replica_probe_interval_s: between probes of a replica, whose loss stops no writes
    """

    probe_interval_s: float
    replica_probe_interval_s: float
    probe_timeout_s: float


class MemberHealthJudge:
    """Assesses one member; call ``tick`` at least every ``TICK_S`` while probes are outstanding."""

    def __init__(self, timing: HealthTiming, now: float) -> None:
        self._timing = timing
        self._interval_s = timing.probe_interval_s
        self._ticked_at = now
        self._probe_due_at = now
        self._silent_since: float | None = None
        self._unanswered = 0
        self._refusals = 0
        self._refused_since = 0.0
        self._overloaded_at = float("-inf")
        self._round_trips: deque[float] = deque(maxlen=ROUND_TRIPS_KEPT)
        self._judged = False
        self.health = MemberHealth.REACHABLE

    @property
    def judged(self) -> bool:
        """Whether there has been any evidence yet."""
        return self._judged

    @property
    def outstanding(self) -> int:
        """Number of probes without an answer in the present silence."""
        return self._unanswered

    def take_role(self, is_replica: bool | None) -> None:
        """Set the member's role, None if unknown; it determines the probe interval."""
        timing = self._timing
        self._interval_s = (
            timing.replica_probe_interval_s if is_replica else timing.probe_interval_s
        )

    def tick(self, now: float) -> MemberHealth:
        """Update the health by the elapsed time and return it."""
        pause = now - self._ticked_at - TICK_S
        self._ticked_at = now
        if pause > OWN_PAUSE_S and self._silent_since is not None:
            self._silent_since += pause
        if self._is_silent(now):
            self._set(MemberHealth.UNREACHABLE)
        return self.health

    def _is_silent(self, now: float) -> bool:
        if self._silent_since is None or self._unanswered < SILENT_PROBES_NEEDED:
            return False
        return now - self._silent_since >= self.silence_limit_s

    @property
    def silence_limit_s(self) -> float:
        """Time without any answer to probes after which the member counts as silent."""
        timeout_s = self._timing.probe_timeout_s
        slowest_s = max(self._round_trips, default=0.0)
        unseen_s = min(self._interval_s, LONGEST_UNSEEN_S)
        slow_s = unseen_s + SLOWEST_ROUND_TRIPS * slowest_s
        return min(max(timeout_s, slow_s), LONGEST_LIMIT * timeout_s)

    @property
    def silent_since(self) -> float | None:
        """When the first probe of the present silence was sent; None after an answer."""
        return self._silent_since

    def wants_probe(self, now: float) -> bool:
        """Tell whether a probe should be sent now."""
        return now >= self._probe_due_at

    def wait_s(self, now: float) -> float:
        """Return how long until the next tick or probe."""
        until_probe = max(0.0, self._probe_due_at - now)
        return min(until_probe, TICK_S) if self._unanswered else until_probe

    def probe_sent(self, now: float) -> None:
        """Record a probe; a second one follows soon unless an answer arrives."""
        self._unanswered += 1
        if self._silent_since is None:
            self._silent_since = now
            self._ticked_at = now
        is_first = self._unanswered == 1
        self._probe_due_at = now + (SECOND_PROBE_S if is_first else self._interval_s)

    def answered(self, now: float, round_trip_s: float | None = None) -> None:
        """Record any answer of the member, to a probe or to a request.

        :param round_trip_s: time from the probe to its answer; None for other signs of life
        """
        if round_trip_s is not None:
            self._round_trips.append(round_trip_s)
        self._silent_since = None
        self._unanswered = 0
        self._refusals = 0
        self._probe_due_at = now + self._interval_s
        overloaded = now - self._overloaded_at < SATURATED_FOR_S
        self._set(MemberHealth.SATURATED if overloaded else MemberHealth.REACHABLE)

    def overloaded(self, now: float) -> None:
        """Record that the member answered but accepted no more connections."""
        self._overloaded_at = now
        self.answered(now)

    def refused(self, now: float) -> None:
        """Record that a connection was refused or reset; probe again soon."""
        if self._refusals == 0:
            self._refused_since = now
        self._refusals += 1
        self._unanswered = max(0, self._unanswered - 1)
        if self._unanswered == 0:
            self._silent_since = None
        lasted = now - self._refused_since
        if self._refusals >= REFUSALS_NEEDED and lasted >= REFUSED_FOR_S:
            self._set(MemberHealth.UNREACHABLE)
        quick = self.health is not MemberHealth.UNREACHABLE
        self._probe_due_at = now + (QUICK_PROBE_S if quick else self._interval_s)

    def disturbed(self, now: float) -> None:
        """Record trouble seen by requests: probe at once, unless a probe is outstanding."""
        if self._unanswered == 0:
            self._probe_due_at = min(self._probe_due_at, now)

    def _set(self, health: MemberHealth) -> None:
        self._judged = True
        self.health = health
