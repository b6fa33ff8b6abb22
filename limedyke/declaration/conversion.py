"""The checked items of the operators' YAML, turned into a ``Declaration``."""

from __future__ import annotations

from limedyke.declaration.models import AccessModel, GroupModel, TenantModel
from limedyke.declaration.source_locations import LocatedItem
from limedyke.messages.declaration import (
    Declaration,
    Group,
    Member,
    Priority,
    ProxyIntent,
    Tenant,
    TenantAccess,
    TokenKey,
    User,
)


def build_declaration(items: dict[str, list[LocatedItem]]) -> Declaration:
    """Return the checked items as a declaration, in the order of their names."""
    tenants = [_tenant(located.item) for located in items["tenants"]]
    groups = [_group(located.item) for located in items["groups"]]
    keys = [TokenKey(located.item.key_id, located.item.secret) for located in items["token_keys"]]
    proxies = [
        ProxyIntent(located.item.name, located.item.draining) for located in items["proxies"]
    ]
    return Declaration(
        tenants=tuple(sorted(tenants, key=lambda tenant: tenant.name)),
        groups=tuple(sorted(groups, key=lambda group: group.name)),
        token_keys=tuple(sorted(keys, key=lambda key: key.key_id)),
        proxies=tuple(sorted(proxies, key=lambda intent: intent.name)),
    )


def _tenant(model: TenantModel) -> Tenant:
    return Tenant(
        name=model.name,
        users=tuple(User(user.name, user.verifier) for user in model.users),
        max_staleness_ms=model.max_staleness_ms,
        client_limit=model.client_limit,
        priority=Priority[model.priority.upper()],
        operations_per_minute=model.operations_per_minute,
        operation_burst=model.operation_burst,
        operation_urgent_percent=model.operation_urgent_percent,
        operation_wait_ms=model.operation_wait_ms,
    )


def _group(model: GroupModel) -> Group:
    return Group(
        name=model.name,
        members=tuple(
            Member(member.name, member.address, member.zone, member.leaving)
            for member in model.members
        ),
        connection_limit=model.connection_limit,
        slots=model.slots,
        access=tuple(_tenant_access(access) for access in model.access),
        admin_secret=model.admin_secret,
        promotion=model.promotion,
    )


def _tenant_access(model: AccessModel) -> TenantAccess:
    return TenantAccess(
        tenant=model.tenant,
        database=model.database,
        backend_user=model.backend_user,
        secret=model.secret,
        connection_budget=model.connection_budget,
        weight=model.weight,
    )
