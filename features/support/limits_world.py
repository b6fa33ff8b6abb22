"""Simulation of a leader that limits a tenant's operations, and proxies that request them."""

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
    """A leader and proxies in simulated time.

    :ivar ran: when each operation ran
    :ivar without_leader: number of operations that ran without the leader
    """

    def __init__(self, rate: float, burst: int, led_s: float) -> None:
        self.tenants = {
            TENANT: Tenant(
                TENANT, (), operations_per_minute=round(rate * 60), operation_burst=burst
            )
        }
        self.now = 1_000.0
        self.leader_since = self.now - led_s
        self.limits = OperationLimits(self.tenants, LEASE_S, self.leader_since)
        self.allowances = {proxy: OperationAllowance() for proxy in PROXIES}
        self.ran: list[float] = []
        self.refused: list[float] = []
        self.without_leader = 0
        self.number = 0
        self.retry_after_ms = 0

    def change_leader(self) -> None:
        """Replace the leader by one that knows when its predecessor began."""
        self.limits = OperationLimits(self.tenants, LEASE_S, self.now, self.leader_since)
        self.leader_since = self.now

    def ask(self, proxy: str, count: int) -> int:
        """Request operations for a proxy and run those granted; return their number."""
        self.number += 1
        request = OperationsRequest(self.number, (OperationDemand(TENANT, count),))
        grant = self.limits.wanted(proxy, request, self.now).grants[0]
        leaderless_rate = grant.alone_per_minute / 60
        self.allowances[proxy].count_granted(grant.operations, leaderless_rate, self.now)
        self.ran += [self.now] * grant.operations
        self.refused += [self.now] * (count - grant.operations)
        self.retry_after_ms = grant.retry_after_ms
        return grant.operations

    def run_without_leader(self, proxy: str, count: int) -> None:
        """Run the operations that a proxy may run without the leader."""
        for _ in range(count):
            if self.allowances[proxy].take_reserve(self.now):
                self.ran.append(self.now)
                self.without_leader += 1
            else:
                self.refused.append(self.now)

    def play(
        self, asking: tuple[str, ...], without_leader: tuple[str, ...], each: int, seconds: float
    ):
        """Simulate a time in which each proxy wants ``each`` operations per step."""
        steps = round(seconds / STEP_S)
        for number in range(steps):
            self.now += STEP_S
            self.limits.tick(self.now)
            for proxy in asking:
                if number % round(HEARTBEAT_S / STEP_S) == 0:
                    self.limits.proxy_contacted(proxy, self.now)
                self.ask(proxy, each)
            for proxy in without_leader:
                self.run_without_leader(proxy, each)

    def most_in_window(self) -> int:
        """Return the most operations that ran within any window."""
        most = 0
        first = 0
        for last, moment in enumerate(self.ran):
            while moment - self.ran[first] > WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most
