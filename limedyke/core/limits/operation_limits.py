"""The leader's accounting of operations that proxies run for tenants with a limit; sans-IO.

The leader holds a token bucket for each tenant and grants operations to the proxies that ask.  A
proxy that loses the leader continues at a share of the limit that follows its recent use.  Once the
leader misses that proxy it withholds this share from the bucket, back to the last contact, for as
long as the proxy's leases last.  The sum over all proxies therefore exceeds the limit only by what
runs until the leader notices, and a tenant within its limit is not refused.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from limedyke.core.limits.inherited_use import InheritedUse
from limedyke.core.limits.operation_allowance import SHARE_LIFE_S
from limedyke.core.limits.process_ends import ProcessEnds
from limedyke.core.limits.tenant_budget import TenantBudget
from limedyke.core.limits.token_bucket import TokenBucket
from limedyke.core.limits.use_rate import UseRate
from limedyke.core.limits.use_window import SLOT_S, WINDOW_S
from limedyke.messages.declaration import Tenant
from limedyke.messages.limits import (
    OperationDemand,
    OperationGrant,
    OperationReport,
    OperationsGranted,
    OperationsRequest,
    RetryTime,
)

SECONDS_PER_MINUTE = 60
MS_PER_S = 1_000
PERCENT = 100
TENTHS = 10
FIRST_TOKENS = 5.0
FIRST_TOKENS_S = 0.25
"""Initial content of a bucket when a controller begins to lead, in addition to what accrues: 5
operations plus a quarter of a second of the rate. Operations granted by the previous leader count
as spent."""
FULL_FIRST_TOKENS_AFTER_S = 5.0
"""A leader that follows another one sooner than this begins with a proportional part of the initial
tokens. Otherwise a rapid succession of leaders would grant the full amount each time."""
CONTACT_TIMEOUT_S = 1.0
"""Seconds without contact after which a proxy counts as running without a leader; proxies send a
heartbeat every 0.4 s."""
PREFETCH_MIN_FILL_SHARE = 0.5
"""Operations are granted ahead only from tokens above this share of the burst."""
SHARE_MEMORY_S = 5.0
"""Time constant of the use that determines shares. It covers small tenants, for which a proxy runs
one operation in several seconds."""
NOT_WITHHELD_RATE = 0.8
"""Operations per second of unreachable proxies that are not withheld from the reachable ones. This
lets the other proxies serve a small tenant whose proxies lost power; it adds 4 operations to a
window, which is within the permitted excess."""
SHARES_STEP = 0.05
"""The sum of all shares is rounded up to a multiple of this part of the limit. Successive messages
then carry nearly the same value and compress well."""
RESERVED_SHARE = 0.1
"""Part of the limit assumed to be used by proxies that have not asked yet. Without it the first
proxy to ask would get the whole limit as its share and keep it for long."""
LEADERLESS_OPERATIONS = 12.0
LEADERLESS_WINDOW_SHARE = 0.1
"""All proxies of a tenant together may run this many operations at once, plus this part of a
window's operations, when they lose the leader."""
MAX_LEADERLESS_PER_PROXY = 3.0
"""Most operations that one proxy may run at once when it loses the leader, unless 0.4 s of its
share allow more."""
MAX_DEBT_S = 3.0
"""A bucket's debt is limited to the tokens of this time; no tenant is blocked for longer."""
RETRY_LIMIT_S = 5.0


@dataclass(frozen=True, slots=True)
class GrantedShare:
    """A share of the limit, in operations per second, and when a proxy received it."""

    rate: float
    at: float

    def holds(self, now: float) -> bool:
        """Tell whether a proxy that loses the leader now may still use the share."""
        return now - self.at <= SHARE_LIFE_S


class OperationLimits:
    """Remaining operations of each tenant since this controller began to lead.

    :param tenants: the declared tenants by name, owned by the caller
    :param lease_s: seconds after which a proxy without a leader stops running operations
    :param now: when this controller began to lead, seconds of a steady clock
    :param last_lead_began_at: when another controller last began to lead, as far as known
    """

    def __init__(
        self,
        tenants: Mapping[str, Tenant],
        lease_s: float,
        now: float,
        last_lead_began_at: float = float("-inf"),
    ) -> None:
        self._tenants = tenants
        self._lease_s = lease_s
        self._began_at = now
        self._first_share = min(1.0, (now - last_lead_began_at) / FULL_FIRST_TOKENS_AFTER_S)
        self._connected_share = 1.0
        self._budgets: dict[str, TenantBudget] = {}
        self._uses: dict[str, dict[str, UseRate]] = {}
        self._contacted_at: dict[str, float] = {}
        self._leaderless_rates: dict[str, dict[str, float]] = {}
        self._granted_shares: dict[str, dict[str, GrantedShare]] = {}
        self._inherited = InheritedUse()
        self._process_ends = ProcessEnds()

    def set_connected_share(self, share: float, now: float) -> None:
        """Set the share of registered proxies that have connected to this leader.

        The others may run without a leader, at rates that only the previous leader knew.
        """
        if share == self._connected_share:
            return
        self._connected_share = share
        if share == 1.0:
            self._inherited.set_all_reported(now)
        for tenant in self._budgets:
            self._set_rate(tenant, now)
        self._refill_since_known(now)

    def tenants_changed(self, names: Iterable[str], now: float) -> None:
        """Apply changed limits, and drop the accounts of tenants without a limit."""
        for name in names:
            tenant = self._tenants.get(name)
            if tenant is None or tenant.operations_per_minute == 0:
                self._budgets.pop(name, None)
                self._uses.pop(name, None)
                self._granted_shares.pop(name, None)
            elif name in self._budgets:
                self._set_rate(name, now)

    def wanted(self, proxy: str, request: OperationsRequest, now: float) -> OperationsGranted:
        """Grant operations to a proxy that asks for some."""
        self.proxy_contacted(proxy, now)
        self._take_reports(proxy, request.reports, now)
        if request.running_ms:
            self._process_ends.started(proxy, now - request.running_ms / MS_PER_S)
            self._refill_since_known(now)
        grants = tuple(self._grant(proxy, demand, now) for demand in request.demands)
        return OperationsGranted(request.number, grants)

    def _take_reports(self, proxy: str, reports: tuple[OperationReport, ...], now: float) -> None:
        """Apply a proxy's report of past grants and recompute the tenants' buckets."""
        updated = self._inherited.take(proxy, reports, now)
        for report in reports:
            if report.tenant not in updated:
                continue
            use = self._uses.setdefault(report.tenant, {}).setdefault(
                proxy, UseRate(SHARE_MEMORY_S)
            )
            for age, operations in reversed(list(enumerate(report.granted))):
                use.count(operations, now - age * SLOT_S)
            share = report.alone_per_minute / SECONDS_PER_MINUTE
            self._granted_shares.setdefault(report.tenant, {})[proxy] = GrantedShare(share, now)
            budget = self._budgets.get(report.tenant)
            if budget is not None:
                self._apply_inherited(report.tenant, budget.bucket, now)

    def _refill_since_known(self, now: float) -> None:
        """Raise buckets to what has accrued since the last moment of unknown use."""
        since = self._use_known_since(now)
        if since is None:
            return
        for name, budget in self._budgets.items():
            self._fill_bucket(name, budget.bucket, since, now)

    def _use_known_since(self, now: float) -> float | None:
        """Return since when all use is known; None if use is unknown or no longer relevant.

        Use is known once each proxy, or a process that replaced it, has connected.
        """
        if not self._inherited.are_all_reported or now - self._began_at > WINDOW_S:
            return None
        since = self._process_ends.since(self._contacted_at.keys())
        return None if since is None else max(since, now - WINDOW_S)

    def _fill_bucket(self, name: str, bucket: TokenBucket, since: float, now: float) -> None:
        bucket.advance(now)
        level = self._inherited.level_since(name, since, bucket, now)
        bucket.tokens = max(bucket.tokens, level)

    def _apply_inherited(self, name: str, bucket: TokenBucket, now: float) -> None:
        """Set a bucket to what the known use of the last window leaves."""
        self._set_rate(name, now)
        bucket.tokens = self._inherited.level(name, bucket.rate, bucket.burst, now)

    def proxy_contacted(self, proxy: str, now: float) -> None:
        """Record contact with a proxy, which therefore does not run without a leader."""
        self._contacted_at[proxy] = now
        if proxy in self._leaderless_rates:
            self._end_leaderless(proxy, now)

    def proxy_ended(self, proxy: str, now: float, successor: str = "") -> None:
        """Record that a proxy's process has ended.

        :param successor: the proxy that replaced it; empty if the process ended just now
        """
        self._process_ends.ended(now, successor)
        self._contacted_at.pop(proxy, None)
        if proxy in self._leaderless_rates:
            self._end_leaderless(proxy, now)
        for uses in self._uses.values():
            uses.pop(proxy, None)
        for shares in self._granted_shares.values():
            shares.pop(proxy, None)

    def tick(self, now: float) -> None:
        """Account for proxies that have lost contact; call this several times a second."""
        for proxy, contacted_at in list(self._contacted_at.items()):
            if now - contacted_at > self._lease_s:
                self.proxy_ended(proxy, now)
            elif now - contacted_at > CONTACT_TIMEOUT_S and proxy not in self._leaderless_rates:
                self._start_leaderless(proxy, contacted_at, now)

    def _grant(self, proxy: str, demand: OperationDemand, now: float) -> OperationGrant:
        tenant = self._tenants.get(demand.tenant)
        if tenant is None:
            return OperationGrant(demand.tenant, 0)
        if tenant.operations_per_minute == 0:
            return OperationGrant(demand.tenant, demand.operations + demand.ahead)
        budget = self._budget(tenant, now)
        bucket = budget.bucket
        share = self._grant_share(tenant, proxy, now)
        granted, waits_s, returns = _grant_by_priority(budget, demand, now)
        missing = demand.operations - granted - len(waits_s)
        if demand.ahead and not missing and not waits_s:
            spare = int(bucket.tokens - PREFETCH_MIN_FILL_SHARE * bucket.burst)
            granted += bucket.take(max(0, min(demand.ahead, spare)), now)
        if granted or waits_s:
            uses = self._uses.setdefault(demand.tenant, {})
            uses.setdefault(proxy, UseRate(SHARE_MEMORY_S)).count(granted + len(waits_s), now)
            if now - self._began_at < WINDOW_S:
                self._inherited.granted(demand.tenant, granted + len(waits_s), now)
        retry_after_s = min(bucket.expected_s(missing), RETRY_LIMIT_S)
        step = SHARES_STEP * _rate(tenant)
        all_shares = self._granted_share_rate(tenant.name, now) + self._unreported_rate(tenant)
        all_shares = math.ceil(all_shares / step) * step
        return OperationGrant(
            demand.tenant,
            granted,
            math.ceil(retry_after_s * MS_PER_S),
            int(share * SECONDS_PER_MINUTE),
            tuple(math.ceil(wait_s * MS_PER_S) for wait_s in waits_s),
            returns,
            math.ceil(all_shares * SECONDS_PER_MINUTE),
            int(self._leaderless_operations(tenant, now) * TENTHS),
        )

    def _grant_share(self, tenant: Tenant, proxy: str, now: float) -> float:
        """Return the share of the limit that a proxy may run without a leader.

        The share follows recent use, in operations per second.  Proxies receive their shares at
        different times and keep them until they ask again, so the sum of all unexpired shares is
        kept within the limit.
        """
        shares = self._granted_shares.setdefault(tenant.name, {})
        shares.pop(proxy, None)
        uses = self._uses.get(tenant.name, {})
        if proxy not in uses:
            return 0.0
        total = sum(use.at(now) for use in uses.values()) + RESERVED_SHARE * _rate(tenant)
        reported_rate = _rate(tenant) - self._unreported_rate(tenant)
        left = reported_rate - self._granted_share_rate(tenant.name, now)
        rate = max(0.0, min(reported_rate * uses[proxy].at(now) / total, left))
        shares[proxy] = GrantedShare(rate, now)
        return rate

    def _granted_share_rate(self, tenant: str, now: float) -> float:
        """Return the sum of all unexpired shares that proxies have received."""
        shares = self._granted_shares.get(tenant, {}).values()
        return sum(share.rate for share in shares if share.holds(now))

    def _leaderless_operations(self, tenant: Tenant, now: float) -> float:
        """Return how many operations a proxy may run at once when it loses the leader.

        These come on top of its share: shares of a fraction of an operation per second would let
        a small tenant run nothing at all.
        """
        uses = self._uses.get(tenant.name, {})
        recent = sum(now - use.last_at < SHARE_LIFE_S for use in uses.values())
        together = self._leaderless_total(tenant)
        if recent == 0 or together < recent:
            return 0.0
        return min(together / recent, MAX_LEADERLESS_PER_PROXY)

    def _leaderless_total(self, tenant: Tenant) -> float:
        """Return how many operations all proxies together may run at once without a leader."""
        in_window = _rate(tenant) * WINDOW_S + _burst(tenant)
        return LEADERLESS_OPERATIONS + LEADERLESS_WINDOW_SHARE * in_window

    def _unreported_rate(self, tenant: Tenant) -> float:
        """Return the rate that proxies not yet connected to this leader may run at."""
        if self._inherited.knows_shares(tenant.name):
            return min(_rate(tenant), self._inherited.unreported_rate(tenant.name))
        return _rate(tenant) * (1.0 - self._connected_share)

    def _budget(self, tenant: Tenant, now: float) -> TenantBudget:
        budget = self._budgets.get(tenant.name)
        if budget is None:
            burst = _burst(tenant)
            first = min(burst, FIRST_TOKENS + FIRST_TOKENS_S * _rate(tenant))
            first *= self._first_share
            budget = TenantBudget(TokenBucket(_rate(tenant), burst, first, self._began_at))
            self._budgets[tenant.name] = budget
            self._set_rate(tenant.name, self._began_at)
            if self._inherited.knows(tenant.name):
                self._apply_inherited(tenant.name, budget.bucket, now)
            since = self._use_known_since(now)
            if since is not None:
                self._fill_bucket(tenant.name, budget.bucket, since, now)
        return budget

    def _set_rate(self, name: str, now: float) -> None:
        """Set a bucket's rate to the limit less what proxies without a leader may run."""
        budget = self._budgets.get(name)
        tenant = self._tenants.get(name)
        if budget is None or tenant is None:
            return
        bucket = budget.bucket
        bucket.advance(now)
        leaderless = sum(rates.get(name, 0.0) for rates in self._leaderless_rates.values())
        unreported = self._unreported_rate(tenant)
        if self._inherited.knows_shares(name):
            leaderless, unreported = leaderless + unreported, 0.0
        withheld = max(0.0, leaderless - NOT_WITHHELD_RATE) + unreported
        bucket.rate = max(0.0, _rate(tenant) - withheld)
        bucket.burst = _burst(tenant)
        budget.full_rate = _rate(tenant)
        budget.urgent_share = tenant.operation_urgent_percent / PERCENT
        bucket.tokens = min(bucket.tokens, bucket.burst)

    def _start_leaderless(self, proxy: str, since: float, now: float) -> None:
        """Charge a proxy without contact at its share since the last contact."""
        rates = {
            name: shares[proxy].rate
            for name, shares in self._granted_shares.items()
            if proxy in shares and shares[proxy].holds(since) and name in self._tenants
        }
        self._leaderless_rates[proxy] = rates
        for tenant in rates:
            budget = self._budgets.get(tenant)
            if budget is None:
                continue
            bucket = budget.bucket
            bucket.advance(now)
            rate = bucket.rate
            self._set_rate(tenant, now)
            owed = (rate - bucket.rate) * (now - since)
            bucket.tokens = max(bucket.tokens - owed, -MAX_DEBT_S * rate)

    def _end_leaderless(self, proxy: str, now: float) -> None:
        for tenant in self._leaderless_rates.pop(proxy):
            self._set_rate(tenant, now)


def _grant_by_priority(
    budget: TenantBudget, demand: OperationDemand, now: float
) -> tuple[int, list[float], tuple[RetryTime, ...]]:
    """Return the operations granted now, the waits of those granted later, and retry times."""
    if not demand.by_priority:
        return budget.bucket.take(demand.operations, now), [], ()
    granted = 0
    waits_s: list[float] = []
    refused: dict[int, int] = {}
    for equal in demand.by_priority:
        wait_s = equal.wait_ms / MS_PER_S
        answer = budget.grant(equal.priority, equal.operations, wait_s, now)
        granted += answer.now
        waits_s += answer.waits_s
        if answer.refused:
            refused[equal.priority] = refused.get(equal.priority, 0) + answer.refused
    returns = tuple(_return_time(budget, *item, now) for item in refused.items())
    return granted, sorted(waits_s), returns


def _return_time(budget: TenantBudget, priority: int, operations: int, now: float) -> RetryTime:
    first_s, step_s = budget.retry_delays_s(priority, operations, now)
    return RetryTime(priority, math.ceil(first_s * MS_PER_S), math.ceil(step_s * MS_PER_S))


def _rate(tenant: Tenant) -> float:
    """Return a tenant's limit in operations per second."""
    return tenant.operations_per_minute / SECONDS_PER_MINUTE


def _burst(tenant: Tenant) -> float:
    """Return the size of a tenant's bucket; at least one token, or nothing could ever run."""
    return max(1.0, float(tenant.operation_burst))
