"""A leader's count of a tenant's operations, and proxies that ask it, on one clock."""

from __future__ import annotations

from limedyke.core.limits.operation_allowance import OperationAllowance
from limedyke.core.limits.operation_limits import OperationLimits
from limedyke.messages.declaration import Tenant
from limedyke.messages.limits import OperationDemand, OperationsRequest

LEASE_S = 12.0
STEP_S = 0.1
HEARTBEAT_S = 0.4
WINDOW_S = 5.0
TENANT = "one"
PROXIES = ("p", "q", "r")


class LimitsWorld:
    """A leader's count, and proxies that ask it on one clock.

    :ivar ran: when each operation ran
    :ivar alone: how many of them ran without the leader
    """

    def __init__(self, rate: float, burst: int, led_s: float) -> None:
        self.tenants = {
            TENANT: Tenant(
                TENANT, (), operations_per_minute=round(rate * 60), operation_burst=burst
            )
        }
        self.now = 1_000.0
        self.led_from = self.now - led_s
        self.limits = OperationLimits(self.tenants, LEASE_S, self.led_from)
        self.allowances = {proxy: OperationAllowance() for proxy in PROXIES}
        self.ran: list[float] = []
        self.refused: list[float] = []
        self.alone = 0
        self.number = 0
        self.retry_after_ms = 0

    def next_leader(self) -> None:
        """Have another controller lead from now on, which saw the one before begin."""
        self.limits = OperationLimits(self.tenants, LEASE_S, self.now, self.led_from)
        self.led_from = self.now

    def ask(self, proxy: str, count: int) -> int:
        """Have a proxy ask for operations, which run if granted; return how many were."""
        self.number += 1
        request = OperationsRequest(self.number, (OperationDemand(TENANT, count),))
        grant = self.limits.wanted(proxy, request, self.now).grants[0]
        alone_rate = grant.alone_per_minute / 60
        self.allowances[proxy].granted(grant.operations, alone_rate, self.now)
        self.ran += [self.now] * grant.operations
        self.refused += [self.now] * (count - grant.operations)
        self.retry_after_ms = grant.retry_after_ms
        return grant.operations

    def run_alone(self, proxy: str, count: int) -> None:
        """Have a proxy run what it may without the leader."""
        for _ in range(count):
            if self.allowances[proxy].take_reserve(self.now):
                self.ran.append(self.now)
                self.alone += 1
            else:
                self.refused.append(self.now)

    def play(self, asking: tuple[str, ...], alone: tuple[str, ...], each: int, seconds: float):
        """Let time pass; each proxy wants so many operations at each step."""
        steps = round(seconds / STEP_S)
        for number in range(steps):
            self.now += STEP_S
            self.limits.tick(self.now)
            for proxy in asking:
                if number % round(HEARTBEAT_S / STEP_S) == 0:
                    self.limits.proxy_contacted(proxy, self.now)
                self.ask(proxy, each)
            for proxy in alone:
                self.run_alone(proxy, each)

    def most_in_window(self) -> int:
        """Return the most operations that ran within any window."""
        most = 0
        first = 0
        for last, moment in enumerate(self.ran):
            while moment - self.ran[first] > WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most
