"""Measured rate at which waiting requests are dequeued; sans-IO.

The number of a member's connections does not predict this rate when some are idle in transactions,
others are opened anew for each tenant, or the member slows down.
"""

from __future__ import annotations

GAP_SMOOTHING = 0.1
MAX_AGE_S = 1.0
"""After this time without a waiting request the measured rate is discarded."""
DEFAULT_VARIATION = 0.75
"""Relative variation for randomly timed dequeues; assumed until some have been measured."""
STALL_GAPS = 4.0
"""This many usual gaps without a dequeue mean that dequeues have become slower."""


class DequeueRate:
    """Usual time between two dequeued requests; times are seconds of a monotonic clock.

    :ivar last_at: when a request was last dequeued, or when the queue last became non-empty
    """

    def __init__(self) -> None:
        self._gap_s = 0.0
        self._spread_s = 0.0
        self.last_at = float("-inf")

    def start_waiting(self, now: float, assumed_gap_s: float) -> None:
        """Record that a request starts to wait in an empty queue.

        :param assumed_gap_s: gap between two dequeues, used unless one was measured recently
        """
        if now - self.last_at > MAX_AGE_S:
            self._gap_s = assumed_gap_s
            self._spread_s = DEFAULT_VARIATION * assumed_gap_s
        self.last_at = now

    def record_dequeue(self, now: float) -> None:
        """Record that a waiting request is dequeued."""
        error_s = now - self.last_at - self._gap_s
        self._gap_s += GAP_SMOOTHING * error_s
        self._spread_s += GAP_SMOOTHING * (abs(error_s) - self._spread_s)
        self.last_at = now

    def gap_s(self, since_last_s: float) -> float:
        """Return the expected time between two dequeues.

        :param since_last_s: time since the last dequeue, without pauses of this process
        """
        return max(self._gap_s, since_last_s / STALL_GAPS)

    @property
    def variation(self) -> float:
        """Variation of the gap relative to the gap, at most 1; 0 for a constant gap."""
        return min(1.0, self._spread_s / self._gap_s) if self._gap_s > 0.0 else DEFAULT_VARIATION
