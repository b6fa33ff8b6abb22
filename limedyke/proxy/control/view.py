"""The control state on a proxy: an immutable view, replaced at each update."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from limedyke.core.home import HomeDirectory, connection_limits
from limedyke.messages.control import ControlSnapshot, ControlUpdate, GroupPrimary, ProxyRecord
from limedyke.messages.databases import (
    NO_SESSION_LIMITS,
    AnnouncedMember,
    Database,
    SessionLimits,
)
from limedyke.messages.declaration import Declaration, Group, ProxyIntent, Tenant, TokenKey


@dataclass(frozen=True, slots=True)
class ControlView:
    """The control state at one index of the controllers' log.

    :param control_index: index in the controllers' log; only grows
    :param revision: revision of the declaration; only grows
    :param tenants: tenants by name
    :param groups: groups by name
    :param token_keys: session-token keys, as declared
    :param primaries: term and primary by group; a group without an entry has none known yet
    :param proxies: proxies by name
    :param intents: declared state of proxies by name
    :param homes: home proxies by group, in order of preference
    :param databases: databases by name
    :param announced: announced members by identity
    :param controllers: addresses of the controllers; empty when the log holds none
    """

    control_index: int
    revision: int
    tenants: Mapping[str, Tenant] = field(default_factory=dict)
    groups: Mapping[str, Group] = field(default_factory=dict)
    token_keys: tuple[TokenKey, ...] = ()
    primaries: Mapping[str, GroupPrimary] = field(default_factory=dict)
    proxies: Mapping[str, ProxyRecord] = field(default_factory=dict)
    intents: Mapping[str, ProxyIntent] = field(default_factory=dict)
    homes: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
    home_proxies_per_group: int = 3
    databases: Mapping[str, Database] = field(default_factory=dict)
    session_limits: SessionLimits = NO_SESSION_LIMITS
    announced: Mapping[str, AnnouncedMember] = field(default_factory=dict)
    controllers: tuple[str, ...] = ()

    def home_proxies(self, group: str) -> tuple[str, ...]:
        """Return the names of the group's home proxies, in order of preference."""
        return self.homes.get(group, ())

    def is_home(self, group: str, proxy: str) -> bool:
        """Return whether a proxy is a home proxy of a group."""
        return proxy in self.homes.get(group, ())

    def is_draining(self, proxy: str) -> bool:
        """Return whether the declaration asks a proxy to drain."""
        intent = self.intents.get(proxy)
        return intent is not None and intent.draining


class ControlViewBuilder:
    """Builds views from a snapshot and the updates that follow it."""

    def __init__(self) -> None:
        self.view: ControlView | None = None
        self._homes = HomeDirectory(count=0)

    def apply_snapshot(self, snapshot: ControlSnapshot) -> ControlView:
        """Replace the view by that of a snapshot."""
        declaration = snapshot.declaration
        limits = connection_limits(declaration.groups)
        count = snapshot.home_proxies_per_group
        self._homes = HomeDirectory.of(count, snapshot.proxies, limits)
        self.view = ControlView(
            control_index=snapshot.control_index,
            revision=snapshot.revision,
            tenants={tenant.name: tenant for tenant in declaration.tenants},
            groups={group.name: group for group in declaration.groups},
            token_keys=declaration.token_keys,
            primaries={primary.group: primary for primary in snapshot.primaries},
            proxies={proxy.name: proxy for proxy in snapshot.proxies},
            intents={intent.name: intent for intent in declaration.proxies},
            homes=self._homes.snapshot(),
            home_proxies_per_group=snapshot.home_proxies_per_group,
            databases={database.name: database for database in declaration.databases},
            session_limits=declaration.session_limits,
            announced={member.identity: member for member in snapshot.announced},
            controllers=snapshot.controllers,
        )
        return self.view

    def apply_update(self, update: ControlUpdate) -> ControlView | None:
        """Apply an update; return None if it is not based on the current view."""
        view = self.view
        if view is None or update.base_index != view.control_index:
            return None
        self._homes.apply(update)
        intents = view.intents
        if update.proxy_intents is not None:
            intents = {intent.name: intent for intent in update.proxy_intents}
        groups = _changed(view.groups, update.groups, update.removed_groups)
        primaries = dict(view.primaries)
        for name in update.removed_groups:
            primaries.pop(name, None)
        primaries.update((primary.group, primary) for primary in update.primaries)
        self.view = ControlView(
            control_index=update.control_index,
            revision=update.revision,
            tenants=_changed(view.tenants, update.tenants, update.removed_tenants),
            groups=groups,
            token_keys=view.token_keys if update.token_keys is None else update.token_keys,
            primaries=primaries,
            proxies=_changed(view.proxies, update.proxies, update.removed_proxies),
            intents=intents,
            homes=self._homes.snapshot(),
            home_proxies_per_group=self._homes.count,
            databases=_changed(view.databases, update.databases, update.removed_databases),
            session_limits=update.session_limits or view.session_limits,
            announced=_changed_members(view.announced, update),
            controllers=view.controllers if update.controllers is None else update.controllers,
        )
        return self.view


def snapshot_of(view: ControlView) -> ControlSnapshot:
    """Return the snapshot that corresponds to a view."""
    declaration = Declaration(
        tenants=tuple(view.tenants.values()),
        groups=tuple(view.groups.values()),
        token_keys=view.token_keys,
        proxies=tuple(view.intents.values()),
        databases=tuple(view.databases.values()),
        session_limits=view.session_limits,
    )
    return ControlSnapshot(
        control_index=view.control_index,
        revision=view.revision,
        declaration=declaration,
        primaries=tuple(view.primaries.values()),
        proxies=tuple(view.proxies.values()),
        home_proxies_per_group=view.home_proxies_per_group,
        announced=tuple(view.announced.values()),
        controllers=view.controllers,
    )


def _changed_members(
    members: Mapping[str, AnnouncedMember], update: ControlUpdate
) -> Mapping[str, AnnouncedMember]:
    """Return the announced members after an update."""
    if not update.announced and not update.removed_announced:
        return members
    result = dict(members)
    for identity in update.removed_announced:
        result.pop(identity, None)
    result.update((member.identity, member) for member in update.announced)
    return result


def _changed(items: Mapping, replaced: tuple, removed: tuple[str, ...]) -> Mapping:
    """Return ``items`` after dropping the removed names and inserting the replaced items."""
    if not replaced and not removed:
        return items
    result = dict(items)
    for name in removed:
        result.pop(name, None)
    result.update((item.name, item) for item in replaced)
    return result
