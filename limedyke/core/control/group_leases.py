"""Connection leases of one group: shares of each tenant's budget among its home proxies.

Where members announce themselves, a part of each budget is shared equally and holds at every
member, and the rest is divided at each member by demand, so that connections are where work is.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Set
from dataclasses import dataclass

from limedyke.core.control.leases.demand_division import DemandDivision
from limedyke.core.home import budget_share
from limedyke.core.member_caps import common_part, divided_part, holds_common
from limedyke.messages.control import (
    MEMBER_SEPARATOR,
    ConnectionDemand,
    ConnectionLease,
    member_budget,
    member_of_budget,
)
from limedyke.messages.declaration import Group

PROBE_TENANT = ""
"""Stands for the tenant in leases of connections for probes."""
PROBE_CONNECTIONS_PER_HOME = 2


@dataclass(slots=True)
class Share:
    """One holder's share of one budget.

    :param granted: what the holder was last told it may hold
    :param holding: upper bound of what it may still hold; at least ``granted``
    """

    granted: int = 0
    holding: int = 0

    @property
    def is_shrinking(self) -> bool:
        """Whether the holder has not yet given back what was taken from it."""
        return self.holding > self.granted


@dataclass(frozen=True, slots=True)
class LeaseChange:
    """A lease to be told to its holder."""

    proxy: str
    lease: ConnectionLease


class GroupLeases:
    """The leases of one group; the sum of holdings never grows beyond a budget or the limit.

    :param tellers: proxies that tell their demand, kept by the caller: others would not understand
        a lease of connections to one member, and get none
    """

    def __init__(self, name: str, tellers: Set[str] = frozenset()) -> None:
        self.name = name
        self._tellers = tellers
        self.homes: tuple[str, ...] = ()
        self._limit = 0
        self._budgets: dict[str, int] = {}
        self._whole: dict[str, int] = {}
        self._divided: list[str] = []
        self._declared: Group | None = None
        self._members: tuple[str, ...] = ()
        self._divisions: dict[str, DemandDivision] = {}
        self._demands: dict[str, dict[str, ConnectionDemand]] = {}
        self._shares: dict[str, dict[str, Share]] = {}

    def set_limits(self, group: Group, home_count: int) -> None:
        """Take the declared limits; probes get what is left, up to two for each home proxy."""
        self._limit = group.connection_limit
        whole = {access.tenant: access.connection_budget for access in group.access}
        self._whole = whole
        left = self._limit - sum(whole.values())
        common = {tenant: common_part(budget, group) for tenant, budget in whole.items()}
        self._divided = [tenant for tenant in whole if whole[tenant] > common[tenant]]
        self._declared = group
        self._budgets = common
        self._budgets[PROBE_TENANT] = max(0, min(left, PROBE_CONNECTIONS_PER_HOME * home_count))
        self._divide_anew()

    def set_members(self, members: Iterable[str]) -> bool:
        """Take the announced members; tell whether they changed."""
        known = tuple(sorted(members))
        if known == self._members:
            return False
        self._members = known
        self._divide_anew()
        return True

    def set_homes(self, homes: tuple[str, ...]) -> None:
        """Take the present home proxies."""
        self.homes = homes
        self._divide_anew()

    def take_demand(self, proxy: str, demand: ConnectionDemand) -> None:
        """Take a home proxy's demand at a member; ``divide`` follows it."""
        self._demands.setdefault(proxy, {})[demand.member] = demand

    def divide(self) -> bool:
        """Divide at each member by the demands told so far; tell whether shares are to change."""
        return any([self._divide_at(member) for member in self._members])

    def tellers_changed(self, proxy: str) -> bool:
        """Forget what a proxy told, as it begins to tell its demand, or tells it no more.

        :returns: whether it concerns this group
        """
        self._demands.pop(proxy, None)
        if proxy not in self.homes or not self._divided:
            return False
        self._divide_anew()
        return True

    def demand_of(self, proxy: str, member: str) -> ConnectionDemand | None:
        """Return the demand that a proxy told last; None when it tells none."""
        if proxy not in self._tellers:
            return None
        none = ConnectionDemand(self.name, member, 0)
        return self._demands.get(proxy, {}).get(member, none)

    @property
    def limit(self) -> int:
        """Connections that each member takes from all proxies together."""
        return self._limit

    def share_at(self, proxy: str, member: str) -> Share:
        """Return what a proxy was granted of a member's connections, over all budgets."""
        total = Share()
        budgets = {member}
        if self._declared is None or holds_common(self._declared, member):
            budgets.add("")
        for tenant, shares in self._shares.items():
            if proxy in shares and member_of_budget(tenant) in budgets:
                total.granted += shares[proxy].granted
                total.holding += shares[proxy].holding
        return total

    def holders(self) -> set[str]:
        """Return the proxies that may hold connections, or should."""
        return {proxy for shares in self._shares.values() for proxy in shares} | set(self.homes)

    def _divide_anew(self) -> None:
        """Divide at each member; forget the divisions at members that are gone."""
        wanted = {member_budget(tenant, m) for tenant in self._divided for m in self._members}
        self._divisions = {key: d for key, d in self._divisions.items() if key in wanted}
        self.divide()

    def _divide_at(self, member: str) -> bool:
        if self._declared is None:
            return False
        demands = {
            proxy: told.connections
            for proxy in self.homes
            if (told := self.demand_of(proxy, member)) is not None
        }
        is_changed = False
        is_common = holds_common(self._declared, member)
        for tenant in self._divided:
            division = self._divisions.setdefault(member_budget(tenant, member), DemandDivision())
            common = {proxy: is_common * self._wanted(tenant, proxy) for proxy in demands}
            is_changed |= division.update(self._divided_at(tenant, member), demands, common)
        return is_changed

    def _divided_at(self, tenant: str, member: str) -> int:
        """Return how much of a tenant's budget is divided at a member.

        One connection at least for each home proxy, however low the cap: without any it could not
        serve what needs that member.
        """
        part = divided_part(self._whole[tenant], self._declared, member)
        if holds_common(self._declared, member):
            return part
        return max(part, sum(proxy in self._tellers for proxy in self.homes))

    def clear_limits(self) -> None:
        """Take everything back: the group is declared no longer."""
        self._limit = 0
        self._budgets = {}
        self._whole = {}
        self._divided = []
        self.set_homes(())

    @property
    def is_forgettable(self) -> bool:
        """Whether the group is declared no longer and nobody holds anything."""
        return self._limit == 0 and not any(self._shares.values())

    def held(self) -> int:
        """Return the connections that may be open to a member, over all holders, at the most."""
        held = self._held_by_member()
        return held.pop("", 0) + max(held.values(), default=0)

    def _held_by_member(self) -> Counter[str]:
        """Return the connections held at one member alone, by member, and at each one under ''."""
        held: Counter[str] = Counter()
        for tenant, shares in self._shares.items():
            held[member_of_budget(tenant)] += sum(share.holding for share in shares.values())
        return held

    def held_of(self, tenant: str) -> int:
        """Return the connections that may be open for one budget."""
        return sum(share.holding for share in self._shares.get(tenant, {}).values())

    def holdings(self) -> list[tuple[str, str, int]]:
        """Return (proxy, tenant, holding) of every share."""
        return [
            (proxy, tenant, share.holding)
            for tenant, shares in self._shares.items()
            for proxy, share in shares.items()
        ]

    def adopt(self, proxy: str, tenant: str, connections: int) -> None:
        """Take a holder's own report as what it holds and may hold."""
        self._shares.setdefault(tenant, {})[proxy] = Share(connections, connections)

    def returned(self, proxy: str, tenant: str, connections: int) -> None:
        """Note that a holder gave back what was taken from it, or part of it."""
        share = self._shares.get(tenant, {}).get(proxy)
        if share is None:
            return
        share.holding = min(share.holding, max(connections, share.granted))
        if share.holding == 0:
            del self._shares[tenant][proxy]

    def drop(self, proxy: str) -> None:
        """Forget what a proxy holds: its leases have run out or its process has ended."""
        for shares in self._shares.values():
            shares.pop(proxy, None)

    def shrink(self, reachable: set[str]) -> list[LeaseChange]:
        """Take back what is above the wanted shares."""
        changes = []
        for tenant, shares in self._shares.items():
            for proxy, share in shares.items():
                wanted = self._wanted(tenant, proxy)
                if proxy in reachable and share.granted > wanted and not share.is_shrinking:
                    share.granted = wanted
                    changes.append(self._change(proxy, tenant, wanted))
        return changes

    def grow(self, reachable: set[str]) -> list[LeaseChange]:
        """Grant free connections to home proxies that have less than their share.

        Each first gets one of each budget, so that nobody is left with nothing while little
        is free.
        """
        changes: dict[tuple[str, str], LeaseChange] = {}
        group_free = self._limit - self.held()
        for most in (1, self._limit):
            for tenant, budget in self._budgets.items():
                free = min(budget - self.held_of(tenant), self._free_of(tenant), group_free)
                for proxy in self.homes:
                    if free <= 0:
                        break
                    if proxy not in reachable:
                        continue
                    granted = self._grow_share(tenant, proxy, free, most)
                    if granted:
                        free -= granted
                        group_free -= granted
                        share = self._shares[tenant][proxy]
                        changes[(proxy, tenant)] = self._change(proxy, tenant, share.granted)
        self._grow_divided(reachable, changes)
        return list(changes.values())

    def _free_of(self, tenant: str) -> int:
        """Return how much of a tenant's whole budget is free at the member where least is."""
        if tenant not in self._divided:
            return self._limit
        most = max(
            (
                self.held_of(key)
                for key in self._shares
                if key.startswith(f"{tenant}{MEMBER_SEPARATOR}")
            ),
            default=0,
        )
        return self._whole[tenant] - self.held_of(tenant) - most

    def _grow_divided(
        self, reachable: set[str], changes: dict[tuple[str, str], LeaseChange]
    ) -> None:
        """Grant what is free of the parts that are divided by demand."""
        if not self._divisions:
            return
        held = self._held_by_member()
        for key, division in self._divisions.items():
            tenant, _, member = key.partition(MEMBER_SEPARATOR)
            group_free = self._limit - held[""] - held[member]
            free = min(self._divided_at(tenant, member) - self.held_of(key), group_free)
            free = min(free, self._whole[tenant] - self.held_of(tenant) - self.held_of(key))
            for proxy in division.shares:
                if free <= 0:
                    break
                if proxy not in reachable:
                    continue
                granted = self._grow_share(key, proxy, free, self._limit)
                if granted:
                    free -= granted
                    held[member] += granted
                    share = self._shares[key][proxy]
                    changes[(proxy, key)] = self._change(proxy, key, share.granted)

    def _grow_share(self, tenant: str, proxy: str, free: int, most: int) -> int:
        """Grant what is missing to a share, up to ``most`` in all; return how much it is."""
        shares = self._shares.setdefault(tenant, {})
        share = shares.get(proxy) or Share()
        missing = min(most, self._wanted(tenant, proxy)) - share.granted
        if missing <= 0 or share.is_shrinking:
            return 0
        more = min(missing, free)
        share.granted += more
        share.holding = share.granted
        shares[proxy] = share
        return more

    def _wanted(self, tenant: str, proxy: str) -> int:
        if tenant == PROBE_TENANT:
            return 1 if proxy in self.homes and self._budgets.get(PROBE_TENANT, 0) else 0
        if MEMBER_SEPARATOR in tenant:
            division = self._divisions.get(tenant)
            return division.shares.get(proxy, 0) if division is not None else 0
        return budget_share(self._budgets.get(tenant, 0), self.homes, proxy)

    def _change(self, proxy: str, tenant: str, connections: int) -> LeaseChange:
        return LeaseChange(proxy, ConnectionLease(self.name, tenant, connections))
