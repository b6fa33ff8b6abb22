"""How many log lines a second may be written."""

from __future__ import annotations


class LogRateLimiter:
    """Lines that may be written now; unused ones are kept for one second.

    :param lines_per_second: the rate, and the most that can be written at once
    :param now: seconds of a monotonic clock
    """

    def __init__(self, lines_per_second: int, now: float) -> None:
        self._lines_per_second = float(lines_per_second)
        self._left = self._lines_per_second
        self._filled_at = now

    def take(self, now: float) -> bool:
        """Take a line; False when none is left."""
        filled = self._left + (now - self._filled_at) * self._lines_per_second
        self._left = min(filled, self._lines_per_second)
        self._filled_at = now
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
