"""Builders of declarations and log entries for the tests of the control state."""

from __future__ import annotations

from limedyke.core.control.declaration_change import plan_id_of
from limedyke.core.control.plan_rules import describe_change
from limedyke.core.control.state import ApplyResult, ControlState
from limedyke.messages.control import ProxyRecord, ProxyState
from limedyke.messages.control_entries import ConfirmPlan, RecordPlan
from limedyke.messages.declaration import (
    Declaration,
    Group,
    Member,
    PromotionMode,
    Tenant,
    TenantAccess,
    User,
)

PLAN_LIFETIME_S = 100


def a_group(
    name: str,
    limit: int = 40,
    budgets: dict[str, int] | None = None,
    leaving: tuple[str, ...] = (),
    members: int = 3,
    promotion: PromotionMode = PromotionMode.CONTROLLERS,
) -> Group:
    """Return a group with members m1, m2, …"""
    return Group(
        name=name,
        members=tuple(
            Member(f"m{i}", f"127.9.{i}.1:5432", f"z{i}", f"m{i}" in leaving)
            for i in range(1, members + 1)
        ),
        connection_limit=limit,
        slots=5,
        access=tuple(
            TenantAccess(tenant, "d", "u", "s", budget)
            for tenant, budget in (budgets or {"t": 30}).items()
        ),
        admin_secret="a",
        promotion=promotion,
    )


def a_declaration(*groups: Group, staleness: int = 0) -> Declaration:
    """Return a declaration with one tenant and the groups."""
    tenant = Tenant("t", (User("u", "SCRAM-SHA-256$4096:c2FsdA==$x:y"),), staleness)
    return Declaration(tenants=(tenant,), groups=groups)


def a_proxy(name: str, zone: str = "z1", incarnation: int = 1, folder_id: str = "") -> ProxyRecord:
    """Return a serving proxy."""
    return ProxyRecord(name, incarnation, "127.9.9.9:1", zone, ProxyState.SERVING, folder_id)


class StateUnderTest:
    """A control state to which entries are applied at consecutive indexes."""

    def __init__(self) -> None:
        self.state = ControlState()
        self.index = 0

    def apply(self, entry: object) -> ApplyResult:
        """Apply an entry at the next index."""
        self.index += 1
        return self.state.apply(self.index, entry)

    def plan(
        self, declaration: Declaration, request_id: str, operator: str = "anna", now: int = 1_000
    ) -> object:
        """Record a plan on the current revision; return the answer."""
        state = self.state
        change = state.declared.change_to(declaration)
        entry = RecordPlan(
            request_id=request_id,
            operator=operator,
            plan_id=plan_id_of(state.revision, change),
            base_revision=state.revision,
            change=change,
            changes=describe_change(change, state.declared, state.primaries),
            recorded_at=now,
            expires_at=now + PLAN_LIFETIME_S,
        )
        return self.apply(entry).answer

    def confirm(
        self, plan_id: str, request_id: str, operator: str = "anna", now: int = 1_010
    ) -> object:
        """Confirm a plan; return the answer."""
        return self.apply(ConfirmPlan(request_id, operator, plan_id, now)).answer

    def bring_into_force(self, declaration: Declaration, number: int = 0) -> object:
        """Plan and confirm a declaration."""
        plan = self.plan(declaration, f"plan-{number}-{self.index}")
        return self.confirm(plan.plan_id, f"confirm-{number}-{self.index}")

    def restart(self) -> None:
        """Reload the state from a snapshot, as a restarted controller does."""
        self.state = ControlState.from_bytes(self.state.to_bytes())
