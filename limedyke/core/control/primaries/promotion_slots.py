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
        self._used = 0
        self._used_at: Counter[str] = Counter()

    @property
    def is_full(self) -> bool:
        """Whether no group may begin a promotion now."""
        return self._used >= self._total

    def has_free_slot(self, proxy: str) -> bool:
        """Tell whether a proxy may get a further order."""
        return not self.is_full and self._used_at[proxy] < self._each

    def used_at(self, proxy: str) -> int:
        """Return how many promotions are under way at a proxy."""
        return self._used_at[proxy]

    def take(self, proxy: str) -> None:
        """Take a place at a proxy."""
        self._used += 1
        self._used_at[proxy] += 1

    def release(self, proxy: str) -> None:
        """Give a place at a proxy back."""
        self._used -= 1
        self._used_at[proxy] -= 1
        if self._used_at[proxy] == 0:
            del self._used_at[proxy]

    def choose_executor(self, state: GroupFailoverState, live: list[str]) -> str:
        """Return the home proxy that should promote, or an empty string without a free place.

        One that reaches a majority of the members goes first, then one that misses the
        replaced primary itself: it was heard since, and a proxy that was cut off with the
        primary still sees it.  Among these another than last time.

        :param live: the group's home proxies that are heard
        """
        free = [proxy for proxy in live if self.has_free_slot(proxy)]
        witnesses = state.reports.unreachable_votes(state.replaced)
        return min(
            free,
            key=lambda proxy: (
                not state.reports.sees_majority(proxy),
                proxy not in witnesses,
                proxy == state.executor,
                self.used_at(proxy),
                state.reports.homes.index(proxy),
            ),
            default="",
        )
