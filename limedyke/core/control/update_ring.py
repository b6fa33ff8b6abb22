"""Recent control updates, so that a reconnecting proxy gets an update, not a snapshot."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from limedyke.messages.control import ControlUpdate

MAXIMUM_UPDATES = 4_096


class UpdateRing:
    """A ring buffer of the newest updates, which merges those that a proxy has missed."""

    def __init__(self, maximum: int = MAXIMUM_UPDATES) -> None:
        self._maximum = maximum
        self._updates: deque[ControlUpdate] = deque()

    def add(self, update: ControlUpdate) -> None:
        """Add the newest update; a gap in the indexes drops all earlier updates."""
        if self._updates and self._updates[-1].control_index != update.base_index:
            self._updates.clear()
        self._updates.append(update)
        if len(self._updates) > self._maximum:
            self._updates.popleft()

    def clear(self) -> None:
        """Drop all updates."""
        self._updates.clear()

    def reaches_back_to(self, control_index: int) -> bool:
        """Return whether all updates since ``control_index`` are kept."""
        return bool(self._updates) and self._updates[0].base_index <= control_index

    def since(self, control_index: int) -> ControlUpdate | None:
        """Return all updates since ``control_index`` merged into one; None if it is too old."""
        missed: list[ControlUpdate] = []
        for update in reversed(self._updates):
            if update.control_index <= control_index:
                break
            missed.append(update)
        missed.reverse()
        if not missed or missed[0].base_index != control_index:
            return None
        return merge_updates(missed)


class _Items:
    """Merges items and removals of one kind; removals precede items, as in an update."""

    def __init__(self) -> None:
        self._items: dict[str, object] = {}
        self._removed: dict[str, None] = {}

    def take(self, items: Iterable, removed: Iterable[str]) -> None:
        """Merge the next update's removals, then its items."""
        for name in removed:
            self._items.pop(name, None)
            self._removed[name] = None
        for item in items:
            self._items[_key(item)] = item

    def items(self) -> tuple:
        """Return the items present after all updates."""
        return tuple(self._items.values())

    def removed(self) -> tuple[str, ...]:
        """Return all removed names, including those that a later update added again."""
        return tuple(self._removed)


def _key(item: object) -> str:
    name = getattr(item, "name", None) or getattr(item, "identity", None)
    return name or item.group


def merge_updates(updates: list[ControlUpdate]) -> ControlUpdate:
    """Merge consecutive updates into one with the same effect."""
    if len(updates) == 1:
        return updates[0]
    tenants, groups, primaries, proxies = _Items(), _Items(), _Items(), _Items()
    databases, announced = _Items(), _Items()
    token_keys = intents = home_proxies_per_group = session_limits = controllers = None
    for update in updates:
        tenants.take(update.tenants, update.removed_tenants)
        groups.take(update.groups, update.removed_groups)
        primaries.take(update.primaries, update.removed_groups)
        proxies.take(update.proxies, update.removed_proxies)
        token_keys = token_keys if update.token_keys is None else update.token_keys
        intents = intents if update.proxy_intents is None else update.proxy_intents
        if update.home_proxies_per_group is not None:
            home_proxies_per_group = update.home_proxies_per_group
        databases.take(update.databases, update.removed_databases)
        announced.take(update.announced, update.removed_announced)
        if update.session_limits is not None:
            session_limits = update.session_limits
        controllers = controllers if update.controllers is None else update.controllers
    return ControlUpdate(
        base_index=updates[0].base_index,
        control_index=updates[-1].control_index,
        revision=updates[-1].revision,
        tenants=tenants.items(),
        removed_tenants=tenants.removed(),
        groups=groups.items(),
        removed_groups=groups.removed(),
        token_keys=token_keys,
        primaries=primaries.items(),
        proxies=proxies.items(),
        removed_proxies=proxies.removed(),
        proxy_intents=intents,
        home_proxies_per_group=home_proxies_per_group,
        databases=databases.items(),
        removed_databases=databases.removed(),
        session_limits=session_limits,
        announced=announced.items(),
        removed_announced=announced.removed(),
        controllers=controllers,
    )
