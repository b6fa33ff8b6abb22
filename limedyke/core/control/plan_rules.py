"""Describes the effects of a change of the declaration, and refuses invalid changes."""

from __future__ import annotations

from collections.abc import Mapping

from limedyke.core.control.declaration_change import DeclaredState
from limedyke.messages.control import GroupPrimary
from limedyke.messages.control_entries import DeclarationChange
from limedyke.messages.declaration import Group, Tenant
from limedyke.messages.operator import PlannedChange

ADD = "add"
CHANGE = "change"
REMOVE = "remove"
_TENANT_NUMBERS = (
    "max_staleness_ms",
    "client_limit",
    "priority",
    "operations_per_minute",
    "operation_burst",
    "operation_urgent_percent",
    "operation_wait_ms",
)


def change_refusal_reason(
    change: DeclarationChange, declared: DeclaredState, primaries: Mapping[str, GroupPrimary]
) -> str:
    """Return why a change cannot be applied now, or an empty string.

    The primary of a group cannot be removed, and its address cannot be changed.
    """
    for group in change.groups:
        if group.member_caps and not group.announced:
            return (
                f"The members of group {group.name} are declared: lower its connection_limit or "
                "its slots; single members can be capped only where they announce themselves."
            )
        present = declared.groups.get(group.name)
        recorded = primaries.get(group.name)
        if present is None or recorded is None or not recorded.primary:
            continue
        if _address_of(group, recorded.primary) != _address_of(present, recorded.primary):
            return (
                f"Member {recorded.primary} of group {group.name} is the primary; "
                "declare it leaving first, so that another one takes over."
            )
    return ""


def describe_change(
    change: DeclarationChange, declared: DeclaredState, primaries: Mapping[str, GroupPrimary]
) -> tuple[PlannedChange, ...]:
    """Return one line for each item of a change, with its effects."""
    lines = [_describe_tenant(tenant, declared) for tenant in change.tenants]
    lines += [
        PlannedChange(REMOVE, f"tenant {name}", "", "its clients are disconnected")
        for name in change.removed_tenants
    ]
    lines += [_describe_group(group, declared, primaries) for group in change.groups]
    lines += [_describe_removed_group(declared.groups[name]) for name in change.removed_groups]
    lines += _describe_token_keys(change, declared)
    lines += _describe_intents(change, declared)
    return tuple(lines)


def _address_of(group: Group, member: str) -> str:
    return next((found.address for found in group.members if found.name == member), "")


def _describe_tenant(tenant: Tenant, declared: DeclaredState) -> PlannedChange:
    present = declared.tenants.get(tenant.name)
    item = f"tenant {tenant.name}"
    if present is None:
        detail = f"{len(tenant.users)} users, staleness {tenant.max_staleness_ms} ms"
        return PlannedChange(ADD, item, detail, "logins are accepted")
    details = []
    effects = []
    removed_users = {user.name for user in present.users} - {user.name for user in tenant.users}
    if present.users != tenant.users:
        details.append(f"users {len(present.users)} -> {len(tenant.users)}")
        effects.append("new logins are checked against the new users")
    if removed_users:
        effects.append(f"clients of {', '.join(sorted(removed_users))} are disconnected")
    for name in _TENANT_NUMBERS:
        before, after = getattr(present, name), getattr(tenant, name)
        if before != after:
            details.append(f"{name} {int(before)} -> {int(after)}")
    if tenant.client_limit < present.client_limit:
        effects.append("clients above the new limit stay; new ones are refused")
    if 0 < tenant.operations_per_minute != present.operations_per_minute:
        effects.append("operations above the new limit are refused")
    return PlannedChange(CHANGE, item, "; ".join(details), "; ".join(effects))


def _describe_group(
    group: Group, declared: DeclaredState, primaries: Mapping[str, GroupPrimary]
) -> PlannedChange:
    present = declared.groups.get(group.name)
    item = f"group {group.name}"
    if present is None:
        detail = (
            f"{len(group.members)} members, {group.connection_limit} connections, "
            f"{group.slots} slots"
        )
        return PlannedChange(ADD, item, detail, "home proxies connect to its members")
    details: list[str] = []
    effects: list[str] = []
    recorded = primaries.get(group.name)
    _compare_members(present, group, recorded.primary if recorded else "", details, effects)
    _compare_limits(present, group, details, effects)
    _compare_access(present, group, details, effects)
    return PlannedChange(CHANGE, item, "; ".join(details), "; ".join(effects))


def _compare_members(
    before: Group, after: Group, primary: str, details: list[str], effects: list[str]
) -> None:
    old = {member.name: member for member in before.members}
    new = {member.name: member for member in after.members}
    for name in sorted(new.keys() - old.keys()):
        details.append(f"member {name} added")
    for name in sorted(old.keys() - new.keys()):
        details.append(f"member {name} removed")
        effects.append(f"connections to {name} are closed")
    for name in sorted(new.keys() & old.keys()):
        if old[name].address != new[name].address:
            details.append(f"member {name} at {new[name].address}")
            effects.append(f"connections to {name} are closed and opened at the new address")
        if new[name].leaving and not old[name].leaving:
            details.append(f"member {name} leaving")
            effects.append(f"{name} gets no new work; its connections are closed when idle")
            if name == primary:
                effects.append(f"the primary moves from {name} to another member")
        if old[name].leaving and not new[name].leaving:
            details.append(f"member {name} back in service")


def _compare_limits(before: Group, after: Group, details: list[str], effects: list[str]) -> None:
    for name in ("connection_limit", "slots"):
        old, new = getattr(before, name), getattr(after, name)
        if old != new:
            details.append(f"{name} {old} -> {new}")
    if after.connection_limit < before.connection_limit:
        surplus = before.connection_limit - after.connection_limit
        effects.append(f"up to {surplus} connections a member are closed when idle")
    _compare_caps(before, after, details, effects)
    if before.promotion != after.promotion:
        details.append(f"promotion {before.promotion} -> {after.promotion}")
    if before.admin_secret != after.admin_secret:
        details.append("admin_secret changed")
        effects.append("probe connections are opened anew")


def _compare_caps(before: Group, after: Group, details: list[str], effects: list[str]) -> None:
    old = {cap.member: cap.connections for cap in before.member_caps}
    new = {cap.member: cap.connections for cap in after.member_caps}
    for name in sorted(new):
        if new[name] != old.get(name):
            details.append(f"at most {new[name]} connections to {name}")
            effects.append(
                f"connections to {name} above that are closed when idle; each home proxy keeps one"
            )
    for name in sorted(old.keys() - new.keys()):
        details.append(f"connections to {name} bounded by the group's limit only")


def _compare_access(before: Group, after: Group, details: list[str], effects: list[str]) -> None:
    old = {access.tenant: access for access in before.access}
    new = {access.tenant: access for access in after.access}
    for name in sorted(new.keys() - old.keys()):
        details.append(f"access of {name}: {new[name].connection_budget} connections")
    for name in sorted(old.keys() - new.keys()):
        details.append(f"access of {name} removed")
        effects.append(f"clients of {name} on this group are disconnected")
    for name in sorted(new.keys() & old.keys()):
        was, will = old[name], new[name]
        if was == will:
            continue
        details.append(
            f"access of {name}: budget {was.connection_budget} -> {will.connection_budget}, "
            f"weight {was.weight} -> {will.weight}"
        )
        if will.connection_budget < was.connection_budget:
            surplus = was.connection_budget - will.connection_budget
            effects.append(f"up to {surplus} connections of {name} a member are closed when idle")
        login_before = (was.database, was.backend_user, was.secret)
        if login_before != (will.database, will.backend_user, will.secret):
            effects.append(f"connections of {name} are opened anew")


def _describe_removed_group(group: Group) -> PlannedChange:
    tenants = ", ".join(access.tenant for access in group.access) or "no tenant"
    effect = f"connections to {len(group.members)} members are closed; clients of {tenants} are cut"
    return PlannedChange(REMOVE, f"group {group.name}", "", effect)


def _describe_token_keys(change: DeclarationChange, declared: DeclaredState) -> list[PlannedChange]:
    if change.token_keys is None:
        return []
    before = {key.key_id for key in declared.token_keys}
    after = {key.key_id for key in change.token_keys}
    detail = f"key ids {sorted(before)} -> {sorted(after)}"
    retired = sorted(before - after)
    effect = f"session tokens of keys {retired} are refused" if retired else ""
    return [PlannedChange(CHANGE, "token keys", detail, effect)]


def _describe_intents(change: DeclarationChange, declared: DeclaredState) -> list[PlannedChange]:
    if change.proxies is None:
        return []
    before = {intent.name: intent.draining for intent in declared.proxies}
    after = {intent.name: intent.draining for intent in change.proxies}
    lines = []
    for name in sorted(before.keys() | after.keys()):
        was, will = before.get(name, False), after.get(name, False)
        if was == will:
            continue
        effect = "takes no new client, finishes open work and exits" if will else "serves again"
        lines.append(PlannedChange(CHANGE, f"proxy {name}", f"draining {will}", effect))
    return lines
