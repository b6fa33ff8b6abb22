"""Operations that one proxy may run for one tenant with a limit; sans-IO."""

from __future__ import annotations

import math
from collections import deque

from limedyke.core.limits.token_bucket import TokenBucket
from limedyke.core.limits.use_rate import UseRate
from limedyke.core.limits.use_window import UseWindow
from limedyke.messages.limits import OperationGrant, OperationReport

SECONDS_PER_MINUTE = 60
TENTHS = 10
GRANT_LIFE_S = 1.0
"""Granted operations that do not run within this time are dropped, because running them later would
count in a different window."""
PREFETCH_S = 0.3
"""A proxy requests operations this far ahead at the recent rate of demand. The value is about the
longest time for which an answer of the leader may be missing."""
PREFETCH_ONE_MIN_RATE = 1.0
"""Rate, in operations per second, from which at least one operation is requested ahead. At this
rate the next operation probably arrives before the grant expires."""
RESERVE_S = 0.4
MAX_RESERVE_S = 1.0
"""Initial and maximum size of the reserve of a proxy without a leader, in seconds of its share of
the limit. The maximum is larger because operations arrive unevenly."""
RESERVE_REFILL_S = 5.0
"""Time in which a used reserve refills while the leader answers. The slow refill prevents leaders
that fail in quick succession from providing a full reserve each time."""
RECENT_S = 2.0
"""A proxy that ran an operation for the tenant within this time may run one without asking."""
SHARE_LIFE_S = 10.0
"""A share of the limit expires after this time, because other proxies have received theirs since.
If the leader allowed each proxy some operations at once, the proxy must also have run an operation
within this time to use them."""
FEW_PROXIES = 12
"""Up to this number of proxies may run one operation each without a leader and stay within the
permitted excess over a limit."""
MAX_RETRY_AFTER_S = 2.0
"""Upper bound of a retry delay. Within this time the leader or its successor answers again. Longer
delays are spread over the second half of the interval."""
MAX_RETRY_ROUNDS = 3
MIN_RETRY_STEP_S = 0.1
"""Time between two retries at a proxy whose share is zero."""


class OperationAllowance:
    """Granted operations in stock, and the reserve for times without a leader.

    :ivar was_over_limit: the leader could not grant at once all that it was last asked for
    """

    def __init__(self) -> None:
        self.was_over_limit = False
        self._stock: deque[float] = deque()
        self._demand = UseRate()
        self._granted = UseRate()
        self._window = UseWindow()
        self._leaderless_rate = 0.0
        self._leaderless_total_rate = 0.0
        self._leaderless_operations = 0.0
        self._answered_at = float("-inf")
        self._reserve: TokenBucket | None = None
        self._is_leaderless = False
        self._next_retry_at = 0.0

    def count_demand(self, now: float) -> None:
        """Count an operation that a client wants to run."""
        self._demand.count(1, now)

    def take_granted(self, now: float) -> bool:
        """Take one granted operation from the stock, if there is one."""
        while self._stock and self._stock[0] <= now:
            self._stock.popleft()
        if not self._stock:
            return False
        self._stock.popleft()
        return True

    def prefetch_count(self, now: float) -> int:
        """Return how many operations to request in addition to those that wait."""
        while self._stock and self._stock[0] <= now:
            self._stock.popleft()
        per_s = self._demand.at(now)
        wanted = max(int(per_s * PREFETCH_S), int(per_s >= PREFETCH_ONE_MIN_RATE))
        return max(0, wanted - len(self._stock))

    def apply_grant(self, grant: OperationGrant, now: float) -> None:
        """Apply the leader's answer except for the granted operations, which the caller adds."""
        self.was_over_limit = bool(grant.waits_ms or grant.retry_after_ms)
        operations = grant.operations + len(grant.waits_ms)
        self._leaderless_operations = grant.alone_tenths / TENTHS
        self._leaderless_total_rate = grant.alone_of_per_minute / SECONDS_PER_MINUTE
        self.count_granted(operations, grant.alone_per_minute / SECONDS_PER_MINUTE, now)

    def reports(self, tenant: str, now: float) -> tuple[OperationReport, ...]:
        """Return recent use for a leader that has not received it yet; empty if there is none."""
        granted = self._window.slots(now)
        leaderless_per_minute = math.ceil(self._leaderless_share(now) * SECONDS_PER_MINUTE)
        if not granted and not leaderless_per_minute:
            return ()
        total_per_minute = math.ceil(self._leaderless_total_rate * SECONDS_PER_MINUTE)
        return (OperationReport(tenant, granted, leaderless_per_minute, total_per_minute),)

    def count_granted(self, operations: int, leaderless_rate: float, now: float) -> None:
        """Count granted operations and update the share of the limit from the leader's answer.

        :param leaderless_rate: operations per second that may run while no leader answers
        """
        if operations:
            self._granted.count(operations, now)
            self._window.count(operations, now)
        self._leaderless_rate = leaderless_rate
        self._answered_at = now
        if self._reserve is not None:
            self._reserve.advance(now)
            self._reserve.rate = RESERVE_S * self._leaderless_rate / RESERVE_REFILL_S
            self._is_leaderless = False

    def add(self, operations: int, now: float) -> None:
        """Add operations to the stock: granted ahead, or returned because they did not run."""
        self._stock.extend([now + GRANT_LIFE_S] * operations)

    def take_reserve(self, now: float, is_one_of_few: bool = False) -> bool:
        """Take one operation from the reserve for times without a leader.

        The reserve fills at the proxy's share of the limit as of the leader's last answer.

        :param is_one_of_few: few enough proxies serve tenants that each may run one operation
            without recent use
        """
        if not self._is_leaderless:
            self._is_leaderless = True
            self._start_reserve(now, is_one_of_few)
        if self._reserve.take(1, now) == 0:
            return False
        self._window.count(1, now)
        return True

    def _start_reserve(self, now: float, is_one_of_few: bool) -> None:
        """Start the reserve at the share of the limit, less what earlier outages used."""
        rate = self._leaderless_share(now)
        at_first = max(1.0, rate * RESERVE_S, self._leaderless_operations)
        burst = max(at_first, MAX_RESERVE_S * rate)
        recent_s = SHARE_LIFE_S if self._leaderless_operations else RECENT_S
        is_recent = now - self._granted.last_at <= recent_s
        first = at_first if is_recent else float(is_one_of_few)
        if self._reserve is not None:
            self._reserve.advance(now)
            first = min(first, self._reserve.tokens)
        self._reserve = TokenBucket(rate, burst, first, now)

    def _leaderless_share(self, now: float) -> float:
        """Return the unexpired share of the limit in operations per second."""
        return self._leaderless_rate if now - self._answered_at <= SHARE_LIFE_S else 0.0

    def promise_reserve(self, wait_s: float, now: float) -> float | None:
        """Take an operation from the reserve that becomes available later.

        :param wait_s: longest time that it may wait
        :returns: seconds until it may run; None if that exceeds ``wait_s``
        """
        if self._reserve is None:
            return None
        in_s = self._reserve.expected_s(1.0)
        if in_s > wait_s:
            return None
        self._reserve.tokens -= 1
        self._window.count(1, now)
        return in_s

    def retry_after_s(self, now: float) -> float:
        """Return the delay after which a refused operation may be retried without a leader.

        Successive refusals get successive delays, so that the retries do not arrive together.
        """
        if self._reserve is None:
            return 0.0
        if self._next_retry_at > now + MAX_RETRY_ROUNDS * MAX_RETRY_AFTER_S:
            self._next_retry_at = now
        expected_s = min(self._reserve.expected_s(1.0), MAX_RETRY_AFTER_S)
        first_at = max(now + expected_s, self._next_retry_at)
        rate = self._reserve.rate
        self._next_retry_at = first_at + (1.0 / rate if rate > 0 else MIN_RETRY_STEP_S)
        in_s = first_at - now
        if in_s <= MAX_RETRY_AFTER_S:
            return in_s
        half_s = MAX_RETRY_AFTER_S / 2
        return half_s + (in_s - MAX_RETRY_AFTER_S) % half_s
