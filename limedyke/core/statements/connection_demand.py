"""How many connections to a member this proxy needs, and when to report a change; sans-IO.

Requests arrive in waves of seconds, unevenly distributed over proxies and tenants.
"""

from __future__ import annotations

from collections.abc import Iterable

from limedyke.messages.control import ConnectionDemand

RECENT_S = 2.0
"""A tenant without a request for longer than this rarely finds its connection still open."""
DECAY_S = 3.0
"""Time in which the demand of a past wave decays; longer than the pauses within a wave."""
LEAST_CHANGE = 2
LEAST_CHANGE_SHARE = 0.25
"""A change is reported from this number of connections and this share of the last report."""


class ConnectionUse:
    """Requests for connections to one member; times are seconds of a monotonic clock.

    :ivar turned_away: connections that the member refused
    """

    def __init__(self) -> None:
        self._requested_at: dict[str, float] = {}
        self._peak = 0
        self._level = 0.0
        self._level_at = 0.0
        self.turned_away = 0

    def requested(self, tenant: str, under_way: int, now: float) -> None:
        """Record a request.

        :param tenant: the tenant whose connection it needs
        :param under_way: requests that hold a connection or wait for one, including this one
        """
        self._requested_at[tenant] = now
        self._peak = max(self._peak, under_way)

    def wanted(self, now: float) -> int:
        """Return how many connections are needed.

        Where a connection serves one tenant, each tenant with frequent requests needs its own.
        """
        share_left = max(0.0, 1.0 - (now - self._level_at) / DECAY_S)
        self._level = max(float(self._peak), self._level * share_left)
        self._level_at = now
        self._peak = 0
        self._requested_at = {
            tenant: at for tenant, at in self._requested_at.items() if now - at < RECENT_S
        }
        return max(round(self._level), len(self._requested_at))


class DemandReporter:
    """Selects the changes of this proxy's demand to report."""

    def __init__(self) -> None:
        self._reported: dict[tuple[str, str], int] = {}

    def changes_to_report(
        self, demands: Iterable[ConnectionDemand], whole: bool
    ) -> tuple[ConnectionDemand, ...]:
        """Return the demands to report now.

        :param demands: demand at each member; zero at members that are missing
        :param whole: whether the receiver knows none of the earlier reports
        """
        if whole:
            self._reported = {}
        present = {(demand.group, demand.member): demand for demand in demands}
        gone = [ConnectionDemand(*key, 0) for key in self._reported.keys() - present.keys()]
        changed = [demand for demand in (*present.values(), *gone) if self._must_report(demand)]
        for demand in changed:
            self._reported[demand.group, demand.member] = demand.connections
        self._reported = {key: reported for key, reported in self._reported.items() if reported}
        return tuple(changed)

    def _must_report(self, demand: ConnectionDemand) -> bool:
        reported = self._reported.get((demand.group, demand.member), 0)
        change = abs(demand.connections - reported)
        return change >= max(LEAST_CHANGE, LEAST_CHANGE_SHARE * reported)
