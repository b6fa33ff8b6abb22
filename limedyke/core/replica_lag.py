"""Lag of a replica behind its primary in time, learned from observed positions; sans-IO.

The primary's timeline gives the time since which a position is known.  A replica's answer shows up
to which age positions are missing there, and from which age they are present.  Older positions are
probably present.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right

SAMPLES_LIMIT = 1_024
SAMPLE_STEP_S = 0.002
MISSING_AGE_HALF_LIFE_S = 1.0


class PrimaryTimeline:
    """Times at which the primary of one term is known to have reached its positions."""

    __slots__ = ("_positions", "_times")

    def __init__(self) -> None:
        self._times: list[float] = []
        self._positions: list[int] = []

    def clear(self) -> None:
        """Forget all samples, since a new term begins."""
        self._times.clear()
        self._positions.clear()

    def reached(self, position: int, now: float) -> None:
        """Record that the primary had reached a position by ``now``, in monotonic seconds."""
        if self._positions and position <= self._positions[-1]:
            return
        if self._times and now - self._times[-1] < SAMPLE_STEP_S:
            self._positions[-1] = position
            return
        self._times.append(now)
        self._positions.append(position)
        if len(self._times) > SAMPLES_LIMIT:
            del self._times[: SAMPLES_LIMIT // 2]
            del self._positions[: SAMPLES_LIMIT // 2]

    def reached_at(self, position: int) -> float | None:
        """Return since when a position is known, or None if it is not known yet.

        For positions before the first sample it is only known that they are older.
        """
        index = bisect_left(self._positions, position)
        return self._times[index] if index < len(self._times) else None

    def held_since(self, position: int) -> float | None:
        """Return when the newest position present on a member at ``position`` was reached."""
        index = bisect_right(self._positions, position) - 1
        return self._times[index] if index >= 0 else None

    def missing_since(self, position: int) -> float | None:
        """Return when the oldest position missing on a member at ``position`` was reached."""
        index = bisect_right(self._positions, position)
        return self._times[index] if index < len(self._times) else None


class ReplicaLag:
    """The minimum age of a position that a replica probably has.

    Each answer of the replica updates it.  Without answers it halves every
    ``MISSING_AGE_HALF_LIFE_S``, so that a replica that caught up is asked again.
    """

    __slots__ = ("_missing_age_s", "_moved_at")

    def __init__(self) -> None:
        self._missing_age_s = 0.0
        self._moved_at = 0.0

    def observe(self, timeline: PrimaryTimeline, position: int, asked_at: float) -> None:
        """Record the position that the replica answered to a query sent at ``asked_at``."""
        age = self.missing_age_s(asked_at)
        held_since = timeline.held_since(position)
        if held_since is not None:
            age = min(age, max(0.0, asked_at - held_since))
        missing_since = timeline.missing_since(position)
        if missing_since is not None:
            age = max(age, asked_at - missing_since)
        self._missing_age_s = age
        self._moved_at = asked_at

    def missing_age_s(self, now: float) -> float:
        """Return the age in seconds up to which positions are probably missing there."""
        idle_s = max(0.0, now - self._moved_at)
        return self._missing_age_s * 0.5 ** (idle_s / MISSING_AGE_HALF_LIFE_S)
