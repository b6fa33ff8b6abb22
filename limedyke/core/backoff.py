"""Exponential backoff with full jitter; sans-IO."""

from __future__ import annotations


class Backoff:
    """Delays between attempts that keep failing.

    :param base_s: upper bound of the first delay
    :param limit_s: upper bound of any delay
    """

    def __init__(self, base_s: float, limit_s: float) -> None:
        self._base_s = base_s
        self._limit_s = limit_s
        self._failures = 0
        self.ready_at = 0.0

    @property
    def failures(self) -> int:
        """Number of consecutive failures."""
        return self._failures

    def failed(self, now: float, random_unit: float) -> float:
        """Record a failed attempt and return the delay until the next one.

        :param random_unit: uniform in [0, 1)
        """
        bound = min(self._limit_s, self._base_s * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        delay = bound * (0.5 + 0.5 * random_unit)
        self.ready_at = now + delay
        return delay

    def succeeded(self) -> None:
        """Record a success, which resets the delay."""
        self._failures = 0
        self.ready_at = 0.0

    def ready(self, now: float) -> bool:
        """Tell whether another attempt may start."""
        return now >= self.ready_at
