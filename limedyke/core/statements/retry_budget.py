"""Budget of retries for one group; sans-IO.

When members or home proxies have too little room, each refused request is retried elsewhere and
each slow read is hedged, so that load grows just when there is too much of it.  Retries are taken
from a budget that first attempts fill.  If one of several members fails, retries continue; under
overload, when most requests need one, they stop.

There is one budget per group and proxy.  A first attempt calls ``first_try(now)``.  A retry at
another member or home proxy, a hedged read and a repetition after ``busy`` call ``may_retry(now)``,
which charges the budget; if it returns False the caller gives up or waits.  Waiting for room or for
a primary without sending anything is not a retry.
"""

from __future__ import annotations

from dataclasses import dataclass

RETRY_SHARE = 0.2
"""Retries per first attempt in the long run. A member of three that fails everything costs a retry
for a third of the reads until it is avoided; the saved reserve covers that."""
RESERVE = 10.0
"""Retries that a group with few requests may always accumulate."""
RESERVE_PER_S = 2.0
"""Retries per second accrued without first attempts, for requests that wait long before a retry."""
MEMORY_S = 4.0
"""Besides the reserve, the budget holds at most what the first attempts of this time added."""


@dataclass(slots=True)
class RetryBudget:
    """Retries of one group; times are seconds of a monotonic clock.

    :ivar denied: number of retries denied
    :ivar made: number of retries made
    """

    denied: int = 0
    made: int = 0
    _tokens: float = RESERVE
    _rate: float = 0.0
    _filled_at: float = 0.0

    def first_try(self, now: float) -> None:
        """Record a first attempt."""
        self._advance(now)
        self._rate += 1.0 / MEMORY_S
        self._tokens = min(self._tokens + RETRY_SHARE, self._capacity())

    def may_retry(self, now: float) -> bool:
        """Return whether a retry is allowed, and charge it if so."""
        self._advance(now)
        if self._tokens < 1.0:
            self.denied += 1
            return False
        self._tokens -= 1.0
        self.made += 1
        return True

    def _capacity(self) -> float:
        return RESERVE + RETRY_SHARE * MEMORY_S * self._rate

    def _advance(self, now: float) -> None:
        """Decay the rate of first attempts and accrue the reserve."""
        passed_s = max(0.0, now - self._filled_at)
        self._filled_at = now
        self._rate *= max(0.0, 1.0 - passed_s / MEMORY_S)
        reserve = self._tokens + RESERVE_PER_S * passed_s
        self._tokens = min(max(self._tokens, min(reserve, RESERVE)), self._capacity())
