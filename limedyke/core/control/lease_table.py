"""The leader's table of connection leases: who holds what, and until when.

The sum of what proxies may hold never exceeds a budget or a group's limit:
a share is given to another proxy only after its holder returned it, or after
the holder's lease ran out.  A new leader first waits until every registered
proxy has reported what it holds, or for one lease duration.
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
MAXIMUM_GROUPS_AT_ONCE = 256
DIVISION_INTERVAL_S = 0.5
"""Demand that moves is told by many proxies, each at its next heartbeat: dividing at each of these
would close connections that the next one would have kept."""


def reissue_after_s(duration_s: float) -> float:
    """Return how long after a heartbeat's arrival its lease has run out by any holder's clock.

    :param duration_s: the lease's duration, counted by the holder from the heartbeat's sending
    """
    return duration_s * (1 + DRIFT_MARGIN_RATIO) + DRIFT_MARGIN_S


class LeaseTable:
    """All connection leases, from the moment a controller begins to lead.

    :param duration_s: how long a heartbeat renews, counted by the holder from its sending
    :param home_count: home proxies wanted for each group
    :param now: when this controller began to lead
    :param unreported: proxies registered in the log, which may hold leases of an earlier leader
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
        self._tellers: set[str] = set()
        self._to_divide: set[str] = set()
        self._next_division_at = now
        self._to_share: dict[str, None] = {}
        self._unreported = set(unreported)
        self._registered = len(unreported)
        self._adoption_ends_at = now + self._expiry_s

    @property
    def is_adopting(self) -> bool:
        """Whether earlier leases may still be unknown, so that nothing new is granted."""
        return bool(self._unreported)

    @property
    def reported_share(self) -> float:
        """Which share of the proxies registered at the beginning has told what it holds."""
        if not self._registered:
            return 1.0
        return 1.0 - len(self._unreported) / self._registered

    def group(self, name: str) -> GroupLeases | None:
        """Return the leases of a group."""
        return self._groups.get(name)

    def holders(self) -> dict[str, float]:
        """Return when the leases of each proxy run out at the latest."""
        return dict(self._expires_at)

    def set_group(self, group: Group) -> None:
        """Take the declared limits of a group."""
        self._get(group.name).set_limits(group, self._home_count)
        self._share_anew(group.name)

    def set_homes(self, group: str, homes: tuple[str, ...]) -> None:
        """Take the present home proxies of a group."""
        self._get(group).set_homes(homes)
        self._share_anew(group)

    def set_members(self, group: str, members: Iterable[str]) -> None:
        """Take the members of a group that announced themselves."""
        if self._get(group).set_members(members):
            self._share_anew(group)

    def record_demands(self, proxy: str, demands: tuple[ConnectionDemand, ...] | None) -> None:
        """Take what a proxy has use for: what changed since it told all.

        :param demands: None when it tells none
        """
        for demand in demands or ():
            group = self._groups.get(demand.group)
            if group is not None:
                group.take_demand(proxy, demand)
                self._to_divide.add(demand.group)

    def divide(self, now: float) -> None:
        """Divide connections by what was told since the last time; to be called often."""
        if now < self._next_division_at or not self._to_divide:
            return
        self._next_division_at = now + DIVISION_INTERVAL_S
        for name in self._to_divide:
            group = self._groups.get(name)
            if group is not None and group.divide():
                self._share_anew(name)
        self._to_divide.clear()

    def _tells_anew(self, proxy: str, tells: bool) -> None:
        """Forget a proxy's demands; note whether it tells any from now on."""
        if proxy not in self._tellers and not tells:
            return
        if tells:
            self._tellers.add(proxy)
        else:
            self._tellers.discard(proxy)
        for name, group in self._groups.items():
            if group.tellers_changed(proxy):
                self._share_anew(name)

    def remove_group(self, group: str) -> None:
        """Take back all leases of a group that is declared no longer."""
        if group in self._groups:
            self._groups[group].clear_limits()
            self._share_anew(group)

    def report(
        self,
        proxy: str,
        leases: tuple[ConnectionLease, ...],
        now: float,
        demands: tuple[ConnectionDemand, ...] | None = None,
    ) -> None:
        """Take the first heartbeat on a link: it tells all that the proxy holds and has use for.

        :param demands: None from a proxy that tells none
        """
        self._drop_holdings(proxy)
        self._reachable.add(proxy)
        self._tells_anew(proxy, demands is not None)
        self.record_demands(proxy, demands)
        for lease in leases:
            if lease.connections > 0:
                self._get(lease.group).adopt(proxy, lease.tenant, lease.connections)
                self._groups_held[proxy].add(lease.group)
        self._share_anew_groups_of(proxy)
        self.renew(proxy, now)
        self._account_for(proxy)

    def renew(self, proxy: str, now: float) -> None:
        """Count a heartbeat that arrived now."""
        self._expires_at[proxy] = max(self._expires_at.get(proxy, 0.0), now + self._expiry_s)

    def disconnected(self, proxy: str) -> None:
        """Grant nothing more to a proxy until it reports again; it keeps what it holds."""
        self._reachable.discard(proxy)

    def ended(self, proxy: str) -> None:
        """Free what a proxy held: its process is known to have ended or given all back."""
        self._reachable.discard(proxy)
        self._drop_holdings(proxy)
        self._tells_anew(proxy, tells=False)
        self._expires_at.pop(proxy, None)
        self._account_for(proxy)

    def returned(self, proxy: str, leases: tuple[ConnectionLease, ...]) -> None:
        """Note what a proxy no longer holds."""
        for lease in leases:
            group = self._groups.get(lease.group)
            if group is not None:
                group.returned(proxy, lease.tenant, lease.connections)
                self._share_anew(lease.group)

    def expire(self, now: float) -> list[str]:
        """Free the leases that have run out; return their holders."""
        if self._unreported and now >= self._adoption_ends_at:
            self._unreported.clear()
            self._share_anew_all()
        expired = [proxy for proxy, end in self._expires_at.items() if end <= now]
        for proxy in expired:
            self._reachable.discard(proxy)
            self._drop_holdings(proxy)
            self._tells_anew(proxy, tells=False)
            del self._expires_at[proxy]
        return expired

    def take_changes(self) -> list[LeaseChange]:
        """Return the leases to be told to their holders: what is taken back, then grants.

        Some groups at a time: at the end of an adoption all of them are due at once, and a
        leader that is busy for too long loses its own lease.  The others follow at the next call.
        """
        changes: list[LeaseChange] = []
        for name in list(islice(self._to_share, MAXIMUM_GROUPS_AT_ONCE)):
            del self._to_share[name]
            group = self._groups[name]
            changes += group.shrink(self._reachable)
            if not self.is_adopting:
                changes += group.grow(self._reachable)
            if group.is_forgettable:
                del self._groups[name]
        for change in changes:
            self._groups_held[change.proxy].add(change.lease.group)
        return changes

    def _get(self, name: str) -> GroupLeases:
        group = self._groups.get(name)
        if group is None:
            group = self._groups[name] = GroupLeases(name, self._tellers)
        return group

    def _account_for(self, proxy: str) -> None:
        """Note that nothing unknown is held by a proxy; the last one ends the adoption."""
        if proxy not in self._unreported:
            return
        self._unreported.discard(proxy)
        if not self._unreported:
            self._share_anew_all()

    def _share_anew(self, group: str) -> None:
        """Have a group's budgets shared anew by the next ``take_changes``."""
        self._to_share[group] = None

    def _share_anew_all(self) -> None:
        for name in self._groups:
            self._share_anew(name)

    def _share_anew_groups_of(self, proxy: str) -> None:
        for name, group in self._groups.items():
            if proxy in group.homes or name in self._groups_held[proxy]:
                self._share_anew(name)

    def _drop_holdings(self, proxy: str) -> None:
        for name in self._groups_held.pop(proxy, ()):
            group = self._groups.get(name)
            if group is not None:
                group.drop(proxy)
                self._share_anew(name)
