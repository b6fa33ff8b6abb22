"""Connection leases of one group: each tenant's budget, shared among the group's home proxies.

If members announce themselves, a common part of each budget is shared equally and applies to every
member. The rest is divided separately for each member in proportion to the proxies' demand.
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
"""Tenant name in leases of connections for probes."""
PROBE_CONNECTIONS_PER_HOME = 2


@dataclass(slots=True)
class Share:
    """One holder's share of one budget.

    :param granted: connections last granted to the holder
    :param holding: upper bound of the connections it may still hold; at least ``granted``
    """

    granted: int = 0
    holding: int = 0

    @property
    def is_shrinking(self) -> bool:
        """Whether the holder has yet to return connections that were revoked."""
        return self.holding > self.granted


@dataclass(frozen=True, slots=True)
class LeaseChange:
    """A changed lease to send to its holder."""

    proxy: str
    lease: ConnectionLease


class GroupLeases:
    """The leases of one group; the sum of holdings never grows beyond a budget or the limit.

    :param demand_reporters: proxies that report their demand, maintained by the caller; the others
        do not understand leases for a single member and get none
    """

    def __init__(self, name: str, demand_reporters: Set[str] = frozenset()) -> None:
        self.name = name
        self._demand_reporters = demand_reporters
        self.homes: tuple[str, ...] = ()
        self._limit = 0
        self._budgets: dict[str, int] = {}
        self._total_budgets: dict[str, int] = {}
        self._divided_tenants: list[str] = []
        self._declared: Group | None = None
        self._members: tuple[str, ...] = ()
        self._divisions: dict[str, DemandDivision] = {}
        self._demands: dict[str, dict[str, ConnectionDemand]] = {}
        self._shares: dict[str, dict[str, Share]] = {}

    def set_limits(self, group: Group, home_count: int) -> None:
        """Set the declared limits; probes get the remainder, at most two for each home proxy."""
        self._limit = group.connection_limit
        whole = {access.tenant: access.connection_budget for access in group.access}
        self._total_budgets = whole
        left = self._limit - sum(whole.values())
        common = {tenant: common_part(budget, group) for tenant, budget in whole.items()}
        self._divided_tenants = [tenant for tenant in whole if whole[tenant] > common[tenant]]
        self._declared = group
        self._budgets = common
        self._budgets[PROBE_TENANT] = max(0, min(left, PROBE_CONNECTIONS_PER_HOME * home_count))
        self._redivide()

    def set_members(self, members: Iterable[str]) -> bool:
        """Set the announced members; return whether they changed."""
        known = tuple(sorted(members))
        if known == self._members:
            return False
        self._members = known
        self._redivide()
        return True

    def set_homes(self, homes: tuple[str, ...]) -> None:
        """Set the current home proxies."""
        self.homes = homes
        self._redivide()

    def record_demand(self, proxy: str, demand: ConnectionDemand) -> None:
        """Record a home proxy's demand at a member; it takes effect at the next ``divide``."""
        self._demands.setdefault(proxy, {})[demand.member] = demand

    def divide(self) -> bool:
        """Divide at each member by the recorded demands; return whether any share changed."""
        return any([self._divide_at(member) for member in self._members])

    def demand_reporting_changed(self, proxy: str) -> bool:
        """Forget a proxy's demands, as it starts or stops reporting them.

        :returns: whether this affects the group's shares
        """
        self._demands.pop(proxy, None)
        if proxy not in self.homes or not self._divided_tenants:
            return False
        self._redivide()
        return True

    def demand_of(self, proxy: str, member: str) -> ConnectionDemand | None:
        """Return a proxy's last reported demand; None if it does not report any."""
        if proxy not in self._demand_reporters:
            return None
        none = ConnectionDemand(self.name, member, 0)
        return self._demands.get(proxy, {}).get(member, none)

    @property
    def limit(self) -> int:
        """Connections that each member accepts from all proxies together."""
        return self._limit

    def share_at(self, proxy: str, member: str) -> Share:
        """Return a proxy's share of a member's connections, summed over all budgets."""
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
        """Return the proxies that may hold connections, and the home proxies."""
        return {proxy for shares in self._shares.values() for proxy in shares} | set(self.homes)

    def _redivide(self) -> None:
        """Divide at each member, and drop the divisions of removed members."""
        wanted = {
            member_budget(tenant, m) for tenant in self._divided_tenants for m in self._members
        }
        self._divisions = {key: d for key, d in self._divisions.items() if key in wanted}
        self.divide()

    def _divide_at(self, member: str) -> bool:
        if self._declared is None:
            return False
        demands = {
            proxy: demand.connections
            for proxy in self.homes
            if (demand := self.demand_of(proxy, member)) is not None
        }
        is_changed = False
        is_common = holds_common(self._declared, member)
        for tenant in self._divided_tenants:
            division = self._divisions.setdefault(member_budget(tenant, member), DemandDivision())
            common = {proxy: is_common * self._wanted(tenant, proxy) for proxy in demands}
            is_changed |= division.update(self._divided_budget(tenant, member), demands, common)
        return is_changed

    def _divided_budget(self, tenant: str, member: str) -> int:
        """Return the part of a tenant's budget that is divided by demand at a member.

        At least one connection for each home proxy, however low the cap: without one, a proxy could
        not serve requests that need this member.
        """
        part = divided_part(self._total_budgets[tenant], self._declared, member)
        if holds_common(self._declared, member):
            return part
        return max(part, sum(proxy in self._demand_reporters for proxy in self.homes))

    def clear_limits(self) -> None:
        """Revoke all leases, because the group is no longer declared."""
        self._limit = 0
        self._budgets = {}
        self._total_budgets = {}
        self._divided_tenants = []
        self.set_homes(())

    @property
    def is_removable(self) -> bool:
        """Whether the group is no longer declared and no proxy holds connections."""
        return self._limit == 0 and not any(self._shares.values())

    def held(self) -> int:
        """Return the maximum number of connections that all holders may have open to one member."""
        held = self._held_by_member()
        return held.pop("", 0) + max(held.values(), default=0)

    def _held_by_member(self) -> Counter[str]:
        """Return connections held at a single member, by member; those at every member under ''."""
        held: Counter[str] = Counter()
        for tenant, shares in self._shares.items():
            held[member_of_budget(tenant)] += sum(share.holding for share in shares.values())
        return held

    def held_of(self, tenant: str) -> int:
        """Return the number of connections that may be open for one budget."""
        return sum(share.holding for share in self._shares.get(tenant, {}).values())

    def holdings(self) -> list[tuple[str, str, int]]:
        """Return every share as (proxy, tenant, holding)."""
        return [
            (proxy, tenant, share.holding)
            for tenant, shares in self._shares.items()
            for proxy, share in shares.items()
        ]

    def adopt(self, proxy: str, tenant: str, connections: int) -> None:
        """Record the connections that a holder reports, as both granted and held."""
        self._shares.setdefault(tenant, {})[proxy] = Share(connections, connections)

    def returned(self, proxy: str, tenant: str, connections: int) -> None:
        """Record that a holder returned some or all of its revoked connections."""
        share = self._shares.get(tenant, {}).get(proxy)
        if share is None:
            return
        share.holding = min(share.holding, max(connections, share.granted))
        if share.holding == 0:
            del self._shares[tenant][proxy]

    def drop(self, proxy: str) -> None:
        """Remove a proxy's shares: its leases have expired or its process has ended."""
        for shares in self._shares.values():
            shares.pop(proxy, None)

    def shrink(self, reachable: set[str]) -> list[LeaseChange]:
        """Revoke connections in excess of the wanted shares."""
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

        Each proxy first gets one connection of each budget, so that none is left without any when
        few are free.
        """
        changes: dict[tuple[str, str], LeaseChange] = {}
        group_free = self._limit - self.held()
        for most in (1, self._limit):
            for tenant, budget in self._budgets.items():
                free = min(
                    budget - self.held_of(tenant), self._free_in_total_budget(tenant), group_free
                )
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

    def _free_in_total_budget(self, tenant: str) -> int:
        """Return how much of a tenant's total budget is free at its most loaded member."""
        if tenant not in self._divided_tenants:
            return self._limit
        most = max(
            (
                self.held_of(key)
                for key in self._shares
                if key.startswith(f"{tenant}{MEMBER_SEPARATOR}")
            ),
            default=0,
        )
        return self._total_budgets[tenant] - self.held_of(tenant) - most

    def _grow_divided(
        self, reachable: set[str], changes: dict[tuple[str, str], LeaseChange]
    ) -> None:
        """Grant free connections of the budgets that are divided by demand."""
        if not self._divisions:
            return
        held = self._held_by_member()
        for key, division in self._divisions.items():
            tenant, _, member = key.partition(MEMBER_SEPARATOR)
            group_free = self._limit - held[""] - held[member]
            free = min(self._divided_budget(tenant, member) - self.held_of(key), group_free)
            free = min(free, self._total_budgets[tenant] - self.held_of(tenant) - self.held_of(key))
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
        """Grow a share by up to ``free`` connections, to at most ``most``; return the increase."""
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
