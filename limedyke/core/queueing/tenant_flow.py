"""The ordered waiting requests of one tenant, and the tenant's use of slot time."""

from __future__ import annotations

import bisect
from collections.abc import Iterator

from limedyke.core.queueing.queued_request import QueuedRequest, queue_sort_key

COST_SMOOTHING = 0.1
OUTLIER_FACTOR = 8.0
OUTLIER_S = 0.05
"""A single request is counted as at most the larger of this time and ``OUTLIER_FACTOR`` times the
mean: an idle client inside a transaction says little about the cost of the next request."""


class TenantFlow:
    """One tenant's requests at one member.

    :param weight: the tenant's declared share
    :param mean_cost_s: assumed slot time of a request until some have finished
    :ivar virtual_time: sum of slot time divided by weight
    """

    def __init__(self, weight: int, mean_cost_s: float) -> None:
        self.weight = weight
        self.mean_cost_s = mean_cost_s
        self.virtual_time = 0.0
        self.waiting = 0
        self._levels: dict[int, list[QueuedRequest]] = {}

    def learn_cost(self, seconds: float) -> None:
        """Update the mean cost with the slot time of a finished request."""
        bounded_s = min(seconds, max(OUTLIER_S, OUTLIER_FACTOR * self.mean_cost_s))
        self.mean_cost_s += COST_SMOOTHING * (bounded_s - self.mean_cost_s)

    def add(self, request: QueuedRequest) -> None:
        """Insert a request by its level and sort key."""
        bisect.insort(self._levels.setdefault(request.level, []), request, key=queue_sort_key)
        self.waiting += 1

    def discard(self, request: QueuedRequest) -> None:
        """Remove a waiting request."""
        waiting = self._levels[request.level]
        del waiting[bisect.bisect_left(waiting, queue_sort_key(request), key=queue_sort_key)]
        if not waiting:
            del self._levels[request.level]
        self.waiting -= 1

    def first(self) -> QueuedRequest:
        """Return the next request; there must be one."""
        return self._levels[min(self._levels)][0]

    def last(self) -> QueuedRequest:
        """Return the last request; there must be one."""
        return self._levels[max(self._levels)][-1]

    def in_order(self) -> Iterator[QueuedRequest]:
        """Yield all requests, the next one first."""
        for level in sorted(self._levels):
            yield from self._levels[level]

    def count_before(self, request: QueuedRequest) -> int:
        """Return how many requests precede a ranked request that need not wait here."""
        count = self.count_above(request.level)
        same = self._levels.get(request.level, [])
        return count + bisect.bisect_left(same, queue_sort_key(request), key=queue_sort_key)

    def count_above(self, level: int) -> int:
        """Return how many requests are more urgent than a level."""
        return sum(len(waiting) for other, waiting in self._levels.items() if other < level)

    def count_at(self, level: int) -> int:
        """Return how many requests wait at a level."""
        return len(self._levels.get(level, ()))

    def count_of_priority(self, least: int) -> int:
        """Return how many requests were sent with this priority or a more urgent one."""
        return sum(request.priority <= least for request in self.in_order())
