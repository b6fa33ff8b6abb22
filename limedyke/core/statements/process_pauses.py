"""Pauses of this process; sans-IO.

A process without processor time, or on a frozen machine, finds all its timeouts expired when it
resumes.  It would consider peers silent that answered meanwhile or were never asked.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

MIN_PAUSE_S = 0.1
"""Shorter delays are no pauses: processor quotas are distributed every tenth of a second."""
MAX_PAUSES = 32
"""Number of pauses remembered; older ones are not subtracted from waiting times."""


@dataclass(frozen=True, slots=True)
class _Pause:
    began_at: float
    ended_at: float

    def part_since(self, moment: float) -> float:
        """Return the part after a moment, in seconds."""
        return max(0.0, self.ended_at - max(self.began_at, moment))


class ProcessPauses:
    """Detects pauses by the late wake-ups of a periodic task; times are of a monotonic clock.

    :ivar expected_at: when that task should wake up next; None while it works
    """

    def __init__(self) -> None:
        self.expected_at: float | None = None
        self._pauses: deque[_Pause] = deque(maxlen=MAX_PAUSES)

    def sleeps_until(self, moment: float) -> None:
        """Record when the task should wake up."""
        self.expected_at = moment

    def woke(self, now: float) -> None:
        """Record that the task woke up; a late wake-up is a pause."""
        pause = self._present(now)
        self.expected_at = None
        if pause is not None:
            self._pauses.append(pause)

    def total_s(self, since: float, now: float) -> float:
        """Return the total length of pauses between a moment and now.

        A pause that has just ended counts even if the task has not run since.
        """
        seconds = sum(pause.part_since(since) for pause in self._pauses)
        present = self._present(now)
        return seconds if present is None else seconds + present.part_since(since)

    def _present(self, now: float) -> _Pause | None:
        if self.expected_at is None or now - self.expected_at < MIN_PAUSE_S:
            return None
        return _Pause(self.expected_at, now)
