"""How many connections to a member this proxy has use for, and when that is news; sans-IO.

Load: requests come in swells of seconds, at some proxies and for some tenants more than at others.
"""

from __future__ import annotations

from collections.abc import Iterable

from limedyke.messages.control import ConnectionDemand

RECENT_S = 2.0
"""A tenant whose last request is longer ago hardly finds its connection open again."""
DECAY_S = 3.0
"""In so long a swell that is over is forgotten: longer than the pauses within one."""
LEAST_CHANGE = 2
LEAST_CHANGE_SHARE = 0.25
"""A smaller change is no news, as a number and as a share of what was told last."""


class ConnectionUse:
    """Requests for connections to one member; times are seconds of a monotonic clock.

    :ivar turned_away: connections that the member did not take
    """

    def __init__(self) -> None:
        self._requested_at: dict[str, float] = {}
        self._peak = 0
        self._level = 0.0
        self._level_at = 0.0
        self.turned_away = 0

    def requested(self, tenant: str, under_way: int, now: float) -> None:
        """Note a request.

        :param tenant: whose connection it wants
        :param under_way: requests that hold a connection or wait for one, this one included
        """
        self._requested_at[tenant] = now
        self._peak = max(self._peak, under_way)

    def wanted(self, now: float) -> int:
        """Return how many connections there is use for.

        Where a connection serves one tenant, each tenant that comes often needs its own.
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
    """What was told of this proxy's demand, and what is to be told next."""

    def __init__(self) -> None:
        self._told: dict[tuple[str, str], int] = {}

    def changes_to_report(
        self, demands: Iterable[ConnectionDemand], whole: bool
    ) -> tuple[ConnectionDemand, ...]:
        """Return the demands to tell now.

        :param demands: at each member; none at those that are missing
        :param whole: the receiver knows none of what was told before
        """
        if whole:
            self._told = {}
        present = {(demand.group, demand.member): demand for demand in demands}
        gone = [ConnectionDemand(*key, 0) for key in self._told.keys() - present.keys()]
        changed = [demand for demand in (*present.values(), *gone) if self._is_news(demand)]
        for demand in changed:
            self._told[demand.group, demand.member] = demand.connections
        self._told = {key: told for key, told in self._told.items() if told}
        return tuple(changed)

    def _is_news(self, demand: ConnectionDemand) -> bool:
        told = self._told.get((demand.group, demand.member), 0)
        change = abs(demand.connections - told)
        return change >= max(LEAST_CHANGE, LEAST_CHANGE_SHARE * told)
