"""When this process itself stood still; sans-IO.

A process that gets no processor time, or whose machine is frozen, finds all its time limits passed
when it goes on, and takes others for silent that answered meanwhile or were never asked.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

LEAST_PAUSE_S = 0.1
"""A shorter delay is no pause: a machine's share of a core is dealt out each tenth of a second."""
KEPT = 32
"""Pauses remembered; what is awaited from before so many counts as if there had been none."""


@dataclass(frozen=True, slots=True)
class _Pause:
    began_at: float
    ended_at: float

    def part_since(self, moment: float) -> float:
        """Return how much of it came after a moment, in seconds."""
        return max(0.0, self.ended_at - max(self.began_at, moment))


class ProcessPauses:
    """Learns of pauses from a task that wakes up again and again; times are of a monotonic clock.

    :ivar expected_at: when that task is to wake up next; None while it works
    """

    def __init__(self) -> None:
        self.expected_at: float | None = None
        self._pauses: deque[_Pause] = deque(maxlen=KEPT)

    def sleeps_until(self, moment: float) -> None:
        """Note when the task is to wake up."""
        self.expected_at = moment

    def woke(self, now: float) -> None:
        """Note that the task woke up, late if the process stood still."""
        pause = self._present(now)
        self.expected_at = None
        if pause is not None:
            self._pauses.append(pause)

    def total_s(self, since: float, now: float) -> float:
        """Return for how long the process stood still since a moment, up to now.

        A pause that has just ended counts although the task has not run since.
        """
        seconds = sum(pause.part_since(since) for pause in self._pauses)
        present = self._present(now)
        return seconds if present is None else seconds + present.part_since(since)

    def _present(self, now: float) -> _Pause | None:
        if self.expected_at is None or now - self.expected_at < LEAST_PAUSE_S:
            return None
        return _Pause(self.expected_at, now)
