"""Random histories of connection leases whose holders report their demand at each member."""

from __future__ import annotations

import dataclasses
from collections import Counter, defaultdict
from unittest import mock

from features.support.control_builders import a_declaration, a_group
from features.support.lease_mutants import MUTANTS
from features.support.lease_world import (
    GROUP,
    HEARTBEAT_S,
    Holder,
    LeaseWorld,
    OverBudgetError,
)
from limedyke.core.control.events import HeartbeatReceived, UpdateApplied
from limedyke.messages.control import (
    ConnectionDemand,
    ConnectionLease,
    ControlUpdate,
    ProxyHeartbeat,
    ProxyState,
    member_of_budget,
)
from limedyke.messages.control_entries import ConfirmPlan, RecordMembers
from limedyke.messages.databases import AnnouncedMember, MemberState
from limedyke.messages.declaration import Group, MemberCap, PromotionMode
from limedyke.messages.operator import Plan
from limedyke.proxy.members.held_leases import HeldLeases

MEMBERS = ("m1", "m2", "m3")
LARGEST_DEMAND = 20
CONFIRMED_AT = 1_010


def an_announced_group(name: str, limit: int, budgets: dict[str, int]) -> Group:
    """Return a group whose members announce themselves."""
    group = a_group(name, limit, budgets)
    return dataclasses.replace(group, members=(), announced=True, promotion=PromotionMode.AUTHORITY)


def a_member(identity: str, group: str) -> AnnouncedMember:
    """Return an announced member."""
    return AnnouncedMember(identity, group, "127.9.9.9:1", "z1", "v1", 4, MemberState.READY, False)


class DemandWorld(LeaseWorld):
    """A history in which members are added and removed, and demand changes at random."""

    caps: tuple[MemberCap, ...] = ()

    def _declare(self, limit: int, budgets: dict[str, int]) -> ControlUpdate | None:
        is_first = not self._limits
        self._limits.append((self.now, limit, budgets))
        group = dataclasses.replace(
            an_announced_group(GROUP, limit, budgets), member_caps=self.caps
        )
        declaration = a_declaration(group)
        plan = self.test.plan(declaration, f"plan {self.now}")
        if not isinstance(plan, Plan):
            return None
        entry = ConfirmPlan(f"confirm {self.now}", "anna", plan.plan_id, CONFIRMED_AT)
        update = self.test.apply(entry).update
        if is_first:
            self.test.apply(RecordMembers(tuple(a_member(name, GROUP) for name in MEMBERS)))
        return update

    def _inject_fault(self) -> None:
        super()._inject_fault()
        if self.generator.random() < 0.01:
            self._change_members()
        if self.generator.random() < 0.01:
            self._change_caps()

    def _change_caps(self) -> None:
        """Cap a member, or remove the cap; the limits are unchanged."""
        limit, budgets = self._limits[-1][1:]
        bound = self.generator.choice((0, 2, 12, 30))
        self.caps = (MemberCap(self.generator.choice(MEMBERS), bound),) if bound else ()
        update = self._declare(limit, budgets)
        if update is not None:
            self._notify_leader(UpdateApplied(update))

    def _change_members(self) -> None:
        name = self.generator.choice(MEMBERS)
        if name in self.test.state.announced:
            entry = RecordMembers((), (name,))
        else:
            entry = RecordMembers((a_member(name, GROUP),))
        update = self.test.apply(entry).update
        if update is not None:
            self._notify_leader(UpdateApplied(update))

    def _send_heartbeat(self, holder: Holder, clock: float) -> None:
        holder.sequence += 1
        holder.next_heartbeat_at = clock + HEARTBEAT_S
        holder.leases.heartbeat_sent(holder.sequence, clock)
        held = holder.leases.report() if holder.first else ()
        demands = None
        if holder.name != "p0":
            demands = tuple(
                ConnectionDemand(GROUP, name, self.generator.randint(0, LARGEST_DEMAND))
                for name in MEMBERS
            )
        beat = ProxyHeartbeat(holder.sequence, 0, 0, ProxyState.SERVING, 0, held, demands)
        self._post(holder.to_leader, HeartbeatReceived(holder.name, beat, holder.first))
        holder.first = False

    def check(self) -> None:
        """Raise if the connections that may be open at a member exceed a budget or the limit."""
        held = self._held()
        for name, allowed in self._allowed().items():
            for member in MEMBERS:
                most = max(allowed, self._last_held[name, member])
                if held[name, member] > most:
                    raise OverBudgetError(f"{name}, {member}: {held[name, member]} > {allowed}")
        self._last_held = defaultdict(int, held)

    def _held(self) -> Counter[tuple[str, str]]:
        """Return the connections that may be open at each member, by budget and in total."""
        held: Counter[tuple[str, str]] = Counter()
        for holder in self.holders:
            if holder.clock(self.now) >= holder.leases.expires_at:
                continue
            for lease in holder.leases.holdings():
                tenant = lease.tenant.partition("@")[0]
                only = member_of_budget(lease.tenant)
                self.granted_something = self.granted_something or bool(only)
                for member in (only,) if only else MEMBERS:
                    held[tenant, member] += lease.connections
                    held["limit", member] += lease.connections
        return held


def _report_without_granting(leases: HeldLeases) -> tuple[ConnectionLease, ...]:
    """Report the held connections, and continue to return those that an earlier leader revoked."""
    return leases.holdings()


SAFEGUARDS = {
    "a revoked share is reused only after its return": MUTANTS[
        "a revoked share is reused only after its return"
    ],
    "what is reported counts as granted at both ends": lambda: mock.patch.object(
        HeldLeases, "report", _report_without_granting
    ),
}


def breaks_without(safeguard: str, histories: int, steps: int) -> bool:
    """Return whether some history exceeds a limit without a safeguard."""
    with SAFEGUARDS[safeguard]():
        for seed in range(histories):
            try:
                DemandWorld(seed).run(steps)
            except OverBudgetError:
                return True
    return False
