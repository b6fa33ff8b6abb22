"""The leader's table of connection leases: holders, sizes and expiry times.

The sum of what proxies may hold never exceeds a budget or a group's limit: a share is granted to
another proxy only after its holder has returned it or the holder's lease has expired.  A new leader
grants nothing until every registered proxy has reported what it holds, or for one lease duration.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from itertools import islice

from limedyke.core.control.group_leases import GroupLeases, LeaseChange
from limedyke.messages.control import ConnectionDemand, ConnectionLease
from limedyke.messages.declaration import Group

DRIFT_MARGIN_RATIO = 0.02
DRIFT_MARGIN_S = 0.2
MAXIMUM_GROUPS_PER_CALL = 256
DIVISION_INTERVAL_S = 0.5
"""When demand shifts, many proxies report it, each with its next heartbeat. Dividing after each
report would close connections that the next report would have kept."""


def reissue_after_s(duration_s: float) -> float:
    """Return how long after a heartbeat's arrival its lease has expired by any holder's clock.

    :param duration_s: the lease's duration, which the holder counts from sending the heartbeat
    """
    return duration_s * (1 + DRIFT_MARGIN_RATIO) + DRIFT_MARGIN_S


class LeaseTable:
    """All connection leases, from the moment a controller becomes the leader.

    :param duration_s: lease duration, which the holder counts from sending its heartbeat
    :param home_count: number of home proxies for each group
    :param now: when this controller became the leader
    :param unreported: registered proxies, which may hold leases granted by an earlier leader
    """

    def __init__(
        self, duration_s: float, home_count: int, now: float, unreported: set[str]
    ) -> None:
        self._expiry_s = reissue_after_s(duration_s)
        self._home_count = home_count
        self._groups: dict[str, GroupLeases] = {}
        self._expires_at: dict[str, float] = {}
        self._groups_held: defaultdict[str, set[str]] = defaultdict(set)
        self._reachable: set[str] = set()
        self._demand_reporters: set[str] = set()
        self._groups_to_divide: set[str] = set()
        self._next_division_at = now
        self._groups_to_share: dict[str, None] = {}
        self._unreported = set(unreported)
        self._registered_count = len(unreported)
        self._adoption_ends_at = now + self._expiry_s

    @property
    def is_adopting(self) -> bool:
        """Whether some earlier leases may be unknown; nothing is granted meanwhile."""
        return bool(self._unreported)

    @property
    def reported_share(self) -> float:
        """Fraction of the initially registered proxies that have reported their leases."""
        if not self._registered_count:
            return 1.0
        return 1.0 - len(self._unreported) / self._registered_count

    def group(self, name: str) -> GroupLeases | None:
        """Return the leases of a group."""
        return self._groups.get(name)

    def holders(self) -> dict[str, float]:
        """Return the time at which each proxy's leases have expired for certain."""
        return dict(self._expires_at)

    def set_group(self, group: Group) -> None:
        """Set the declared limits of a group."""
        self._get(group.name).set_limits(group, self._home_count)
        self._schedule_sharing(group.name)

    def set_homes(self, group: str, homes: tuple[str, ...]) -> None:
        """Set the current home proxies of a group."""
        self._get(group).set_homes(homes)
        self._schedule_sharing(group)

    def set_members(self, group: str, members: Iterable[str]) -> None:
        """Set the announced members of a group."""
        if self._get(group).set_members(members):
            self._schedule_sharing(group)

    def record_demands(self, proxy: str, demands: tuple[ConnectionDemand, ...] | None) -> None:
        """Record a proxy's demands that have changed since its last report.

        :param demands: None if the proxy does not report demand
        """
        for demand in demands or ():
            group = self._groups.get(demand.group)
            if group is not None:
                group.record_demand(proxy, demand)
                self._groups_to_divide.add(demand.group)

    def divide(self, now: float) -> None:
        """Divide connections by the demands recorded since the last division; called often."""
        if now < self._next_division_at or not self._groups_to_divide:
            return
        self._next_division_at = now + DIVISION_INTERVAL_S
        for name in self._groups_to_divide:
            group = self._groups.get(name)
            if group is not None and group.divide():
                self._schedule_sharing(name)
        self._groups_to_divide.clear()

    def _set_demand_reporting(self, proxy: str, is_reporting: bool) -> None:
        """Forget a proxy's demands, and record whether it reports any from now on."""
        if proxy not in self._demand_reporters and not is_reporting:
            return
        if is_reporting:
            self._demand_reporters.add(proxy)
        else:
            self._demand_reporters.discard(proxy)
        for name, group in self._groups.items():
            if group.demand_reporting_changed(proxy):
                self._schedule_sharing(name)

    def remove_group(self, group: str) -> None:
        """Revoke all leases of a group that is no longer declared."""
        if group in self._groups:
            self._groups[group].clear_limits()
            self._schedule_sharing(group)

    def report(
        self,
        proxy: str,
        leases: tuple[ConnectionLease, ...],
        now: float,
        demands: tuple[ConnectionDemand, ...] | None = None,
    ) -> None:
        """Process the first heartbeat on a link, which reports all leases and demands of the proxy.

        :param demands: None if the proxy does not report demand
        """
        self._drop_holdings(proxy)
        self._reachable.add(proxy)
        self._set_demand_reporting(proxy, demands is not None)
        self.record_demands(proxy, demands)
        for lease in leases:
            if lease.connections > 0:
                self._get(lease.group).adopt(proxy, lease.tenant, lease.connections)
                self._groups_held[proxy].add(lease.group)
        self._schedule_sharing_for(proxy)
        self.renew(proxy, now)
        self._mark_reported(proxy)

    def renew(self, proxy: str, now: float) -> None:
        """Extend a proxy's leases for a heartbeat that arrived now."""
        self._expires_at[proxy] = max(self._expires_at.get(proxy, 0.0), now + self._expiry_s)

    def disconnected(self, proxy: str) -> None:
        """Stop granting to a proxy until it reports again; it keeps what it holds."""
        self._reachable.discard(proxy)

    def ended(self, proxy: str) -> None:
        """Free a proxy's leases: its process has ended or has returned all of them."""
        self._reachable.discard(proxy)
        self._drop_holdings(proxy)
        self._set_demand_reporting(proxy, is_reporting=False)
        self._expires_at.pop(proxy, None)
        self._mark_reported(proxy)

    def returned(self, proxy: str, leases: tuple[ConnectionLease, ...]) -> None:
        """Record the connections that a proxy has returned."""
        for lease in leases:
            group = self._groups.get(lease.group)
            if group is not None:
                group.returned(proxy, lease.tenant, lease.connections)
                self._schedule_sharing(lease.group)

    def expire(self, now: float) -> list[str]:
        """Free the expired leases; return their holders."""
        if self._unreported and now >= self._adoption_ends_at:
            self._unreported.clear()
            self._schedule_sharing_of_all()
        expired = [proxy for proxy, end in self._expires_at.items() if end <= now]
        for proxy in expired:
            self._reachable.discard(proxy)
            self._drop_holdings(proxy)
            self._set_demand_reporting(proxy, is_reporting=False)
            del self._expires_at[proxy]
        return expired

    def take_changes(self) -> list[LeaseChange]:
        """Return the leases to send to their holders: revocations first, then grants.

        Processes a bounded number of groups; the rest follow at the next call.  At the end of the
        adoption all groups are due at once, and a leader that is busy for too long loses its own
        lease.
        """
        changes: list[LeaseChange] = []
        for name in list(islice(self._groups_to_share, MAXIMUM_GROUPS_PER_CALL)):
            del self._groups_to_share[name]
            group = self._groups[name]
            changes += group.shrink(self._reachable)
            if not self.is_adopting:
                changes += group.grow(self._reachable)
            if group.is_removable:
                del self._groups[name]
        for change in changes:
            self._groups_held[change.proxy].add(change.lease.group)
        return changes

    def _get(self, name: str) -> GroupLeases:
        group = self._groups.get(name)
        if group is None:
            group = self._groups[name] = GroupLeases(name, self._demand_reporters)
        return group

    def _mark_reported(self, proxy: str) -> None:
        """Mark a proxy's leases as known; the last such proxy ends the adoption."""
        if proxy not in self._unreported:
            return
        self._unreported.discard(proxy)
        if not self._unreported:
            self._schedule_sharing_of_all()

    def _schedule_sharing(self, group: str) -> None:
        """Schedule a group's budgets to be shared again by the next ``take_changes``."""
        self._groups_to_share[group] = None

    def _schedule_sharing_of_all(self) -> None:
        for name in self._groups:
            self._schedule_sharing(name)

    def _schedule_sharing_for(self, proxy: str) -> None:
        for name, group in self._groups.items():
            if proxy in group.homes or name in self._groups_held[proxy]:
                self._schedule_sharing(name)

    def _drop_holdings(self, proxy: str) -> None:
        for name in self._groups_held.pop(proxy, ()):
            group = self._groups.get(name)
            if group is not None:
                group.drop(proxy)
                self._schedule_sharing(name)
