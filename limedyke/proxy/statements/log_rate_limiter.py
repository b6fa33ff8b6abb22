"""A rate limit for log lines."""

from __future__ import annotations


class LogRateLimiter:
    """Token bucket that holds the lines of one second at most.

    :param lines_per_second: the rate, and the largest burst
    :param now: seconds of a monotonic clock
    """

    def __init__(self, lines_per_second: int, now: float) -> None:
        self._lines_per_second = float(lines_per_second)
        self._left = self._lines_per_second
        self._filled_at = now

    def take(self, now: float) -> bool:
        """Take one line from the bucket; return False when it is empty."""
        filled = self._left + (now - self._filled_at) * self._lines_per_second
        self._left = min(filled, self._lines_per_second)
        self._filled_at = now
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
