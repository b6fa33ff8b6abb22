"""How long a group is without a primary that answers, and how long that lasts as a rule; sans-IO.

A statement that needs the primary while there is none may be held until there is one again, or
be refused.  Held too short, it is refused again and again while the next primary is on its way, and
its client gives up; held for long in an outage that does not end, it only loses time.
"""

from __future__ import annotations

FIRST_USUAL_S = 1.5
"""Until a change of primary was seen: from a crash to the record of the next primary 1.3 to 1.4 s
passed in the runs measured (docs/DECIDING.md)."""
SHORTEST_USUAL_S = 0.5
LONGEST_USUAL_S = 5.0
LEARNING_RATE = 0.3
PATIENCE = 2.0
"""A statement is held until an outage has lasted so many times as long as usual."""
OVERDUE_SHARE = 0.25
"""An outage that has lasted so long already is expected to last so much of that again."""
FORGOTTEN_S = 1.0
"""An outage that no statement noticed for so long is over."""


class OutageTimes:
    """How long changes of primary took, as this process saw them; one for all groups.

    :ivar usual_s: from the first statement that found no primary to the record of the next one
    """

    def __init__(self) -> None:
        self.usual_s = FIRST_USUAL_S

    def learn(self, seconds: float) -> None:
        """Take how long one outage lasted."""
        bounded_s = min(max(seconds, SHORTEST_USUAL_S), LONGEST_USUAL_S)
        self.usual_s += LEARNING_RATE * (bounded_s - self.usual_s)


class PrimaryOutage:
    """The present outage of one group, if there is one; times are seconds of a monotonic clock."""

    def __init__(self, times: OutageTimes) -> None:
        self._times = times
        self._began_at: float | None = None
        self._noticed_at = 0.0

    def note_no_primary(self, now: float) -> None:
        """Note that a statement found no primary that answers."""
        if self._began_at is None or now - self._noticed_at > FORGOTTEN_S:
            self._began_at = now
        self._noticed_at = now

    def ended(self) -> None:
        """Note that the primary answers."""
        self._began_at = None

    def note_replaced(self, now: float) -> None:
        """Note that another primary is recorded: learn how long that took."""
        if self._began_at is not None and now - self._noticed_at <= FORGOTTEN_S:
            self._times.learn(now - self._began_at)
        self._began_at = None

    def hold_until(self, now: float) -> float:
        """Return until when a statement may be held; ``now`` or earlier when not at all."""
        if self._began_at is None:
            return now
        return self._began_at + PATIENCE * self._times.usual_s

    def return_in_s(self, now: float) -> float:
        """Return in how many seconds a primary is worth asking for again; 0 without an outage.

        One that lasts longer than usual is asked for less and less often.
        """
        if self._began_at is None or now - self._noticed_at > FORGOTTEN_S:
            return 0.0
        return max(self.expected_left_s(now), OVERDUE_SHARE * (now - self._began_at))

    def expected_left_s(self, now: float) -> float:
        """Return in how many seconds the outage is expected to be over; 0 when it should be."""
        if self._began_at is None:
            return 0.0
        return max(0.0, self._began_at + self._times.usual_s - now)
