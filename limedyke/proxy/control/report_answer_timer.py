"""Whether a proxy that has something urgent to say should try another controller; sans-IO.

A leader that is cut off is left when its quorum stamp has stood still for the silence limit.
That is long while a primary is lost: a report that is not answered within a second makes the
proxy leave sooner.  It does so once in a while only, so that a leader who is slow under a storm
of reports does not have to meet all proxies again and again.
"""

from __future__ import annotations

ANSWER_LIMIT_S = 1.0
SHORTEST_INTERVAL_S = 10.0


class ReportAnswerTimer:
    """Times one unanswered report after the other, in seconds of a monotonic clock."""

    def __init__(self) -> None:
        self._reported_at: float | None = None
        self._left_at = float("-inf")

    @property
    def is_waiting(self) -> bool:
        """Whether a report was sent and the leader has not been heard since."""
        return self._reported_at is not None

    def report_sent(self, now: float) -> None:
        """Note a report; the first one that is unanswered counts."""
        if self._reported_at is None:
            self._reported_at = now

    def answer_received(self) -> None:
        """Note that a heartbeat was answered, or that the link has ended."""
        self._reported_at = None

    def remaining_s(self, now: float) -> float:
        """Return how long the leader may still be silent; infinite when nothing is urgent."""
        if self._reported_at is None or now - self._left_at < SHORTEST_INTERVAL_S:
            return float("inf")
        return self._reported_at + ANSWER_LIMIT_S - now

    def link_closed(self, now: float) -> None:
        """Note that the leader was left for its silence."""
        self._left_at = now
        self._reported_at = None
