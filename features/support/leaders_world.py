"""Simulation of a tenant at several proxies while leaders and proxies fail and links are cut."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from limedyke.core.limits.leader_outage import LeaderOutage
from limedyke.core.limits.operation_allowance import FEW_PROXIES, OperationAllowance
from limedyke.core.limits.operation_limits import OperationLimits
from limedyke.messages.declaration import Tenant
from limedyke.messages.limits import OperationDemand, OperationsOfPriority, OperationsRequest

LEASE_S = 12.0
STEP_S = 0.02
HEARTBEAT_S = 0.4
RECONNECT_S = 0.5
"""Longest time until a proxy is linked to the next leader, or has restarted after a power loss."""
WINDOW_S = 5.0
WAIT_MS = 400
MS_PER_S = 1_000
TENANT = "one"


@dataclass(frozen=True, slots=True)
class Held:
    """An operation that waits for a leader.

    :param latest: latest time until which it may wait
    :param until: when it is refused unless a leader has answered
    """

    latest: float
    until: float


@dataclass(slots=True)
class Proxy:
    """A home proxy; ``name`` changes with each start of its process.

    :ivar held: operations that wait for a leader
    """

    name: str
    allowance: OperationAllowance = field(default_factory=OperationAllowance)
    has_power: bool = True
    is_cut: bool = False
    linked_at: float = 0.0
    is_linked: bool = True
    contacted_at: float = 0.0
    predecessor: str = ""
    started_at: float = 0.0
    outage: LeaderOutage = field(default_factory=LeaderOutage)
    held: list[Held] = field(default_factory=list)


class LeadersWorld:
    """Home proxies of one group and successive leaders in simulated time.

    :param load: operations per second that all clients send, as a share of the limit

    :ivar load: initial operations per second of all clients
    :ivar reporting: number of proxies that report their use to a new leader; older versions do not
    :ivar messages: number of requests to leaders
    :ivar ran: when each operation ran
    :ivar refused: when each operation was refused
    """

    def __init__(self, rate: float, burst: int, count: int, load: float, seed: int) -> None:
        tenant = Tenant(TENANT, (), operations_per_minute=round(rate * 60), operation_burst=burst)
        self.tenants = {TENANT: tenant}
        self.bound = (rate * WINDOW_S + burst) * 1.1 + 20
        self.now = 1_000.0
        self.ran: list[float] = []
        self.refused: list[float] = []
        self.reporting = count
        self.proxies = [Proxy(f"p{number}") for number in range(count)]
        self.load = rate * load
        self._per_step = self.load * STEP_S
        self._due = 0.0
        self._random = Random(seed)
        self.messages = 0
        self._leader_since = self.now - 100.0
        self._leader: OperationLimits | None = None
        self._unreported: set[str] = set()
        self._registered = count
        self._start_leader(float("-inf"))
        self._unreported.clear()

    def set_load(self, rate: float) -> None:
        """Set the operations per second that all clients send."""
        self._per_step = rate * STEP_S

    def leader_dies(self, without_s: float, knows_predecessor: bool = True) -> None:
        """Stop the leader, and start another one after ``without_s`` seconds.

        :param knows_predecessor: whether the next one knows when this one began; otherwise it has
            just started
        """
        self._leader = None
        for proxy in self.proxies:
            proxy.is_linked = False
        self.play(without_s)
        before, self._leader_since = self._leader_since, self.now
        self._start_leader(before if knows_predecessor else self.now - without_s)
        for proxy in self.proxies:
            proxy.linked_at = self.now + self._random.random() * RECONNECT_S

    def power(self, count: int, is_on: bool) -> None:
        """Switch the power of the first proxies; a proxy restarts under another name."""
        for proxy in self.proxies[:count]:
            proxy.has_power = is_on
            proxy.is_linked = False
            if is_on:
                proxy.predecessor, proxy.name = proxy.name, f"{proxy.name}x"
                proxy.allowance = OperationAllowance()
                proxy.outage = LeaderOutage()
                proxy.held = []
                proxy.started_at = self.now
                proxy.linked_at = self.now + RECONNECT_S * (0.6 + 0.4 * self._random.random())

    def cut(self, count: int, is_cut: bool) -> None:
        """Cut the links of the last proxies to the leader, or restore them."""
        for proxy in self.proxies[-count:]:
            proxy.is_cut = is_cut
            proxy.is_linked = False
            proxy.linked_at = self.now + self._random.random() * RECONNECT_S

    def play(self, seconds: float) -> None:
        """Simulate a time in which clients send operations to serving proxies."""
        for _ in range(round(seconds / STEP_S)):
            self._step()

    def let_time_pass(self, seconds: float) -> None:
        """Advance the time without any operation."""
        self.now += seconds

    def most_in_window(self) -> int:
        """Return the most operations that ran within any window."""
        ran = sorted(self.ran)
        most = first = 0
        for last, moment in enumerate(ran):
            while moment - ran[first] > WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most

    def _start_leader(self, before: float) -> None:
        self._leader = OperationLimits(self.tenants, LEASE_S, self.now, before)
        self._unreported = {proxy.predecessor or proxy.name for proxy in self.proxies}
        self._registered = len(self._unreported)

    def _step(self) -> None:
        self.now += STEP_S
        for proxy in self.proxies:
            self._update_link(proxy)
        if self._leader is not None:
            self._leader.set_connected_share(1 - len(self._unreported) / self._registered, self.now)
            self._leader.tick(self.now)
        serving = [proxy for proxy in self.proxies if proxy.has_power and not proxy.predecessor]
        wanted = dict.fromkeys(range(len(serving)), 0)
        for _ in range(self._arrivals() if serving else 0):
            wanted[self._random.randrange(len(serving))] += 1
        for number, count in wanted.items():
            if count:
                self._run(serving[number], count)
        for proxy in serving:
            self._settle_held(proxy)

    def _arrivals(self) -> int:
        """Return how many operations arrive in a step; they are evenly spaced."""
        self._due += self._per_step
        whole = int(self._due)
        self._due -= whole
        return whole

    def _update_link(self, proxy: Proxy) -> None:
        if self._leader is None or proxy.is_cut or not proxy.has_power:
            return
        if not proxy.is_linked:
            if self.now < proxy.linked_at:
                return
            self._link(proxy)
        if self.now - proxy.contacted_at >= HEARTBEAT_S:
            proxy.contacted_at = self.now
            self._leader.proxy_contacted(proxy.name, self.now)

    def _link(self, proxy: Proxy) -> None:
        """Link a proxy to the leader, and report its use."""
        proxy.is_linked = True
        if proxy.predecessor:
            self._leader.proxy_ended(proxy.predecessor, self.now, proxy.name)
            self._unreported.discard(proxy.predecessor)
            proxy.predecessor = ""
        self._unreported.discard(proxy.name)
        proxy.contacted_at = self.now
        self._leader.proxy_contacted(proxy.name, self.now)
        self.messages += 1
        if self.proxies.index(proxy) >= self.reporting:
            return
        reports = proxy.allowance.reports(TENANT, self.now)
        running_ms = int((self.now - proxy.started_at) * MS_PER_S)
        request = OperationsRequest(self.messages, (), reports, running_ms)
        self._leader.wanted(proxy.name, request, self.now)

    def _run(self, proxy: Proxy, count: int) -> None:
        for _ in range(count):
            proxy.allowance.count_demand(self.now)
        stocked = sum(proxy.allowance.take_granted(self.now) for _ in range(count))
        self.ran += [self.now] * stocked
        count -= stocked
        if not count:
            return
        if proxy.is_linked:
            self._ask(proxy, count)
        else:
            self._run_without_leader(proxy, count)

    def _settle_held(self, proxy: Proxy) -> None:
        """Request held operations of the leader once there is one; refuse those held too long."""
        held, proxy.held = proxy.held, []
        for operation in held:
            if proxy.is_linked:
                self._ask(proxy, 1, int((operation.latest - self.now) * MS_PER_S))
            elif self.now < operation.until:
                proxy.held.append(operation)
            else:
                self.refused.append(self.now)

    def _ask(self, proxy: Proxy, count: int, wait_ms: int = WAIT_MS) -> None:
        self.messages += 1
        proxy.outage.note_answer()
        by_priority = (OperationsOfPriority(1, count, max(0, wait_ms)),)
        demand = OperationDemand(
            TENANT, count, proxy.allowance.prefetch_count(self.now), by_priority
        )
        request = OperationsRequest(self.messages, (demand,))
        grant = self._leader.wanted(proxy.name, request, self.now).grants[0]
        proxy.allowance.apply_grant(grant, self.now)
        at_once = min(count, grant.operations)
        proxy.allowance.add(grant.operations - at_once, self.now)
        self.ran += [self.now] * at_once
        self.ran += [self.now + wait_ms / MS_PER_S for wait_ms in grant.waits_ms]
        self.refused += [self.now] * (count - at_once - len(grant.waits_ms))

    def _run_without_leader(self, proxy: Proxy, count: int) -> None:
        latest = self.now + WAIT_MS / MS_PER_S
        proxy.outage.note_unanswered(self.now)
        for _ in range(count):
            if proxy.allowance.take_reserve(self.now, len(self.proxies) <= FEW_PROXIES):
                self.ran.append(self.now)
                continue
            in_s = proxy.allowance.promise_reserve(WAIT_MS / MS_PER_S, self.now)
            held_until = proxy.outage.held_until(latest, proxy.allowance.was_over_limit, self.now)
            if in_s is not None:
                self.ran.append(self.now + in_s)
            elif held_until > self.now:
                proxy.held.append(Held(latest, held_until))
            else:
                self.refused.append(self.now)
