"""Tracks how long the leader's quorum stamp has not advanced; sans-IO."""

from __future__ import annotations

from limedyke.messages.control import QuorumStamp


class QuorumStampTracker:
    """Tracks the quorum stamp, which only a leader with a live quorum can advance.

    Times are seconds of a monotonic clock.
    """

    def __init__(self) -> None:
        self._newest: tuple[int, int] = (0, 0)
        self._advanced_at = 0.0

    def link_opened(self, now: float) -> None:
        """Restart the silence timer, as a new leader has accepted the link."""
        self._advanced_at = now

    def is_older(self, stamp: QuorumStamp) -> bool:
        """Return whether a newer stamp was received before, from this leader or another."""
        return _order(stamp) < self._newest

    def advance(self, stamp: QuorumStamp, now: float) -> bool:
        """Record a stamp; return whether it is newer than all before."""
        if _order(stamp) <= self._newest:
            return False
        self._newest = _order(stamp)
        self._advanced_at = now
        return True

    def silent_s(self, now: float) -> float:
        """Return the seconds since the stamp last advanced."""
        return now - self._advanced_at


def _order(stamp: QuorumStamp) -> tuple[int, int]:
    return stamp.controller_term, stamp.stamp
