"""Simulates successive leaders and several holders of connection leases on virtual time.

Links delay messages, and lose those in transit when they break.  Clocks drift.  Processes freeze,
are partitioned, and restart with their disk or on another machine under the same name.  Limits
change by confirmed plans.  Proposals may be lost with their leader.
"""

from __future__ import annotations

import random
from collections import defaultdict, deque
from dataclasses import dataclass, field

from features.support.control_builders import StateUnderTest, a_declaration, a_group
from limedyke.core.control.events import (
    AnswerHeartbeat,
    DisconnectProxy,
    HeartbeatReceived,
    LeaderCommand,
    LeaderEvent,
    LeasesReturned,
    Propose,
    ProxyConnected,
    ProxyDisconnected,
    SendToProxy,
    TimePassed,
    UpdateApplied,
)
from limedyke.core.control.leader import LeaderDecisions
from limedyke.core.control.timing import ControlTiming
from limedyke.messages.control import (
    ConnectionLease,
    ControlUpdate,
    LeaseUpdate,
    ProxyHeartbeat,
    ProxyHello,
    ProxyState,
)
from limedyke.messages.control_entries import ConfirmPlan
from limedyke.messages.operator import Plan
from limedyke.proxy.members.held_leases import HeldLeases

LEASE_S = 5.0
STEP_S = 0.25
HEARTBEAT_S = 1.0
DRIFT = 0.009
LONGEST_DELAY_S = 1.5
LONGEST_COMMIT_S = 1.0
HOMES = 3
GROUP = "g"
CONFIRMED_AT = 1_010
LIMITS = ((40, {"t": 20, "u": 14}), (40, {"t": 8, "u": 26}), (20, {"t": 10, "u": 4}))
IN_FLIGHT_S = 2 * LEASE_S
"""Time after which a grant made under an earlier limit has been used or has expired."""


class OverBudgetError(AssertionError):
    """More connections may be open than a budget or limit allows."""


@dataclass
class Holder:
    """A proxy process with its own clock and leases."""

    name: str
    zone: str
    incarnation: int
    folder_id: str
    rate: float
    leases: HeldLeases = field(default_factory=HeldLeases)
    frozen_until: float = 0.0
    cut_until: float = 0.0
    linked: bool = False
    to_leader: deque = field(default_factory=deque)
    to_holder: deque = field(default_factory=deque)
    sequence: int = 0
    next_heartbeat_at: float = 0.0
    first: bool = True

    def clock(self, now: float) -> float:
        """Return the holder's own time."""
        return 1_000.0 + now * self.rate


class LeaseWorld:
    """Runs a random history from a seed and checks the sums after every step."""

    def __init__(self, seed: int, names: int = 5) -> None:
        self.generator = random.Random(seed)
        self.now = 0.0
        self.test = StateUnderTest()
        self._limits: list[tuple[float, int, dict[str, int]]] = []
        self._last_held: dict[str, int] = defaultdict(int)
        self._incarnations = 0
        self._disks = 0
        self._proposed: deque[tuple[float, object]] = deque()
        self.granted_something = False
        self._declare(*LIMITS[0])
        self.holders = [self._start(f"p{i}", f"disk-p{i}") for i in range(names)]
        self.leader = self._new_leader()

    def run(self, steps: int) -> None:
        """Run a number of steps."""
        for _ in range(steps):
            self.now += STEP_S
            self._inject_fault()
            self._commit()
            for holder in list(self.holders):
                self._step(holder)
            self._notify_leader(TimePassed())
            self.check()

    def check(self) -> None:
        """Raise if the connections that may be open exceed a budget or the limit.

        After a limit was lowered, holders may keep busy connections, but the sum must not grow.
        """
        held: defaultdict[str, int] = defaultdict(int)
        for holder in self.holders:
            if holder.clock(self.now) >= holder.leases.expires_at:
                continue
            for lease in holder.leases.holdings():
                held[lease.tenant] += lease.connections
                held["limit"] += lease.connections
                self.granted_something = True
        for name, allowed in self._allowed().items():
            if held[name] > max(allowed, self._last_held[name]):
                raise OverBudgetError(f"{name}: {held[name]} > {allowed} at {self.now}")
        self._last_held = held

    def _allowed(self) -> dict[str, int]:
        """Return the largest limit and budgets on which unexpired grants may be based."""
        while len(self._limits) > 1 and self._limits[1][0] < self.now - IN_FLIGHT_S:
            del self._limits[0]
        allowed = {"limit": max(limit for _, limit, _ in self._limits)}
        for tenant in ("t", "u"):
            allowed[tenant] = max(budgets[tenant] for _, _, budgets in self._limits)
        return allowed

    def _declare(self, limit: int, budgets: dict[str, int]) -> ControlUpdate | None:
        """Confirm a plan with these limits; return the update, or None if nothing changes."""
        self._limits.append((self.now, limit, budgets))
        declaration = a_declaration(a_group(GROUP, limit, budgets))
        plan = self.test.plan(declaration, f"plan {self.now}")
        if not isinstance(plan, Plan):
            return None
        entry = ConfirmPlan(f"confirm {self.now}", "anna", plan.plan_id, CONFIRMED_AT)
        return self.test.apply(entry).update

    def _start(self, name: str, folder_id: str) -> Holder:
        self._incarnations += 1
        zone = f"z{int(name[1:]) % 3}"
        rate = 1 + self.generator.uniform(-DRIFT, DRIFT)
        return Holder(name, zone, self._incarnations, folder_id, rate)

    def _new_leader(self) -> LeaderDecisions:
        timing = ControlTiming(lease_s=LEASE_S, suspicion_s=2.5)
        generator = random.Random(self.generator.random())
        return LeaderDecisions(self.test.state, timing, HOMES, generator, self.now)

    def _inject_fault(self) -> None:
        generator = self.generator
        holder = generator.choice(self.holders)
        event = generator.random()
        if event < 0.02:
            self._change_leader()
        elif event < 0.06:
            holder.cut_until = self.now + generator.uniform(0.5, 12.0)
        elif event < 0.08:
            holder.frozen_until = self.now + generator.uniform(0.5, 12.0)
        elif event < 0.10:
            self._break(holder)
        elif event < 0.115:
            self._restart(holder)
        elif event < 0.13:
            self._replace_machine(holder)
        elif event < 0.14:
            self._change_limits()

    def _change_leader(self) -> None:
        """Replace the leader, and lose some of its last proposals."""
        kept = self.generator.randint(0, len(self._proposed))
        for _, entry in list(self._proposed)[:kept]:
            self.test.apply(entry)
        self._proposed.clear()
        for holder in self.holders:
            holder.linked = False
            holder.to_leader.clear()
            holder.to_holder.clear()
        self.leader = self._new_leader()

    def _restart(self, holder: Holder) -> None:
        """End a process, and start another one on its data folder."""
        self._break(holder)
        self.holders.remove(holder)
        self.holders.append(self._start(holder.name, holder.folder_id))

    def _replace_machine(self, holder: Holder) -> None:
        """Start a process of the same name on an empty disk; the earlier one is partitioned."""
        holder.cut_until = self.now + self.generator.uniform(4.0, 12.0)
        newer = [other for other in self.holders if other.name == holder.name]
        if len(newer) == 1:
            self._disks += 1
            self.holders.append(self._start(holder.name, f"disk-{self._disks}"))

    def _change_limits(self) -> None:
        update = self._declare(*self.generator.choice(LIMITS))
        if update is not None:
            self._notify_leader(UpdateApplied(update))

    def _break(self, holder: Holder) -> None:
        if not holder.linked:
            return
        holder.linked = False
        holder.to_leader.clear()
        holder.to_holder.clear()
        self._notify_leader(ProxyDisconnected(holder.name))

    def _step(self, holder: Holder) -> None:
        if self.now < holder.cut_until:
            if holder.linked and self.generator.random() < 0.3:
                self._break(holder)
            return
        if self.now >= holder.frozen_until:
            self._run_holder(holder)
        self._deliver_to_leader(holder)

    def _run_holder(self, holder: Holder) -> None:
        clock = holder.clock(self.now)
        if holder.leases.expire(clock) and holder.linked:
            self._break(holder)
        if not holder.linked:
            self._connect(holder, clock)
        self._deliver_to_holder(holder, clock)
        if holder.linked and clock >= holder.next_heartbeat_at:
            self._send_heartbeat(holder, clock)
        if holder.linked and self.generator.random() < 0.3:
            self._give_back(holder)

    def _connect(self, holder: Holder, clock: float) -> None:
        hello = ProxyHello(holder.name, holder.incarnation, "", holder.zone, 0, 0, holder.folder_id)
        if not self.leader.admits(hello):
            return
        for other in self.holders:
            if other.name == holder.name:
                self._break(other)
        holder.linked, holder.first, holder.next_heartbeat_at = True, True, clock
        self._notify_leader(ProxyConnected(hello))

    def _send_heartbeat(self, holder: Holder, clock: float) -> None:
        holder.sequence += 1
        holder.next_heartbeat_at = clock + HEARTBEAT_S
        holder.leases.heartbeat_sent(holder.sequence, clock)
        held = holder.leases.report() if holder.first else ()
        beat = ProxyHeartbeat(holder.sequence, 0, 0, ProxyState.SERVING, 0, held)
        self._post(holder.to_leader, HeartbeatReceived(holder.name, beat, holder.first))
        holder.first = False

    def _give_back(self, holder: Holder) -> None:
        """Close some of the connections that were revoked."""
        granted = {(le.group, le.tenant): le.connections for le in holder.leases.leases()}
        for lease in holder.leases.holdings():
            kept = granted.get((lease.group, lease.tenant), 0)
            still_open = self.generator.randint(kept, lease.connections)
            returned = holder.leases.returned(
                (ConnectionLease(lease.group, lease.tenant, still_open),)
            )
            if returned:
                self._post(holder.to_leader, LeasesReturned(holder.name, returned))

    def _post(self, queue: deque, message: object) -> None:
        earliest = queue[-1][0] if queue else self.now
        delay = self.generator.uniform(0.0, LONGEST_DELAY_S)
        queue.append((max(earliest, self.now + delay), message))

    def _due(self, queue: deque) -> list:
        due = []
        while queue and queue[0][0] <= self.now:
            due.append(queue.popleft()[1])
        return due

    def _deliver_to_leader(self, holder: Holder) -> None:
        for event in self._due(holder.to_leader):
            self._notify_leader(event)

    def _deliver_to_holder(self, holder: Holder, clock: float) -> None:
        for message in self._due(holder.to_holder):
            if isinstance(message, AnswerHeartbeat):
                holder.leases.renewed(message.sequence, LEASE_S)
            elif not holder.leases.update(message.leases, clock):
                self._break(holder)
                return

    def _notify_leader(self, event: LeaderEvent) -> None:
        self.leader.handle(event, self.now)
        for command in self.leader.take_commands():
            self._execute(command)

    def _execute(self, command: LeaderCommand) -> None:
        match command:
            case Propose():
                at = self.now + self.generator.uniform(0.0, LONGEST_COMMIT_S)
                earliest = self._proposed[-1][0] if self._proposed else 0.0
                self._proposed.append((max(at, earliest), command.entry))
            case SendToProxy(message=LeaseUpdate()):
                self._send(command.proxy, command.message)
            case AnswerHeartbeat():
                self._send(command.proxy, command)
            case DisconnectProxy():
                for holder in self.holders:
                    if holder.name == command.proxy:
                        self._break(holder)

    def _send(self, proxy: str, message: object) -> None:
        for holder in self.holders:
            if holder.name == proxy and holder.linked:
                self._post(holder.to_holder, message)

    def _commit(self) -> None:
        while self._proposed and self._proposed[0][0] <= self.now:
            _, entry = self._proposed.popleft()
            update = self.test.apply(entry).update
            if update is not None:
                self._notify_leader(UpdateApplied(update))
