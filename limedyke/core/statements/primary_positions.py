"""Positions that a group's primary is known to have reached; sans-IO."""

from __future__ import annotations

import bisect
from collections import deque
from dataclasses import dataclass

from limedyke.messages.work import LogPosition

SAMPLES_KEPT = 128
SAMPLE_SPACING_S = 0.02


@dataclass(frozen=True, slots=True)
class PositionSample:
    """A position of the primary, queried at ``asked_at`` (seconds, monotonic)."""

    asked_at: float
    position: LogPosition


class PrimaryPositions:
    """Known positions of the primary's log over time.

    A sample covers every commit acknowledged before it was queried.
    """

    def __init__(self) -> None:
        self._samples: deque[PositionSample] = deque(maxlen=SAMPLES_KEPT)

    def clear(self) -> None:
        """Forget all samples after a change of primary."""
        self._samples.clear()

    def add(self, asked_at: float, position: LogPosition) -> None:
        """Add a position reported by a member while it was certainly the primary."""
        if self._samples and asked_at < self._samples[-1].asked_at + SAMPLE_SPACING_S:
            return
        self._samples.append(PositionSample(asked_at, position))

    def not_older_than(self, since: float) -> LogPosition | None:
        """Return the lowest position that covers all commits acknowledged before ``since``."""
        for sample in self._samples:
            if sample.asked_at >= since:
                return sample.position
        return None

    def held_since(self, position: LogPosition) -> float | None:
        """Return when the primary is first known to have reached a position; None if unknown."""
        return self._asked_at(bisect.bisect_left(self._samples, position, key=_position_of))

    def passed_at(self, position: LogPosition) -> float | None:
        """Return when the primary is first known to have passed a position; None if unknown."""
        return self._asked_at(bisect.bisect_right(self._samples, position, key=_position_of))

    def _asked_at(self, index: int) -> float | None:
        return self._samples[index].asked_at if index < len(self._samples) else None


def _position_of(sample: PositionSample) -> LogPosition:
    return sample.position
