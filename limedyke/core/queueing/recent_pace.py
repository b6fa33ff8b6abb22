"""Time between the last turns of a queue, while requests wait; sans-IO.

The smoothed cost of requests follows a member that becomes slower only after many turns. Requests
whose turn can't come in time any more would be refused when only one is left before them.
"""

from __future__ import annotations

from collections import deque

COUNTED_TURNS = 2
"""One slow turn may be an exception; two in a row are taken for the present pace."""


class RecentPace:
    """The shortest of the last gaps between two turns; times are seconds of a monotonic clock."""

    def __init__(self) -> None:
        self._last_at = 0.0
        self._gaps_s: deque[float] = deque(maxlen=COUNTED_TURNS)

    def start(self, now: float) -> None:
        """Record that a request begins to wait in an empty queue."""
        self._last_at = now
        self._gaps_s.clear()

    def turn(self, now: float) -> None:
        """Record that a waiting request gets its turn."""
        self._gaps_s.append(now - self._last_at)
        self._last_at = now

    @property
    def gap_s(self) -> float:
        """The least time that a turn takes at present; 0 until it is known."""
        return min(self._gaps_s) if len(self._gaps_s) == COUNTED_TURNS else 0.0
