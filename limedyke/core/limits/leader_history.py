"""Start times of leaderships as observed by one controller; sans-IO.

A new leader needs to know how long ago the previous leadership began, because the previous leader's
counters are lost.
"""

from __future__ import annotations


class LeaderHistory:
    """The present leadership and the one before it; times are seconds of a steady clock.

    :param started_at: start of this process, which knows of no earlier leadership

    :ivar last_lead_began_at: latest possible start of the leadership before the present one
    """

    def __init__(self, started_at: float) -> None:
        self.last_lead_began_at = started_at
        self._term = 0
        self._began_at = started_at

    def record_leader(self, term: int, now: float) -> None:
        """Record that a controller leads in a term; each term has one leader."""
        if term <= self._term:
            return
        self.last_lead_began_at = self._began_at
        self._term = term
        self._began_at = now
