"""When those that were refused may come back, so that they come as room does; sans-IO.

Answers the load of hundreds that are refused at once, by a burst or the loss of a primary: told the
same time, all would come back together and be refused together.
"""

from __future__ import annotations

MIN_RETRY_DELAY_S = 0.05
"""Sooner nothing has changed, and a try is wasted: clients have few."""
MOST_RETURN_S = 3.0
"""Later an answer is of little use: about half of the time that callers wait in all."""
RETURN_SHARE = 0.8
"""Of the turns that come; the others are left to requests that are new."""
LONGEST_GAP_S = 0.05
"""A stall ends: those refused while turns come rarely are not told to wait as long for each."""
SPREAD_STEP = 0.618
"""Golden section: successive multiples of it spread evenly over an interval."""


class RetrySchedule:
    """Gives successive times to come back, at the rate at which room comes; one for a member.

    More urgent ones take the times before less urgent ones: what was promised to less urgent ones
    does not delay them.
    """

    def __init__(self) -> None:
        self._next_at: dict[int, float] = {}
        self._beyond = 0

    def retry_after_s(self, priority: int, ready_in_s: float, now: float, gap_s: float) -> float:
        """Return when one that is refused may come back, and keep that time for it.

        :param ready_in_s: when the first room for its priority is expected
        :param gap_s: time between two turns from then on
        """
        own_gap_s = min(gap_s, LONGEST_GAP_S) / RETURN_SHARE
        at = max(now + max(ready_in_s, MIN_RETRY_DELAY_S), self._next_at.get(priority, now))
        self._next_at[priority] = at + own_gap_s
        for other in self._next_at:
            if other > priority and self._next_at[other] > at:
                self._next_at[other] += own_gap_s
        if at - now <= MOST_RETURN_S:
            return at - now
        self._next_at[priority] = min(self._next_at[priority], now + MOST_RETURN_S + own_gap_s)
        return self._late_return_s()

    def _late_return_s(self) -> float:
        """Return one of times spread over the last half of those that are of use."""
        self._beyond += 1
        return MOST_RETURN_S * (0.5 + 0.5 * (self._beyond * SPREAD_STEP % 1.0))
