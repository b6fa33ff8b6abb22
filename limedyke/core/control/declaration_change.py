"""Computes the difference between two declarations, and applies it."""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Iterable, Mapping

import ormsgpack

from limedyke.messages.codec import encode
from limedyke.messages.control_entries import DeclarationChange
from limedyke.messages.databases import Database
from limedyke.messages.declaration import Declaration, Group, ProxyIntent, Tenant, TokenKey

PLAN_ID_PREFIX = "p"
"""Prevents a shell or command line from parsing an id as a number, such as ``12e4``."""
PLAN_ID_DIGITS = 16


class DeclaredState:
    """A declaration as mappings by name."""

    def __init__(self, declaration: Declaration) -> None:
        self.tenants: dict[str, Tenant] = {tenant.name: tenant for tenant in declaration.tenants}
        self.groups: dict[str, Group] = {group.name: group for group in declaration.groups}
        self.token_keys: tuple[TokenKey, ...] = declaration.token_keys
        self.proxies: tuple[ProxyIntent, ...] = declaration.proxies
        self.databases: dict[str, Database] = {item.name: item for item in declaration.databases}
        self.session_limits = declaration.session_limits

    def declaration(self) -> Declaration:
        """Return the declaration, items in the order of their names."""
        return Declaration(
            tenants=_sorted(self.tenants),
            groups=_sorted(self.groups),
            token_keys=self.token_keys,
            proxies=self.proxies,
            databases=_sorted(self.databases),
            session_limits=self.session_limits,
        )

    def apply(self, change: DeclarationChange) -> None:
        """Apply a change."""
        for name in change.removed_tenants:
            self.tenants.pop(name, None)
        for name in change.removed_groups:
            self.groups.pop(name, None)
        self.tenants.update((tenant.name, tenant) for tenant in change.tenants)
        self.groups.update((group.name, group) for group in change.groups)
        if change.token_keys is not None:
            self.token_keys = change.token_keys
        if change.proxies is not None:
            self.proxies = change.proxies
        for name in change.removed_databases:
            self.databases.pop(name, None)
        self.databases.update((database.name, database) for database in change.databases)
        if change.session_limits is not None:
            self.session_limits = change.session_limits

    def with_caps(self, wanted: Declaration) -> Declaration:
        """Return ``wanted``, with the present member caps for groups that declare none."""
        groups = tuple(
            dataclasses.replace(group, member_caps=self.groups[group.name].member_caps)
            if group.name in self.groups and not group.member_caps
            else group
            for group in wanted.groups
        )
        return dataclasses.replace(wanted, groups=groups)

    def change_to(self, wanted: Declaration) -> DeclarationChange:
        """Return the change that turns this state into ``wanted``."""
        tenants, removed_tenants = _difference(self.tenants, wanted.tenants)
        groups, removed_groups = _difference(self.groups, wanted.groups)
        databases, removed_databases = _difference(self.databases, wanted.databases)
        limits = wanted.session_limits
        return DeclarationChange(
            tenants=tenants,
            removed_tenants=removed_tenants,
            groups=groups,
            removed_groups=removed_groups,
            token_keys=None if wanted.token_keys == self.token_keys else wanted.token_keys,
            proxies=None if wanted.proxies == self.proxies else wanted.proxies,
            databases=databases,
            removed_databases=removed_databases,
            session_limits=None if limits == self.session_limits else limits,
        )


def _sorted(items: Mapping) -> tuple:
    return tuple(items[name] for name in sorted(items))


def _difference(present: Mapping, wanted: Iterable) -> tuple[tuple, tuple[str, ...]]:
    """Return the items that are new or different, and the names that are gone."""
    wanted_by_name = {item.name: item for item in wanted}
    changed = [
        wanted_by_name[name]
        for name in sorted(wanted_by_name)
        if present.get(name) != wanted_by_name[name]
    ]
    removed = sorted(name for name in present if name not in wanted_by_name)
    return tuple(changed), tuple(removed)


def is_empty(change: DeclarationChange) -> bool:
    """Return whether a change has no effect."""
    return change == DeclarationChange()


def plan_id_of(base_revision: int, change: DeclarationChange) -> str:
    """Return the id of a plan: a digest of its base revision and content."""
    digest = hashlib.sha256(ormsgpack.packb(base_revision) + encode(change))
    return PLAN_ID_PREFIX + digest.hexdigest()[:PLAN_ID_DIGITS]
