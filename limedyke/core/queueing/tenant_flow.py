"""The waiting requests of one tenant, in order, and what the tenant has used."""

from __future__ import annotations

import bisect
from collections.abc import Iterator

from limedyke.core.queueing.queued_request import QueuedRequest, queue_sort_key

COST_SMOOTHING = 0.1
OUTLIER_FACTOR = 8.0
OUTLIER_S = 0.05
"""One rest inside a transaction says little of the next request: it counts no more than this."""


class TenantFlow:
    """One tenant at one member.

    :param weight: its declared share
    :param mean_cost_s: assumed slot time of its requests until some have finished
    :ivar virtual_time: grows by slot time over weight
    """

    def __init__(self, weight: int, mean_cost_s: float) -> None:
        self.weight = weight
        self.mean_cost_s = mean_cost_s
        self.virtual_time = 0.0
        self.waiting = 0
        self._levels: dict[int, list[QueuedRequest]] = {}

    def learn_cost(self, seconds: float) -> None:
        """Take the slot time of a finished request."""
        bounded_s = min(seconds, max(OUTLIER_S, OUTLIER_FACTOR * self.mean_cost_s))
        self.mean_cost_s += COST_SMOOTHING * (bounded_s - self.mean_cost_s)

    def add(self, request: QueuedRequest) -> None:
        """Insert a request by its level and turn."""
        bisect.insort(self._levels.setdefault(request.level, []), request, key=queue_sort_key)
        self.waiting += 1

    def discard(self, request: QueuedRequest) -> None:
        """Take out a request that waits here."""
        waiting = self._levels[request.level]
        del waiting[bisect.bisect_left(waiting, queue_sort_key(request), key=queue_sort_key)]
        if not waiting:
            del self._levels[request.level]
        self.waiting -= 1

    def first(self) -> QueuedRequest:
        """Return the one that is next; there must be one."""
        return self._levels[min(self._levels)][0]

    def last(self) -> QueuedRequest:
        """Return the one that goes last; there must be one."""
        return self._levels[max(self._levels)][-1]

    def in_order(self) -> Iterator[QueuedRequest]:
        """Yield all, the next one first."""
        for level in sorted(self._levels):
            yield from self._levels[level]

    def before(self, request: QueuedRequest) -> int:
        """Return how many go before a request that is ranked, and may not wait yet."""
        count = self.above(request.level)
        same = self._levels.get(request.level, [])
        return count + bisect.bisect_left(same, queue_sort_key(request), key=queue_sort_key)

    def above(self, level: int) -> int:
        """Return how many are more urgent than a level."""
        return sum(len(waiting) for other, waiting in self._levels.items() if other < level)

    def at(self, level: int) -> int:
        """Return how many wait at a level."""
        return len(self._levels.get(level, ()))

    def of_priority(self, least: int) -> int:
        """Return how many were sent with a priority or a more urgent one."""
        return sum(request.priority <= least for request in self.in_order())
