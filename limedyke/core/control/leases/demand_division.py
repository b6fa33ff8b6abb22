"""Divides the connections to one member among home proxies by demand; performs no I/O.

The load on home proxies is uneven: the clients of one region send most of a group's work, or half
of the clients move to another zone within seconds. Connections that serve a single tenant are
needed where that tenant's requests arrive. With equal shares most connections stay with home
proxies that do not need them, while others refuse requests.

A division is kept until some home proxy is short of connections. Demand that falls or fluctuates
changes nothing, so a steady load causes no messages, and two home proxies with equal demand do not
swap connections. When some are short, only their shares grow, at the expense of the home proxies
that exceed their ideal share most.
"""

from __future__ import annotations

from collections.abc import Mapping

BACKGROUND_DEMAND = 0.25
"""Added to each home proxy's demand, so that one without demand still gets connections if there are
enough."""
SHORTAGE_RATIO = 0.9
"""A home proxy whose demand exceeds this fraction of its connections counts as short of them."""
MINIMUM_GAIN = 3
MINIMUM_GAIN_RATIO = 0.4
"""Minimum gain for a home proxy that is short, in connections and as a fraction of what it has. A
smaller gain does not justify closing connections elsewhere."""


def divide(budget: int, demands: Mapping[str, int], least: int = 0) -> dict[str, int]:
    """Divide a budget in proportion to demands, into integers that add up to the budget.

    :param demands: by name; the order breaks ties between equal remainders
    :param least: minimum for each name; the budget must cover it
    """
    budget -= least * len(demands)
    weights = {name: demand + BACKGROUND_DEMAND for name, demand in demands.items()}
    total = sum(weights.values())
    if total == 0:
        return {}
    exact = {name: budget * weight / total for name, weight in weights.items()}
    shares = {name: int(share) for name, share in exact.items()}
    left = budget - sum(shares.values())
    by_remainder = sorted(exact, key=lambda name: shares[name] - exact[name])
    for name in by_remainder[:left]:
        shares[name] += 1
    return {name: share + least for name, share in shares.items()}


class DemandDivision:
    """The division of one budget among the home proxies that report their demand.

    :ivar shares: connections by home proxy
    """

    def __init__(self) -> None:
        self.shares: dict[str, int] = {}
        self._budget = 0

    def update(self, budget: int, demands: Mapping[str, int], common: Mapping[str, int]) -> bool:
        """Update the division for new demands; return whether it changed.

        :param demands: by home proxy, of those that report demand
        :param common: connections that each home proxy has in addition to this budget
        """
        is_same_input = budget == self._budget and demands.keys() == self.shares.keys()
        if is_same_input and not self._is_short(demands, common):
            return False
        has_nothing_else = not any(common.values())
        shares = divide(budget, demands, int(has_nothing_else and budget >= len(demands)))
        if is_same_input:
            return self._move_towards(shares, demands, common)
        self._budget = budget
        is_changed = shares != self.shares
        self.shares = shares
        return is_changed

    def _is_short(self, demands: Mapping[str, int], common: Mapping[str, int]) -> bool:
        return any(self._needs_more(name, demands, common) for name in demands)

    def _needs_more(self, name: str, demands: Mapping[str, int], common: Mapping[str, int]) -> bool:
        has = self.shares[name] + common.get(name, 0)
        return demands[name] > SHORTAGE_RATIO * has

    def _move_towards(
        self, ideal: Mapping[str, int], demands: Mapping[str, int], common: Mapping[str, int]
    ) -> bool:
        """Move connections from those furthest above their ideal share to those that are short.

        All others keep their share, as each change closes or opens connections.

        :returns: whether any connection was moved
        """
        gains = {
            name: ideal[name] - self.shares[name]
            for name in demands
            if self._needs_more(name, demands, common)
            and self._gain_is_worthwhile(name, ideal, common)
        }
        wanted = sum(gains.values())
        for name, gain in gains.items():
            self.shares[name] += gain
        donors = sorted(
            (name for name in self.shares if name not in gains),
            key=lambda name: ideal[name] - self.shares[name],
        )
        for name in donors:
            given = min(wanted, max(0, self.shares[name] - ideal[name]))
            self.shares[name] -= given
            wanted -= given
        return bool(gains)

    def _gain_is_worthwhile(
        self, name: str, ideal: Mapping[str, int], common: Mapping[str, int]
    ) -> bool:
        has = self.shares[name] + common.get(name, 0)
        return ideal[name] - self.shares[name] >= max(MINIMUM_GAIN, MINIMUM_GAIN_RATIO * has)
