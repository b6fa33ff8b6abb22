"""Share of a member's recent time that more urgent requests take; sans-IO."""

from __future__ import annotations

import math

from limedyke.core import admission

MEMORY_S = 0.5
"""Time constant of the decay, about as long as a request may wait."""
MIN_OBSERVED_S = 0.1
"""A burst that has just begun is assumed to have lasted this long."""
RESET_AFTER_S = 2.0
"""After this time without arrivals the measurement starts anew."""
MAX_URGENT_SHARE = 0.8
"""Upper bound of the assumed share, because a burst of urgent requests ends."""


class UrgentLoad:
    """Decaying slot time of arriving requests that wait, by priority."""

    def __init__(self) -> None:
        self._work_s: dict[int, float] = {}
        self._at = 0.0
        self._began_at = 0.0

    def record_arrival(self, priority: int, work_s: float, now: float) -> None:
        """Record the arrival of a request with its expected slot time."""
        self._decay(now)
        self._work_s[priority] = self._work_s.get(priority, 0.0) + work_s

    def share_s(self, priority: int, now: float) -> float:
        """Return the slot time per second that requests more urgent than a priority take."""
        self._decay(now)
        more_urgent = (work for other, work in self._work_s.items() if other < priority)
        observed_s = max(MIN_OBSERVED_S, now - self._began_at)
        return sum(more_urgent) / (MEMORY_S * (1.0 - math.exp(-observed_s / MEMORY_S)))

    def wait_factor(self, priority: int, slots: float, now: float) -> float:
        """Return the factor by which urgent requests yet to arrive prolong a wait."""
        share = min(
            self.share_s(priority, now) / max(slots, admission.LEAST_SLOTS), MAX_URGENT_SHARE
        )
        return 1.0 / (1.0 - share)

    def _decay(self, now: float) -> None:
        if now <= self._at:
            return
        if now - self._at > RESET_AFTER_S:
            self._began_at = now
            self._work_s.clear()
        left = math.exp((self._at - now) / MEMORY_S)
        self._at = now
        for priority in self._work_s:
            self._work_s[priority] *= left
