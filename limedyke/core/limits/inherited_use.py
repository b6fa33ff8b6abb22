"""Tenants' use that a new leader learns from the first messages of proxies; sans-IO.

When a leader dies while tenants are at 80 % of their limits, the next one must know what was
granted within the last window, and which part of each limit proxies that have not connected yet
may run.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from limedyke.core.limits.token_bucket import TokenBucket
from limedyke.core.limits.use_window import SLOT_S, SLOTS, UseWindow
from limedyke.messages.limits import OperationReport

SECONDS_PER_MINUTE = 60


@dataclass(slots=True)
class _TenantUse:
    """Known use of one tenant; rates are operations per second.

    :ivar shares: what each proxy that has reported may run without a leader
    :ivar total_rate: what all proxies may run without one, as last stated by the previous leader
    """

    window: UseWindow = field(default_factory=UseWindow)
    shares: dict[str, float] = field(default_factory=dict)
    total_rate: float = 0.0
    is_reported: bool = False


class InheritedUse:
    """Use by tenant from before and since a controller began to lead.

    :ivar are_all_reported: each proxy registered before has reported or ended
    """

    def __init__(self) -> None:
        self._tenants: dict[str, _TenantUse] = {}
        self._reported: set[str] = set()
        self.are_all_reported = False

    def knows(self, tenant: str) -> bool:
        """Tell whether a proxy has reported on a tenant."""
        known = self._tenants.get(tenant)
        return known is not None and known.is_reported

    def knows_shares(self, tenant: str) -> bool:
        """Tell whether a proxy has reported the total share of all proxies for a tenant."""
        known = self._tenants.get(tenant)
        return known is not None and known.total_rate > 0.0

    def granted(self, tenant: str, operations: int, now: float) -> None:
        """Count operations that this leader grants."""
        self._of(tenant).window.count(operations, now)

    def take(self, proxy: str, reports: Iterable[OperationReport], now: float) -> list[str]:
        """Apply a proxy's first message; return the tenants with new information.

        Later reports, on another link, are ignored because this leader counted that use itself.
        """
        if proxy in self._reported:
            return []
        self._reported.add(proxy)
        updated = []
        for report in reports:
            known = self._of(report.tenant)
            known.window.add_slots(report.granted, now)
            known.shares[proxy] = report.alone_per_minute / SECONDS_PER_MINUTE
            known.total_rate = max(
                known.total_rate, report.alone_of_per_minute / SECONDS_PER_MINUTE
            )
            known.is_reported = True
            updated.append(report.tenant)
        return updated

    def unreported_rate(self, tenant: str) -> float:
        """Return the rate that proxies without a report may run at for a tenant."""
        known = self._tenants.get(tenant)
        if known is None or self.are_all_reported:
            return 0.0
        return max(0.0, known.total_rate - sum(known.shares.values()))

    def set_all_reported(self, now: float) -> None:
        """Record that all proxies have reported or ended; none runs without a leader any more.

        The possible use of proxies that ended is counted within the last window.
        """
        if self.are_all_reported:
            return
        for tenant, known in self._tenants.items():
            ended_rate = self.unreported_rate(tenant)
            for age in range(SLOTS if ended_rate else 0):
                known.window.count(ended_rate * SLOT_S, now - age * SLOT_S)
        self.are_all_reported = True

    def level(self, tenant: str, rate: float, burst: float, now: float) -> float:
        """Return a tenant's bucket level derived from all known use (see ``UseWindow``)."""
        return self._of(tenant).window.level(rate, burst, now)

    def level_since(self, tenant: str, since: float, bucket: TokenBucket, now: float) -> float:
        """Return a tenant's bucket level if nothing unknown ran after ``since``."""
        window = self._of(tenant).window
        return window.level_since(since, bucket.rate, bucket.burst, now)

    def _of(self, tenant: str) -> _TenantUse:
        return self._tenants.setdefault(tenant, _TenantUse())
