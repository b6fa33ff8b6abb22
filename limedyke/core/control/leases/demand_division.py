"""Divides the connections to one member among home proxies by their demand; sans-IO.

Load: the clients of one region send most of a group's work, or half of them move to another zone
within seconds; connections that serve one tenant each are wanted where those tenants' requests
come. Equal shares leave most connections with home proxies that need none, while others refuse.

A division stands until somebody needs more than it has: demand that only falls or wavers moves
nothing, so that calm times cost no message and two home proxies in equal need don't swap. Then only
those change who are short, and as many of those who have most beyond their part.
"""

from __future__ import annotations

from collections.abc import Mapping

BACKGROUND_DEMAND = 0.25
"""Counts for each home proxy beside its demand, so that one without any is given something too
where there is enough."""
SHORTAGE_RATIO = 0.9
"""A home proxy that wants more than this share of what it has is short of connections soon."""
MINIMUM_GAIN = 3
MINIMUM_GAIN_RATIO = 0.4
"""A division that gives nobody who is short at least these, as a number and as a share of what it
has, isn't worth the connections that are closed elsewhere for it."""


def divide(budget: int, demands: Mapping[str, int], least: int = 0) -> dict[str, int]:
    """Return whole shares of a budget in proportion to demands; they add up to all of it.

    :param demands: by name, in the order in which remainders are given where all else is equal
    :param least: what each gets beforehand; the budget is enough for it
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
    """One budget's division among the home proxies that tell their demand.

    :ivar shares: connections by home proxy
    """

    def __init__(self) -> None:
        self.shares: dict[str, int] = {}
        self._budget = 0

    def update(self, budget: int, demands: Mapping[str, int], common: Mapping[str, int]) -> bool:
        """Take demands; tell whether the division changed.

        :param demands: of the home proxies that tell theirs, by name
        :param common: what each has beside this budget
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
        """Give those who are short their part, from those furthest above theirs; tell if any was.

        The others keep what they have: each change closes connections or opens some.
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
