"""Duration of a group's outages of the primary, for holding statements; sans-IO.

A statement that needs the primary during an outage may be held or refused.  If held too briefly it
is refused repeatedly while the next primary is about to take over, and its client gives up; if held
long in an outage that does not end, it only loses time.
"""

from __future__ import annotations

FIRST_USUAL_S = 1.5
"""Assumed duration until a change of primary was observed: 1.3 to 1.4 s pass from a crash to the
record of the next primary (docs/DECIDING.md)."""
SHORTEST_USUAL_S = 0.5
LONGEST_USUAL_S = 5.0
LEARNING_RATE = 0.3
PATIENCE = 2.0
"""A statement is held until an outage has lasted this many times the usual duration."""
OVERDUE_SHARE = 0.25
"""An overdue outage is expected to last this share of its duration so far."""
FORGOTTEN_S = 1.0
"""An outage that no statement has noticed for this time is over."""


class OutageTimes:
    """Durations of changes of primary as observed by this process; one for all groups.

    :ivar usual_s: time from the first statement without a primary to the record of the next one
    """

    def __init__(self) -> None:
        self.usual_s = FIRST_USUAL_S

    def learn(self, seconds: float) -> None:
        """Update the usual duration with that of one outage."""
        bounded_s = min(max(seconds, SHORTEST_USUAL_S), LONGEST_USUAL_S)
        self.usual_s += LEARNING_RATE * (bounded_s - self.usual_s)


class PrimaryOutage:
    """The present outage of one group, if any; times are seconds of a monotonic clock."""

    def __init__(self, times: OutageTimes) -> None:
        self._times = times
        self._began_at: float | None = None
        self._noticed_at = 0.0

    def note_no_primary(self, now: float) -> None:
        """Record that a statement found no answering primary."""
        if self._began_at is None or now - self._noticed_at > FORGOTTEN_S:
            self._began_at = now
        self._noticed_at = now

    def ended(self) -> None:
        """Record that the primary answers."""
        self._began_at = None

    def note_replaced(self, now: float) -> None:
        """Record that another primary was recorded, and learn the outage's duration."""
        if self._began_at is not None and now - self._noticed_at <= FORGOTTEN_S:
            self._times.learn(now - self._began_at)
        self._began_at = None

    def hold_until(self, now: float) -> float:
        """Return until when a statement may be held; ``now`` or earlier if it may not."""
        if self._began_at is None:
            return now
        return self._began_at + PATIENCE * self._times.usual_s

    def return_in_s(self, now: float) -> float:
        """Return the seconds until the next attempt at a primary; 0 without an outage.

        Attempts become less frequent the longer an outage is overdue.
        """
        if self._began_at is None or now - self._noticed_at > FORGOTTEN_S:
            return 0.0
        return max(self.expected_left_s(now), OVERDUE_SHARE * (now - self._began_at))

    def expected_left_s(self, now: float) -> float:
        """Return the seconds until the outage is expected to end; 0 if it is overdue."""
        if self._began_at is None:
            return 0.0
        return max(0.0, self._began_at + self._times.usual_s - now)
