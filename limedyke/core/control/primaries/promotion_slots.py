"""Limits concurrent promotions, in total and at each home proxy."""

from __future__ import annotations

from collections import Counter

from limedyke.core.control.primaries.group_failover_state import GroupFailoverState


class PromotionSlots:
    """Counts concurrent promotions.

    :param total: maximum over all groups
    :param each: maximum at one proxy
    """

    def __init__(self, total: int, each: int) -> None:
        self._total = total
        self._each = each
        self._used = 0
        self._used_at: Counter[str] = Counter()

    @property
    def is_full(self) -> bool:
        """Whether all slots are in use."""
        return self._used >= self._total

    def has_free_slot(self, proxy: str) -> bool:
        """Return whether a proxy may get another promotion order."""
        return not self.is_full and self._used_at[proxy] < self._each

    def used_at(self, proxy: str) -> int:
        """Return the number of slots in use at a proxy."""
        return self._used_at[proxy]

    def take(self, proxy: str) -> None:
        """Acquire a slot at a proxy."""
        self._used += 1
        self._used_at[proxy] += 1

    def release(self, proxy: str) -> None:
        """Release a slot at a proxy."""
        self._used -= 1
        self._used_at[proxy] -= 1
        if self._used_at[proxy] == 0:
            del self._used_at[proxy]

    def choose_executor(self, state: GroupFailoverState, live: list[str]) -> str:
        """Return the home proxy that should promote, or an empty string without a free slot.

        Proxies that reach a majority of the members are preferred, then those that cannot reach
        the replaced primary: a proxy that is partitioned off together with the primary still sees
        it.  Among these, a proxy other than the previous executor is preferred.

        :param live: the group's live home proxies
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
