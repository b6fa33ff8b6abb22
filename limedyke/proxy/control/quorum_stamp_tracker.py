"""How long the leader's quorum stamp has stood still; sans-IO."""

from __future__ import annotations

from limedyke.messages.control import QuorumStamp


class QuorumWatch:
    """Follows the stamp that only a leader with a live quorum can move on.

    Times are seconds of a monotonic clock.
    """

    def __init__(self) -> None:
        self._newest: tuple[int, int] = (0, 0)
        self._advanced_at = 0.0

    def link_opened(self, now: float) -> None:
        """Count the silence from now on: a new leader has accepted the link."""
        self._advanced_at = now

    def is_outdated(self, stamp: QuorumStamp) -> bool:
        """Tell whether a newer stamp was seen already, of this leader or another."""
        return _order(stamp) < self._newest

    def advance(self, stamp: QuorumStamp, now: float) -> bool:
        """Take a stamp; tell whether it is newer than all before."""
        if _order(stamp) <= self._newest:
            return False
        self._newest = _order(stamp)
        self._advanced_at = now
        return True

    def silent_s(self, now: float) -> float:
        """Return for how many seconds no newer stamp has come."""
        return now - self._advanced_at


def _order(stamp: QuorumStamp) -> tuple[int, int]:
    return stamp.controller_term, stamp.stamp
