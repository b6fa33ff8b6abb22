"""Tokens that the leader may grant to one tenant, now and soon; sans-IO.

A tenant may ask for more than its limit.  An operation that can wait gets the promise of a later
token; a refused operation gets a retry time, distinct for each so that retries do not arrive
together.  While demand exceeds the limit, tokens are reserved for more urgent operations that are
likely to arrive, so that a tenant far above its limit still has its few urgent operations served.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from limedyke.core.limits.token_bucket import TokenBucket
from limedyke.core.limits.use_rate import UseRate

MAX_PROMISE_S = 1.5
"""Upper bound of a promised wait. A promise remains valid when the limit is lowered."""
MAX_RETRY_AFTER_S = 5.0
"""Upper bound of a retry delay; the tenant may be within its limit again by then."""
PRESSURE_S = 2.0
"""A tenant counts as over its limit for this long after an operation could not run at once."""
URGENT_RESERVE_S = 0.5
"""Tokens are reserved for the more urgent operations expected in this time. It is about the time
between two answers of a distant leader, with a margin for random arrivals."""
MAX_URGENT_RESERVE_SHARE = 0.75
"""Largest part of a burst that is reserved because of observed demand."""
MIN_LESS_URGENT_SHARE = 0.1
"""Part of the limit that the leader grants to less urgent operations regardless of urgent demand,
unless the tenant declares a part for urgent operations. At a proxy they may still be displaced."""
MOST_URGENT = 0


@dataclass(slots=True)
class GrantedOperations:
    """The answer to operations of one priority.

    :ivar now: number of operations that may run now
    :ivar waits_s: for each operation that may run later, the seconds to wait
    :ivar refused: number of refused operations
    """

    now: int = 0
    waits_s: list[float] = field(default_factory=list)
    refused: int = 0


class TenantBudget:
    """A tenant's token bucket and the tokens promised from it.

    Times are seconds of a steady clock.

    :ivar bucket: holds the tokens that are neither granted nor promised
    :ivar full_rate: tokens per second with nothing withheld.  Retry times use it, because what is
        withheld for proxies without contact is restored within seconds
    :ivar urgent_share: part of the burst that only the most urgent priority may use
    """

    def __init__(self, bucket: TokenBucket) -> None:
        self.bucket = bucket
        self.full_rate = 0.0
        self.urgent_share = 0.0
        self._demand: dict[int, UseRate] = {}
        self._over_limit_until = float("-inf")
        self._less_urgent = TokenBucket(0.0, 1.0, 0.0, bucket.counted_at)
        self._promised: dict[int, deque[float]] = {}
        self._retries_at: dict[int, float] = {}

    def grant(self, priority: int, operations: int, wait_s: float, now: float) -> GrantedOperations:
        """Grant operations of one priority, or promise tokens that arrive while they can wait.

        :param wait_s: longest time that they may wait
        """
        self.bucket.advance(now)
        self._drop_due(now)
        self._demand.setdefault(priority, UseRate()).count(operations, now)
        granted = GrantedOperations()
        for number in range(operations):
            if self._take_token(priority, now):
                granted.now += 1
                continue
            self._over_limit_until = now + PRESSURE_S
            in_s = self._expected_s(priority, now, self.bucket.rate)
            if in_s > min(wait_s, MAX_PROMISE_S):
                granted.refused = operations - number
                break
            self.bucket.tokens -= 1
            self._promised.setdefault(priority, deque()).append(now + in_s)
            granted.waits_s.append(in_s)
        return granted

    def retry_delays_s(self, priority: int, operations: int, now: float) -> tuple[float, float]:
        """Return the delay before the first retry of refused operations and the step between two.

        Earlier refusals of the same priority are retried first.
        """
        rate = max(self.bucket.rate, self.full_rate)
        step_s = 1.0 / rate if rate > 0 else MAX_RETRY_AFTER_S
        in_s = self._expected_s(priority, now, rate)
        first_at = max(now + in_s, self._retries_at.get(priority, now))
        first_at = min(first_at, now + MAX_RETRY_AFTER_S)
        self._retries_at[priority] = first_at + operations * step_s
        return first_at - now, step_s

    def _take_token(self, priority: int, now: float) -> bool:
        """Take a token that is present and not reserved for another operation."""
        later = sum(len(dues) for other, dues in self._promised.items() if other > priority)
        room = self.bucket.tokens + later - 1.0 - self._declared_reserve(priority)
        kept = self._observed_reserve(priority, now)
        if room < self._kept_for_less_urgent(priority, now):
            return False
        if room < kept and self._less_urgent.take(1, now) == 0:
            return False
        self.bucket.tokens -= 1
        return True

    def _kept_for_less_urgent(self, priority: int, now: float) -> float:
        """Return the tokens guaranteed to less urgent operations: 1, or 0 for none."""
        self._less_urgent.rate = MIN_LESS_URGENT_SHARE * self.bucket.rate
        self._less_urgent.advance(now)
        least = max(self._demand)
        is_wanted = least > priority and self._demand[least].at(now) >= self._less_urgent.rate
        if now >= self._over_limit_until or not is_wanted or self.urgent_share > 0.0:
            return 0.0
        return 1.0 if self._less_urgent.tokens >= 1.0 else 0.0

    def _expected_s(self, priority: int, now: float, refill: float) -> float:
        """Return the seconds until a token arrives that is not reserved for more urgent demand.

        :param refill: tokens per second
        """
        bucket = self.bucket
        kept = self._declared_reserve(priority) + self._observed_reserve(priority, now)
        kept += self._kept_for_less_urgent(priority, now)
        missing = min(1.0 + kept, bucket.burst) - bucket.tokens
        if missing <= 0.0:
            return 0.0
        least = MIN_LESS_URGENT_SHARE * refill
        rate = max(least, refill - self._more_urgent_per_s(priority, now))
        return missing / rate if rate > 0.0 else float("inf")

    def _more_urgent_per_s(self, priority: int, now: float) -> float:
        """Return the recent demand of more urgent operations, per second."""
        return sum(rate.at(now) for other, rate in self._demand.items() if other < priority)

    def _declared_reserve(self, priority: int) -> float:
        """Return how many tokens the declaration withholds from a priority."""
        if priority == MOST_URGENT:
            return 0.0
        return self.urgent_share * (self.bucket.burst - 1.0)

    def _observed_reserve(self, priority: int, now: float) -> float:
        """Return how many tokens are reserved for expected more urgent operations."""
        if now >= self._over_limit_until:
            return 0.0
        expected = URGENT_RESERVE_S * self._more_urgent_per_s(priority, now)
        most = MAX_URGENT_RESERVE_SHARE * self.bucket.burst - self._declared_reserve(priority)
        return max(0.0, min(expected, most, self.bucket.burst - 1.0))

    def _drop_due(self, now: float) -> None:
        """Drop promises that are due, since their tokens are used."""
        for dues in self._promised.values():
            while dues and dues[0] <= now:
                dues.popleft()
