"""Retry times for refused requests, matched to the rate at which room becomes free; sans-IO.

A burst or the loss of a primary may refuse hundreds of requests at once.  With equal retry times
they would all return together and be refused again.
"""

from __future__ import annotations

MIN_RETRY_DELAY_S = 0.05
"""Shortest delay. An earlier retry would find the same state, and clients have few retries."""
MAX_RETRY_DELAY_S = 3.0
"""Longest delay: about half of the time that callers wait in total."""
RETRY_SHARE = 0.8
"""Share of the freed slots that is planned for retries; the rest is left to new requests."""
MAX_GAP_S = 0.05
"""Upper bound of the assumed time between two freed slots. During a stall, which ends, requests
would otherwise get delays that are far too long."""
SPREAD_STEP = 0.618
"""Golden ratio step: successive multiples modulo 1 are spread evenly over an interval."""


class RetrySchedule:
    """Assigns successive retry times at the rate at which slots become free; one per member.

    More urgent requests take earlier times than less urgent ones and are not delayed by times
    already assigned to those.
    """

    def __init__(self) -> None:
        self._next_at: dict[int, float] = {}
        self._late_count = 0

    def retry_after_s(self, priority: int, ready_in_s: float, now: float, gap_s: float) -> float:
        """Return the retry delay of a refused request, and reserve that time for it.

        :param ready_in_s: expected time until the first slot for its priority
        :param gap_s: expected time between two slots after that
        """
        own_gap_s = min(gap_s, MAX_GAP_S) / RETRY_SHARE
        at = max(now + max(ready_in_s, MIN_RETRY_DELAY_S), self._next_at.get(priority, now))
        self._next_at[priority] = at + own_gap_s
        for other in self._next_at:
            if other > priority and self._next_at[other] > at:
                self._next_at[other] += own_gap_s
        if at - now <= MAX_RETRY_DELAY_S:
            return at - now
        self._next_at[priority] = min(self._next_at[priority], now + MAX_RETRY_DELAY_S + own_gap_s)
        return self._spread_delay_s()

    def _spread_delay_s(self) -> float:
        """Return the next of the delays that are spread over the second half of the maximum."""
        self._late_count += 1
        return MAX_RETRY_DELAY_S * (0.5 + 0.5 * (self._late_count * SPREAD_STEP % 1.0))
