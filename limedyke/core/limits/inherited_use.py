"""What a new leader learns of tenants' use from the first messages of proxies; sans-IO.

Answers a leader that died while tenants were at 80 % of their limits: the next one knows what was
granted within the last window, and how much of each limit proxies may run that it has not heard.
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
    """What is known of one tenant; rates in operations a second.

    :ivar told: what each proxy that was heard may run alone
    :ivar of_rate: what all may, as the leader before said last
    """

    window: UseWindow = field(default_factory=UseWindow)
    told: dict[str, float] = field(default_factory=dict)
    of_rate: float = 0.0
    is_reported: bool = False


class InheritedUse:
    """Use by tenant from before and since a controller began to lead.

    :ivar are_all_heard: each proxy of before has come, or has ended
    """

    def __init__(self) -> None:
        self._tenants: dict[str, _TenantUse] = {}
        self._heard: set[str] = set()
        self.are_all_heard = False

    def knows(self, tenant: str) -> bool:
        """Tell whether a proxy has reported on a tenant."""
        known = self._tenants.get(tenant)
        return known is not None and known.is_reported

    def knows_shares(self, tenant: str) -> bool:
        """Tell whether a proxy has said what all proxies may run alone for a tenant."""
        known = self._tenants.get(tenant)
        return known is not None and known.of_rate > 0.0

    def granted(self, tenant: str, operations: int, now: float) -> None:
        """Count what this leader grants."""
        self._of(tenant).window.count(operations, now)

    def take(self, proxy: str, reports: Iterable[OperationReport], now: float) -> list[str]:
        """Take a proxy's first message; return the tenants of which it tells something new.

        What a proxy tells again, on another link, this leader has counted itself.
        """
        if proxy in self._heard:
            return []
        self._heard.add(proxy)
        told = []
        for report in reports:
            known = self._of(report.tenant)
            known.window.add_slots(report.granted, now)
            known.told[proxy] = report.alone_per_minute / SECONDS_PER_MINUTE
            known.of_rate = max(known.of_rate, report.alone_of_per_minute / SECONDS_PER_MINUTE)
            known.is_reported = True
            told.append(report.tenant)
        return told

    def unheard_rate(self, tenant: str) -> float:
        """Return how many operations a second unheard proxies may run alone for a tenant."""
        known = self._tenants.get(tenant)
        if known is None or self.are_all_heard:
            return 0.0
        return max(0.0, known.of_rate - sum(known.told.values()))

    def all_heard(self, now: float) -> None:
        """Take that all proxies were heard or have ended: nobody runs alone any more.

        What those that ended ran before counts within the last window.
        """
        if self.are_all_heard:
            return
        for tenant, known in self._tenants.items():
            ended_rate = self.unheard_rate(tenant)
            for age in range(SLOTS if ended_rate else 0):
                known.window.count(ended_rate * SLOT_S, now - age * SLOT_S)
        self.are_all_heard = True

    def level(self, tenant: str, rate: float, burst: float, now: float) -> float:
        """Return what a tenant's bucket holds now by all that is known (see ``UseWindow``)."""
        return self._of(tenant).window.level(rate, burst, now)

    def level_since(self, tenant: str, since: float, bucket: TokenBucket, now: float) -> float:
        """Return what a tenant's bucket holds if nothing ran before that is not known."""
        window = self._of(tenant).window
        return window.level_since(since, bucket.rate, bucket.burst, now)

    def _of(self, tenant: str) -> _TenantUse:
        return self._tenants.setdefault(tenant, _TenantUse())
