"""Places for promotions under way: bounded over all groups and at each home proxy."""

from __future__ import annotations

from collections import Counter

from limedyke.core.control.primaries.group_failover_state import GroupFailoverState


class PromotionSlots:
    """Counts promotions under way.

    :param total: promotions under way over all groups
    :param each: promotions under way at one proxy
    """

    def __init__(self, total: int, each: int) -> None:
        self._total = total
        self._each = each
        self._taken = 0
        self._taken_at: Counter[str] = Counter()

    @property
    def is_full(self) -> bool:
        """Whether no group may begin a promotion now."""
        return self._taken >= self._total

    def has_room(self, proxy: str) -> bool:
        """Tell whether a proxy may get a further order."""
        return not self.is_full and self._taken_at[proxy] < self._each

    def taken_at(self, proxy: str) -> int:
        """Return how many promotions are under way at a proxy."""
        return self._taken_at[proxy]

    def take(self, proxy: str) -> None:
        """Take a place at a proxy."""
        self._taken += 1
        self._taken_at[proxy] += 1

    def give_back(self, proxy: str) -> None:
        """Give a place at a proxy back."""
        self._taken -= 1
        self._taken_at[proxy] -= 1
        if self._taken_at[proxy] == 0:
            del self._taken_at[proxy]

    def choose_executor(self, care: GroupFailoverState, live: list[str]) -> str:
        """Return the home proxy that should promote, or an empty string without a free place.

        One that reaches a majority of the members goes first, then one that misses the
        replaced primary itself: it was heard since, and a proxy that was cut off with the
        primary still sees it.  Among these another than last time.

        :param live: the group's home proxies that are heard
        """
        free = [proxy for proxy in live if self.has_room(proxy)]
        witnesses = care.watch.unreachable_votes(care.replaced)
        return min(
            free,
            key=lambda proxy: (
                not care.watch.sees_majority(proxy),
                proxy not in witnesses,
                proxy == care.executor,
                self.taken_at(proxy),
                care.watch.homes.index(proxy),
            ),
            default="",
        )
