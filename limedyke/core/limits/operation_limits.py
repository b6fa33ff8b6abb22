"""The leader's count of the operations that proxies run for tenants with a limit; sans-IO.

The leader holds a token bucket for each tenant and grants operations to the proxies that ask.  A
proxy that can't ask goes on at its share of the limit by what it ran lately; the leader
takes that from the bucket once it misses the proxy, back to the moment at which it last heard it,
for as long as the proxy's leases last.  So the sum over all proxies stays at the limit but for what
runs until the leader notices, and nobody who keeps within its limit is refused.
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
"""What a bucket holds when a controller begins to lead, beside what comes: 5 operations and a
quarter of a second of the rate. What the leader before granted counts as spent."""
FIRST_TOKENS_EACH_S = 5.0
"""A leader that follows another one sooner begins with a part of these tokens, in proportion:
leaders in quick succession must not each hand all of them out."""
UNHEARD_S = 1.0
"""A proxy that was not heard for so long (it sends a heartbeat each 0.4 s) is taken to have lost
the leader, and to go on by itself."""
AHEAD_SHARE = 0.5
"""Operations are granted ahead only from what a bucket holds beyond this share of its burst."""
SHARE_MEMORY_S = 5.0
"""Shares follow what proxies ran within about so long: of a small tenant each runs one operation
in some seconds."""
SPARED_RATE = 0.8
"""So many operations a second are not withheld from those that are heard for those that are not: a
small tenant whose proxies lost power is served by the others, and the windows bear 4 operations."""
SHARES_STEP = 0.05
"""What all shares came to is told rounded up to this part of the limit: it is nearly the same in
each message then, and compresses to next to nothing."""
SHARE_LEFT = 0.1
"""So much of the limit is taken for the use of proxies that have not asked yet: the first one that
asks would have all of it, and keep it for long."""
ALONE_OPERATIONS = 12.0
ALONE_SHARE_OF_WINDOW = 0.1
"""So many operations, and so much of what a window holds, a tenant's proxies together may run at
once when they lose the leader."""
MOST_ALONE_EACH = 3.0
"""Operations that each may run at once then, or what 0.4 s of its share bring."""
LONGEST_DEBT_S = 3.0
"""Debts are forgotten beyond what comes in so long: a tenant is never shut out for longer."""
RETRY_LIMIT_S = 5.0


@dataclass(frozen=True, slots=True)
class GrantedShare:
    """What a proxy was told it may run alone: operations a second, and when."""

    rate: float
    at: float

    def holds(self, now: float) -> bool:
        """Tell whether the proxy may go by it, should it lose the leader now."""
        return now - self.at <= SHARE_LIFE_S


class OperationLimits:
    """What may still be run for each tenant, from the moment a controller begins to lead.

    :param tenants: the declared tenants by name, kept by the caller
    :param lease_s: a proxy that lost the leader runs nothing after so long
    :param now: when this controller began to lead, seconds of a steady clock
    :param last_lead_began_at: when another one last began to lead, as far as this controller knows
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
        self._first_share = min(1.0, (now - last_lead_began_at) / FIRST_TOKENS_EACH_S)
        self._share = 1.0
        self._budgets: dict[str, TenantBudget] = {}
        self._uses: dict[str, dict[str, UseRate]] = {}
        self._heard_at: dict[str, float] = {}
        self._running_alone: dict[str, dict[str, float]] = {}
        self._told: dict[str, dict[str, GrantedShare]] = {}
        self._adoption = InheritedUse()
        self._quiet = ProcessEnds()

    def set_connected_share(self, share: float, now: float) -> None:
        """Take which share of the registered proxies has come to this leader.

        The others may run by themselves yet, at rates that only the leader before knew.
        """
        if share == self._share:
            return
        self._share = share
        if share == 1.0:
            self._adoption.all_heard(now)
        for tenant in self._budgets:
            self._set_rate(tenant, now)
        self._fill_since_quiet(now)

    def tenants_changed(self, names: Iterable[str], now: float) -> None:
        """Take new limits into force; for those who lost theirs nothing is counted any more."""
        for name in names:
            tenant = self._tenants.get(name)
            if tenant is None or tenant.operations_per_minute == 0:
                self._budgets.pop(name, None)
                self._uses.pop(name, None)
                self._told.pop(name, None)
            elif name in self._budgets:
                self._set_rate(name, now)

    def wanted(self, proxy: str, request: OperationsRequest, now: float) -> OperationsGranted:
        """Grant what may be run of what a proxy wants to run."""
        self.proxy_contacted(proxy, now)
        self._take_reports(proxy, request.reports, now)
        if request.running_ms:
            self._quiet.started(proxy, now - request.running_ms / MS_PER_S)
            self._fill_since_quiet(now)
        grants = tuple(self._grant(proxy, demand, now) for demand in request.demands)
        return OperationsGranted(request.number, grants)

    def _take_reports(self, proxy: str, reports: tuple[OperationReport, ...], now: float) -> None:
        """Take what a proxy was granted before; a tenant's bucket holds what that leaves."""
        told = self._adoption.take(proxy, reports, now)
        for report in reports:
            if report.tenant not in told:
                continue
            use = self._uses.setdefault(report.tenant, {}).setdefault(
                proxy, UseRate(SHARE_MEMORY_S)
            )
            for age, operations in reversed(list(enumerate(report.granted))):
                use.count(operations, now - age * SLOT_S)
            share = report.alone_per_minute / SECONDS_PER_MINUTE
            self._told.setdefault(report.tenant, {})[proxy] = GrantedShare(share, now)
            budget = self._budgets.get(report.tenant)
            if budget is not None:
                self._adopt(report.tenant, budget.bucket, now)

    def _fill_since_quiet(self, now: float) -> None:
        """Have buckets hold what came since the last moment of which something is not known."""
        since = self._quiet_since(now)
        if since is None:
            return
        for name, budget in self._budgets.items():
            self._fill_bucket(name, budget.bucket, since, now)

    def _quiet_since(self, now: float) -> float | None:
        """Return since when all that ran is known; None if not, or if it matters no more.

        It is once each proxy has come, or another process in its place.
        """
        if not self._adoption.are_all_heard or now - self._began_at > WINDOW_S:
            return None
        since = self._quiet.since(self._heard_at.keys())
        return None if since is None else max(since, now - WINDOW_S)

    def _fill_bucket(self, name: str, bucket: TokenBucket, since: float, now: float) -> None:
        bucket.advance(now)
        level = self._adoption.level_since(name, since, bucket, now)
        bucket.tokens = max(bucket.tokens, level)

    def _adopt(self, name: str, bucket: TokenBucket, now: float) -> None:
        """Have a bucket hold what the use within the last window leaves."""
        self._set_rate(name, now)
        bucket.tokens = self._adoption.level(name, bucket.rate, bucket.burst, now)

    def proxy_contacted(self, proxy: str, now: float) -> None:
        """Note that a proxy reaches this leader: it runs nothing by itself."""
        self._heard_at[proxy] = now
        if proxy in self._running_alone:
            self._runs_alone_no_more(proxy, now)

    def proxy_ended(self, proxy: str, now: float, successor: str = "") -> None:
        """Note that a proxy's process has ended.

        :param successor: the proxy in its place; empty when it ended just now
        """
        self._quiet.ended(now, successor)
        self._heard_at.pop(proxy, None)
        if proxy in self._running_alone:
            self._runs_alone_no_more(proxy, now)
        for uses in self._uses.values():
            uses.pop(proxy, None)
        for told in self._told.values():
            told.pop(proxy, None)

    def tick(self, now: float) -> None:
        """Count for proxies that are missed; to be called several times a second."""
        for proxy, heard_at in list(self._heard_at.items()):
            if now - heard_at > self._lease_s:
                self.proxy_ended(proxy, now)
            elif now - heard_at > UNHEARD_S and proxy not in self._running_alone:
                self._runs_alone(proxy, heard_at, now)

    def _grant(self, proxy: str, demand: OperationDemand, now: float) -> OperationGrant:
        tenant = self._tenants.get(demand.tenant)
        if tenant is None:
            return OperationGrant(demand.tenant, 0)
        if tenant.operations_per_minute == 0:
            return OperationGrant(demand.tenant, demand.operations + demand.ahead)
        budget = self._budget(tenant, now)
        bucket = budget.bucket
        share = self._tell_share(tenant, proxy, now)
        granted, waits_s, returns = _grant_by_priority(budget, demand, now)
        missing = demand.operations - granted - len(waits_s)
        if demand.ahead and not missing and not waits_s:
            spare = int(bucket.tokens - AHEAD_SHARE * bucket.burst)
            granted += bucket.take(max(0, min(demand.ahead, spare)), now)
        if granted or waits_s:
            uses = self._uses.setdefault(demand.tenant, {})
            uses.setdefault(proxy, UseRate(SHARE_MEMORY_S)).count(granted + len(waits_s), now)
            if now - self._began_at < WINDOW_S:
                self._adoption.granted(demand.tenant, granted + len(waits_s), now)
        retry_after_s = min(bucket.expected_s(missing), RETRY_LIMIT_S)
        step = SHARES_STEP * _rate(tenant)
        all_shares = self._told_rate(tenant.name, now) + self._unheard_rate(tenant)
        all_shares = math.ceil(all_shares / step) * step
        return OperationGrant(
            demand.tenant,
            granted,
            math.ceil(retry_after_s * MS_PER_S),
            int(share * SECONDS_PER_MINUTE),
            tuple(math.ceil(wait_s * MS_PER_S) for wait_s in waits_s),
            returns,
            math.ceil(all_shares * SECONDS_PER_MINUTE),
            int(self._alone_operations(tenant, now) * TENTHS),
        )

    def _tell_share(self, tenant: Tenant, proxy: str, now: float) -> float:
        """Return what a proxy may run alone by what each ran lately, operations a second.

        All that were told one together stay within the limit: shares are told at different times,
        and each proxy keeps its own until it asks again.
        """
        told = self._told.setdefault(tenant.name, {})
        told.pop(proxy, None)
        uses = self._uses.get(tenant.name, {})
        if proxy not in uses:
            return 0.0
        total = sum(use.at(now) for use in uses.values()) + SHARE_LEFT * _rate(tenant)
        heard_rate = _rate(tenant) - self._unheard_rate(tenant)
        left = heard_rate - self._told_rate(tenant.name, now)
        rate = max(0.0, min(heard_rate * uses[proxy].at(now) / total, left))
        told[proxy] = GrantedShare(rate, now)
        return rate

    def _told_rate(self, tenant: str, now: float) -> float:
        """Return what all proxies together may run alone by what they were told."""
        shares = self._told.get(tenant, {}).values()
        return sum(share.rate for share in shares if share.holds(now))

    def _alone_operations(self, tenant: Tenant, now: float) -> float:
        """Return what each proxy may run at once when it loses the leader, beside its share.

        With a fraction of an operation a second each, a small tenant would have none run.
        """
        uses = self._uses.get(tenant.name, {})
        recent = sum(now - use.last_at < SHARE_LIFE_S for use in uses.values())
        together = self._together(tenant)
        if recent == 0 or together < recent:
            return 0.0
        return min(together / recent, MOST_ALONE_EACH)

    def _together(self, tenant: Tenant) -> float:
        """Return how many operations proxies may run at once that lose the leader, all together."""
        in_window = _rate(tenant) * WINDOW_S + _burst(tenant)
        return ALONE_OPERATIONS + ALONE_SHARE_OF_WINDOW * in_window

    def _unheard_rate(self, tenant: Tenant) -> float:
        """Return what proxies may run alone that have not come to this leader."""
        if self._adoption.knows_shares(tenant.name):
            return min(_rate(tenant), self._adoption.unheard_rate(tenant.name))
        return _rate(tenant) * (1.0 - self._share)

    def _budget(self, tenant: Tenant, now: float) -> TenantBudget:
        budget = self._budgets.get(tenant.name)
        if budget is None:
            burst = _burst(tenant)
            first = min(burst, FIRST_TOKENS + FIRST_TOKENS_S * _rate(tenant))
            first *= self._first_share
            budget = TenantBudget(TokenBucket(_rate(tenant), burst, first, self._began_at))
            self._budgets[tenant.name] = budget
            self._set_rate(tenant.name, self._began_at)
            if self._adoption.knows(tenant.name):
                self._adopt(tenant.name, budget.bucket, now)
            since = self._quiet_since(now)
            if since is not None:
                self._fill_bucket(tenant.name, budget.bucket, since, now)
        return budget

    def _set_rate(self, name: str, now: float) -> None:
        """Have a bucket fill at what the limit leaves beside proxies that run by themselves."""
        budget = self._budgets.get(name)
        tenant = self._tenants.get(name)
        if budget is None or tenant is None:
            return
        bucket = budget.bucket
        bucket.advance(now)
        alone = sum(rates.get(name, 0.0) for rates in self._running_alone.values())
        unheard = self._unheard_rate(tenant)
        if self._adoption.knows_shares(name):
            alone, unheard = alone + unheard, 0.0
        withheld = max(0.0, alone - SPARED_RATE) + unheard
        bucket.rate = max(0.0, _rate(tenant) - withheld)
        bucket.burst = _burst(tenant)
        budget.full_rate = _rate(tenant)
        budget.urgent_share = tenant.operation_urgent_percent / PERCENT
        bucket.tokens = min(bucket.tokens, bucket.burst)

    def _runs_alone(self, proxy: str, since: float, now: float) -> None:
        """Count a proxy that is missed as running at its rate since it was last heard."""
        rates = {
            name: told[proxy].rate
            for name, told in self._told.items()
            if proxy in told and told[proxy].holds(since) and name in self._tenants
        }
        self._running_alone[proxy] = rates
        for tenant in rates:
            budget = self._budgets.get(tenant)
            if budget is None:
                continue
            bucket = budget.bucket
            bucket.advance(now)
            rate = bucket.rate
            self._set_rate(tenant, now)
            owed = (rate - bucket.rate) * (now - since)
            bucket.tokens = max(bucket.tokens - owed, -LONGEST_DEBT_S * rate)

    def _runs_alone_no_more(self, proxy: str, now: float) -> None:
        for tenant in self._running_alone.pop(proxy):
            self._set_rate(tenant, now)


def _grant_by_priority(
    budget: TenantBudget, demand: OperationDemand, now: float
) -> tuple[int, list[float], tuple[RetryTime, ...]]:
    """Return how many operations may run now, when further ones may, and when others come back."""
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
    first_s, step_s = budget.returns_in_s(priority, operations, now)
    return RetryTime(priority, math.ceil(first_s * MS_PER_S), math.ceil(step_s * MS_PER_S))


def _rate(tenant: Tenant) -> float:
    """Return a tenant's limit in operations a second."""
    return tenant.operations_per_minute / SECONDS_PER_MINUTE


def _burst(tenant: Tenant) -> float:
    """Return the most tokens of a tenant's bucket: one at least, or nothing would ever run."""
    return max(1.0, float(tenant.operation_burst))
