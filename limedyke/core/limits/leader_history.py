"""When leaders began to lead, as one controller saw it; sans-IO.

What each leader counts it forgets with its lead, so the next one has to know how long ago the one
before began.
"""

from __future__ import annotations


class LeaderHistory:
    """The present leadership and the one before it; times are seconds of a steady clock.

    :param started_at: when this process began: what was before it is not known

    :ivar last_lead_began_at: when the leadership before the present one began, as late as it may be
    """

    def __init__(self, started_at: float) -> None:
        self.last_lead_began_at = started_at
        self._term = 0
        self._began_at = started_at

    def record_leader(self, term: int, now: float) -> None:
        """Note that somebody leads in a term; each term has one leader."""
        if term <= self._term:
            return
        self.last_lead_began_at = self._began_at
        self._term = term
        self._began_at = now
