"""Home proxies of a group: rendezvous hashing over the serving proxies, spread over zones.

Proxies and controllers compute the same result from the same membership.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from functools import lru_cache

from limedyke.messages.control import ControlUpdate, ProxyRecord, ProxyState
from limedyke.messages.declaration import Group

_HASH_BYTES = 8
_HASH_MASK = 2 ** (8 * _HASH_BYTES) - 1
_CACHED_NAMES = 16_384
_FIRST_MULTIPLIER = 0xBF58476D1CE4E5B9
_SECOND_MULTIPLIER = 0x94D049BB133111EB
"""Multipliers of the splitmix64 generator; its mixing step makes the scores of two groups
independent."""

RANKING_COST = 4
"""Weighing one proxy for a group costs about as much as ranking this many. If an update changes a
larger share of all proxies, every group is ranked once instead."""

CONNECTIONS_PER_HOME = 6
"""Connections that a home proxy should have to a member. With fewer, statements wait at one proxy
while connections of another are idle. Above ``LEAST_HOMES`` a group gets only as many home proxies
as can have this many each."""
LEAST_HOMES = 3

ZoneHashes = Mapping[str, Mapping[str, int]]
"""Hashes of the serving proxies' names, by zone and name."""


@lru_cache(maxsize=_CACHED_NAMES)
def _name_hash(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


def _score(group_hash: int, proxy_hash: int) -> int:
    """Return the weight of a proxy for a group from the hashes of their names.

    Names are hashed once and pairs only mixed: with hundreds of proxies and thousands of groups, a
    cryptographic hash of each pair would block a process for seconds.
    """
    mixed = (group_hash ^ proxy_hash) * _FIRST_MULTIPLIER & _HASH_MASK
    return (mixed ^ (mixed >> 29)) * _SECOND_MULTIPLIER & _HASH_MASK


def home_score(group: str, proxy: str) -> int:
    """Return the weight of a proxy for a group; the highest weights become home proxies."""
    return _score(_name_hash(group), _name_hash(proxy))


def homes_wanted(count: int, connections: int) -> int:
    """Return the maximum number of home proxies of a group.

    :param count: home proxies wanted for each group
    :param connections: connections that each of the group's members accepts; 0 if unknown
    """
    if connections == 0:
        return count
    return min(count, max(LEAST_HOMES, connections // CONNECTIONS_PER_HOME))


def connection_limits(groups: Iterable[Group]) -> dict[str, int]:
    """Return the number of connections that the members of each group accept, by group name."""
    return {group.name: group.connection_limit for group in groups}


def home_proxies(group: str, proxies: Iterable[ProxyRecord], count: int) -> tuple[str, ...]:
    """Return the names of the group's home proxies, the heaviest first.

    The heaviest proxy of each zone comes first; if there are fewer zones than ``count``, the
    heaviest of the others follow.

    :param proxies: all known proxies; only serving ones are chosen
    :param count: home proxies wanted
    """
    zones: dict[str, dict[str, int]] = {}
    for proxy in proxies:
        if proxy.state is ProxyState.SERVING:
            zones.setdefault(proxy.zone, {})[proxy.name] = _name_hash(proxy.name)
    return _choose(group, zones, count)


def _choose(group: str, zones: ZoneHashes, count: int) -> tuple[str, ...]:
    """Return the names of the home proxies among the proxies of non-empty zones."""
    group_hash = _name_hash(group)
    if len(zones) >= count:
        leaders = [_heaviest(group_hash, hashes) for hashes in zones.values()]
        return _names(leaders, count)
    ranked = [
        sorted(((_score(group_hash, value), name) for name, value in hashes.items()), reverse=True)
        for hashes in zones.values()
    ]
    leaders = [scores[0] for scores in ranked]
    others = [score for scores in ranked for score in scores[1:]]
    return _names(leaders, count) + _names(others, count - len(leaders))


def _heaviest(group_hash: int, hashes: Mapping[str, int]) -> tuple[int, str]:
    """Return score and name of the heaviest proxy of a zone.

    This repeats ``_score`` inline: the loop runs for each pair of group and proxy, and the call
    alone would double its time.
    """
    mixed = [(group_hash ^ value) * _FIRST_MULTIPLIER & _HASH_MASK for value in hashes.values()]
    scores = [(value ^ (value >> 29)) * _SECOND_MULTIPLIER & _HASH_MASK for value in mixed]
    return max(zip(scores, hashes, strict=True))


def _names(scores: list[tuple[int, str]], count: int) -> tuple[str, ...]:
    return tuple(name for _, name in sorted(scores, reverse=True)[:count])


class HomeDirectory:
    """The home proxies of many groups, updated incrementally.

    A joining proxy is compared only with each group's present home proxies; a leaving one requires
    a new ranking only of its own groups.
    """

    def __init__(self, count: int) -> None:
        self._count = count
        self._proxies: dict[str, ProxyRecord] = {}
        self._zones: dict[str, dict[str, int]] = {}
        self._homes: dict[str, tuple[str, ...]] = {}
        self._lightest: dict[str, int] = {}
        self._connections: dict[str, int] = {}

    @classmethod
    def of(
        cls, count: int, proxies: Iterable[ProxyRecord], groups: Mapping[str, int]
    ) -> HomeDirectory:
        """Return the directory of a complete state.

        Every group is weighed against every proxy: 0.6 s of processor time for 1,800 groups and
        850 proxies, longer than the time after which a leader's heartbeats count as missing.

        :param groups: connections that the members of each group accept, by group name
        """
        directory = cls(count)
        for proxy in proxies:
            directory.put_proxy(proxy)
        for group, connections in groups.items():
            directory.add_group(group, connections)
        return directory

    @property
    def count(self) -> int:
        """Home proxies wanted for each group."""
        return self._count

    def homes(self, group: str) -> tuple[str, ...]:
        """Return the home proxies of a group, or nothing for an unknown group."""
        return self._homes.get(group, ())

    def snapshot(self) -> Mapping[str, tuple[str, ...]]:
        """Return a copy of the home proxies by group."""
        return dict(self._homes)

    def apply(self, update: ControlUpdate) -> set[str]:
        """Apply a change of the control state; return the groups whose home proxies changed."""
        changed: set[str] = set()
        if update.home_proxies_per_group is not None:
            changed |= self.set_count(update.home_proxies_per_group)
        for name in update.removed_groups:
            self.remove_group(name)
        changed |= self._change_proxies(update.removed_proxies, update.proxies)
        for group in update.groups:
            if self.add_group(group.name, group.connection_limit):
                changed.add(group.name)
        return changed.intersection(self._homes)

    def _change_proxies(self, removed: tuple[str, ...], put: tuple[ProxyRecord, ...]) -> set[str]:
        """Remove and add proxies; return the groups whose home proxies changed."""
        if (len(removed) + len(put)) * RANKING_COST > len(self._proxies):
            moved = [self._forget(name) for name in removed] + [self._note(p) for p in put]
            return self._rank(list(self._homes)) if any(moved) else set()
        changed: set[str] = set()
        for name in removed:
            changed |= self.remove_proxy(name)
        for proxy in put:
            changed |= self.put_proxy(proxy)
        return changed

    def set_count(self, count: int) -> set[str]:
        """Change how many home proxies are wanted; return the groups that changed."""
        if count == self._count:
            return set()
        self._count = count
        return self._rank(list(self._homes))

    def add_group(self, group: str, connections: int = 0) -> bool:
        """Add a group, or update its connection limit.

        :returns: whether the home proxies of an already known group changed
        """
        before = self._homes.get(group)
        if before is not None and self._connections[group] == connections:
            return False
        self._connections[group] = connections
        homes = _choose(group, self._zones, self._wanted(group))
        self._set_homes(group, homes)
        return before is not None and homes != before

    def _wanted(self, group: str) -> int:
        return homes_wanted(self._count, self._connections[group])

    def remove_group(self, group: str) -> None:
        """Remove a group."""
        self._homes.pop(group, None)
        self._lightest.pop(group, None)
        self._connections.pop(group, None)

    def put_proxy(self, proxy: ProxyRecord) -> set[str]:
        """Add or replace a proxy; return the groups whose home proxies changed."""
        known = self._proxies.get(proxy.name)
        if known is not None and known.zone == proxy.zone and known.state is proxy.state:
            self._proxies[proxy.name] = proxy
            return set()
        changed = self.remove_proxy(proxy.name)
        return changed | self._weigh(proxy) if self._note(proxy) else changed

    def remove_proxy(self, name: str) -> set[str]:
        """Remove a proxy; return the groups whose home proxies changed."""
        if not self._forget(name):
            return set()
        return self._rank([group for group, homes in self._homes.items() if name in homes])

    def _note(self, proxy: ProxyRecord) -> bool:
        """Store a record without updating groups; return whether home proxies may change."""
        known = self._proxies.get(proxy.name)
        if known is not None and known.zone == proxy.zone and known.state is proxy.state:
            self._proxies[proxy.name] = proxy
            return False
        left = self._forget(proxy.name)
        self._proxies[proxy.name] = proxy
        if proxy.state is not ProxyState.SERVING:
            return left
        self._zones.setdefault(proxy.zone, {})[proxy.name] = _name_hash(proxy.name)
        return True

    def _forget(self, name: str) -> bool:
        """Remove a record without updating groups; return whether home proxies may change."""
        proxy = self._proxies.pop(name, None)
        if proxy is None or proxy.state is not ProxyState.SERVING:
            return False
        hashes = self._zones[proxy.zone]
        del hashes[name]
        if not hashes:
            del self._zones[proxy.zone]
        return True

    def _rank(self, groups: list[str]) -> set[str]:
        changed = set()
        for group in groups:
            homes = _choose(group, self._zones, self._wanted(group))
            if homes != self._homes[group]:
                self._set_homes(group, homes)
                changed.add(group)
        return changed

    def _weigh(self, proxy: ProxyRecord) -> set[str]:
        changed = set()
        proxy_hash = _name_hash(proxy.name)
        for group, homes in self._homes.items():
            if self._is_outweighed(group, homes, proxy, proxy_hash):
                continue
            candidates = [self._proxies[name] for name in homes]
            chosen = home_proxies(group, [*candidates, proxy], self._wanted(group))
            if chosen != homes:
                self._set_homes(group, chosen)
                changed.add(group)
        return changed

    def _is_outweighed(
        self, group: str, homes: tuple[str, ...], proxy: ProxyRecord, proxy_hash: int
    ) -> bool:
        """Tell whether a joining proxy is lighter than all of a group's full set of home proxies.

        It may still be chosen for its zone if two home proxies share a zone.
        """
        if len(homes) < self._wanted(group):
            return False
        if _score(_name_hash(group), proxy_hash) >= self._lightest[group]:
            return False
        zones = {self._proxies[name].zone for name in homes}
        return len(zones) == len(homes) or proxy.zone in zones

    def _set_homes(self, group: str, homes: tuple[str, ...]) -> None:
        self._homes[group] = homes
        self._lightest[group] = min((home_score(group, name) for name in homes), default=0)


def budget_share(budget: int, homes: tuple[str, ...], proxy: str) -> int:
    """Return a home proxy's equal share of a budget; the heaviest ones get the remainder.

    :param homes: the group's home proxies, the heaviest first
    """
    if proxy not in homes:
        return 0
    share, remainder = divmod(budget, len(homes))
    return share + (homes.index(proxy) < remainder)
