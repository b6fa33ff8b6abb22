"""How quickly what waits gets its turn, as seen while something waits; sans-IO.

What a member's connections should do says little when some rest in transactions, others are opened
anew for each tenant, or the member slows down.
"""

from __future__ import annotations

GAP_SMOOTHING = 0.1
FORGOTTEN_S = 1.0
"""After so long without anybody waiting what was seen is no guide any more."""
USUAL_VARIATION = 0.75
"""Of turns that come at random; assumed until some were seen."""
STALL_GAPS = 4.0
"""So many times the usual gap without a turn says that turns take longer now."""


class DequeueRate:
    """The usual time between two turns; times are seconds of a monotonic clock.

    :ivar last_at: when the last turn was, or something began to wait
    """

    def __init__(self) -> None:
        self._gap_s = 0.0
        self._spread_s = 0.0
        self.last_at = float("-inf")

    def start_waiting(self, now: float, assumed_gap_s: float) -> None:
        """Take that something waits from now on, where nothing did.

        :param assumed_gap_s: between two turns, unless it was seen a moment ago
        """
        if now - self.last_at > FORGOTTEN_S:
            self._gap_s = assumed_gap_s
            self._spread_s = USUAL_VARIATION * assumed_gap_s
        self.last_at = now

    def record_dequeue(self, now: float) -> None:
        """Take that one that waited has its turn."""
        error_s = now - self.last_at - self._gap_s
        self._gap_s += GAP_SMOOTHING * error_s
        self._spread_s += GAP_SMOOTHING * (abs(error_s) - self._spread_s)
        self.last_at = now

    def gap_s(self, since_last_s: float) -> float:
        """Return the time to expect between two turns.

        :param since_last_s: how long this process was there to see one since the last
        """
        return max(self._gap_s, since_last_s / STALL_GAPS)

    @property
    def variation(self) -> float:
        """How much the time between two turns varies, as a share of it; 0 when it doesn't."""
        return min(1.0, self._spread_s / self._gap_s) if self._gap_s > 0.0 else USUAL_VARIATION
