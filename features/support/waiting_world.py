"""Simulation of proxies whose operations wait for tokens, and the leader that grants them."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from limedyke.core.limits.operation_limits import OperationLimits
from limedyke.core.limits.token_queue import TokenQueue, TokenWaiter
from limedyke.messages.declaration import Tenant
from limedyke.messages.limits import OperationDemand, OperationsOfPriority, OperationsRequest

LEASE_S = 12.0
STEP_S = 0.02
MS_PER_S = 1_000
WINDOW_S = 5.0
TENANT = "one"


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of operation: its priority, rate per second and allowed wait."""

    priority: int
    per_s: float
    wait_ms: int


@dataclass(slots=True, eq=False)
class Arrival(TokenWaiter):
    """An operation with the times of its arrival and of its run or refusal."""

    arrived_at: float = 0.0
    ran_at: float | None = None
    refused_at: float | None = None
    return_at: float = 0.0


class WaitingWorld:
    """Several proxies and one leader, which answers one step after a request.

    :ivar first_proxy: number of the first remaining proxy
    :ivar arrivals: all operations in order of arrival
    """

    def __init__(self, rate: float, burst: int, proxies: int) -> None:
        tenant = Tenant(TENANT, (), operations_per_minute=round(rate * 60), operation_burst=burst)
        self.tenants = {TENANT: tenant}
        self.now = 1_000.0
        self.limits = OperationLimits(self.tenants, LEASE_S, self.now - 100.0)
        self.queues = [TokenQueue() for _ in range(proxies)]
        self.arrivals: list[Arrival] = []
        self._number = 0
        self._due: dict[Kind, float] = {}
        self._next_proxy = 0
        self.first_proxy = 0

    def play(self, kinds: list[Kind], seconds: float) -> None:
        """Simulate a time in which operations arrive evenly, at each proxy in turn."""
        for _ in range(round(seconds / STEP_S)):
            self.step(kinds)

    def step(self, kinds: list[Kind]) -> None:
        """Simulate one step."""
        self.now += STEP_S
        arrived: dict[int, list[Arrival]] = {}
        for kind in kinds:
            count = self._due.get(kind, 0.0) + kind.per_s * STEP_S
            for _ in range(int(count)):
                self._next_proxy = (self._next_proxy + 1) % len(self.queues)
                arrived.setdefault(self._next_proxy, []).append(self.arrival(kind))
            self._due[kind] = count - int(count)
        for proxy, arrivals in arrived.items():
            self.ask(proxy, arrivals)
        self.run_due()

    def arrival(self, kind: Kind) -> Arrival:
        """Add an operation that arrives now."""
        target_at = self.now + kind.wait_ms / MS_PER_S
        arrival = Arrival(kind.priority, target_at, 0, arrived_at=self.now)
        self.arrivals.append(arrival)
        return arrival

    def ask(self, proxy: int, arrivals: list[Arrival]) -> None:
        """Request the operations that arrived at a proxy, and apply the leader's answer."""
        self._number += 1
        queue = self.queues[proxy]
        for arrival in arrivals:
            arrival.number = self._number
            queue.add(arrival, self.now)
        counts = Counter((a.priority, round((a.target_at - self.now) * MS_PER_S)) for a in arrivals)
        by_priority = tuple(
            OperationsOfPriority(priority, count, wait_ms)
            for (priority, wait_ms), count in sorted(counts.items())
        )
        demand = OperationDemand(TENANT, len(arrivals), 0, by_priority)
        request = OperationsRequest(self._number, (demand,))
        grant = self.limits.wanted(f"p{self.first_proxy + proxy}", request, self.now).grants[0]
        dues = [self.now] * grant.operations
        dues += [self.now + wait_ms / MS_PER_S for wait_ms in grant.waits_ms]
        retry_times = {one.priority: one for one in grant.returns}
        before: Counter[int] = Counter()
        for refused in queue.answered(self._number, dues, self.now):
            refused.refused_at = self.now
            times = retry_times.get(refused.priority)
            if times is not None:
                after_ms = times.after_ms + before[refused.priority] * times.step_ms
                refused.return_at = self.now + after_ms / MS_PER_S
                before[refused.priority] += 1

    def run_due(self) -> None:
        """Run the operations whose token is due."""
        for queue in self.queues:
            for waiter in queue.waiters:
                if queue.take(waiter, self.now):
                    waiter.ran_at = self.now

    def of(self, priority: int) -> list[Arrival]:
        """Return the operations of a priority."""
        return [arrival for arrival in self.arrivals if arrival.priority == priority]

    def most_in_window(self) -> int:
        """Return the most operations that ran within any window."""
        ran = sorted(a.ran_at for a in self.arrivals if a.ran_at is not None)
        most = first = 0
        for last, moment in enumerate(ran):
            while moment - ran[first] > WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most
