"""Exponentially decaying rate of operations; sans-IO."""

from __future__ import annotations

import math

MEMORY_S = 2.0
"""Time constant of the decay. It is short enough to follow a tenant that starts suddenly, and long
enough to measure a proxy that serves one operation per second."""


class UseRate:
    """A rate with exponential decay.

    :param memory_s: time constant; after this time an operation counts 1/e

    :ivar last_at: when an operation was last counted, seconds of a steady clock
    """

    __slots__ = ("_memory_s", "_rate", "last_at")

    def __init__(self, memory_s: float = MEMORY_S) -> None:
        self._memory_s = memory_s
        self._rate = 0.0
        self.last_at = float("-inf")

    def count(self, operations: int, now: float) -> None:
        """Count operations that run at ``now``."""
        self._rate = self.at(now) + operations / self._memory_s
        self.last_at = now

    def at(self, now: float) -> float:
        """Return the rate in operations per second at ``now``."""
        if self._rate == 0.0:
            return 0.0
        return self._rate * math.exp(-max(0.0, now - self.last_at) / self._memory_s)
