"""Queue of requests for one member, by priority and fair between tenants; sans-IO.

It handles more requests than the member can serve, for example a burst of low-priority requests of
many tenants with urgent ones among them, while connections are lost.

Requests are ordered by priority, where each ``AGEING_STEP_S`` of waiting raises a request by one.
Within a level tenants are ordered by virtual time, which grows by slot time over weight.  Within a
tenant, requests that can still meet their target precede late ones; the former are ordered by
target or deadline, whichever is sooner, and late ones by deadline.  A request is refused on arrival
if the requests ahead of it alone make it miss its deadline.  Units of open transactions never wait
here, since they hold locks that others may wait for.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable, Iterator

from limedyke.core import admission
from limedyke.core.queueing.queue_answer import (
    PrecedingWork,
    Queued,
    QueueDrain,
    RefusalReason,
    Refused,
)
from limedyke.core.queueing.queued_request import QueuedRequest
from limedyke.core.queueing.tenant_flow import COST_SMOOTHING, TenantFlow
from limedyke.core.queueing.urgent_load import UrgentLoad

INITIAL_COST_S = 0.002
DEBT_LIMIT_S = 0.5
"""Bound of the virtual time by which slow requests of a tenant delay its next ones."""
RECURRENCE_FACTOR = 2
"""Waiting tenants probably send as many requests again before a tenant with more use is served, so
their waiting requests count this many times."""


ADMISSION_SHARE = 0.8
"""A request is admitted if its expected wait is at most this share of its time left. The margin
prevents small variations from expiring admitted requests."""
VARIATION_WEIGHT = 1.6
"""Weight of random variation in the longest acceptable wait. With few requests ahead, the actual
wait may be half of the expected one; a request is refused when its chance is below about 25 %."""


class RequestQueue:
    """Weighted fair queue over tenants.

    :param first_cost_s: assumed slot time of a request until one has finished
    """

    def __init__(self, first_cost_s: float = INITIAL_COST_S) -> None:
        self._flows: dict[str | None, TenantFlow] = {}
        self._active: dict[str | None, TenantFlow] = {}
        self._virtual_time = 0.0
        self._mean_cost_s = first_cost_s
        self._numbers = itertools.count()
        self._changes: list[tuple[float, int, QueuedRequest]] = []
        self._length = 0
        self._urgent = UrgentLoad()

    def __len__(self) -> int:
        return self._length

    def set_weight(self, tenant: str, weight: int) -> None:
        """Set a tenant's weight."""
        self._flow(tenant).weight = max(1, weight)

    def waiting(self, tenant: str | None) -> int:
        """Return how many requests of a tenant wait."""
        flow = self._active.get(tenant)
        return flow.waiting if flow is not None else 0

    def waiting_tenants(self) -> tuple[str | None, ...]:
        """Return the tenants with waiting requests."""
        return tuple(self._active)

    @property
    def usual_cost_s(self) -> float:
        """The smoothed slot time of all requests."""
        return self._mean_cost_s

    def mean_cost_s(self, tenant: str | None) -> float:
        """Return the smoothed slot time of a tenant's requests, or of all if it has had none."""
        flow = self._flows.get(tenant)
        return flow.mean_cost_s if flow is not None else self._mean_cost_s

    def push(self, request: QueuedRequest, now: float, drain: QueueDrain) -> Queued | Refused:
        """Enqueue a request, or refuse it at once."""
        self._advance(now)
        self._rank(request, now)
        load, ahead = self._load(request, drain)
        left_s = request.deadline_at - now
        wait_factor = self._urgent.wait_factor(request.priority, drain.slots, now)
        allowed_s = ADMISSION_SHARE * _max_expected_wait_s(left_s, ahead.count, drain)
        refusal = admission.admit(load, allowed_s / wait_factor)
        if refusal is None:
            self._enqueue(request, now, drain)
            return Queued()
        wait_s = admission.expected_wait_s(load) * wait_factor
        if wait_s > allowed_s:
            reason = RefusalReason.NO_TIME
        elif drain.waiting_limit and (displaced := self._request_to_displace(request)) is not None:
            self.remove(displaced)
            self._enqueue(request, now, drain)
            return Queued((displaced,))
        else:
            reason = RefusalReason.FULL
        return Refused(reason, wait_s, left_s, ahead.count, refusal.retry_after_ms)

    def place(self, request: QueuedRequest, now: float) -> None:
        """Enqueue a request without an admission check."""
        self._advance(now)
        flow = self._flow(request.tenant)
        changes_at = self._rank(request, now)
        if flow.waiting == 0:
            flow.virtual_time = max(flow.virtual_time, self._virtual_time)
            self._active[request.tenant] = flow
        flow.add(request)
        request.is_waiting = True
        self._length += 1
        self._watch(request, changes_at)

    def remove(self, request: QueuedRequest) -> bool:
        """Remove a request; return whether it was waiting."""
        if not request.is_waiting:
            return False
        flow = self._flows[request.tenant]
        flow.discard(request)
        request.is_waiting = False
        self._length -= 1
        if flow.waiting == 0:
            del self._active[request.tenant]
        if not self._length:
            self._changes.clear()
        return True

    def first(
        self, now: float, eligible: Callable[[str | None], bool] = lambda tenant: True
    ) -> QueuedRequest | None:
        """Return the next request without removing it; None if there is none.

        :param eligible: whether a tenant could use a slot now (it has a free connection)
        """
        self._advance(now)
        best: QueuedRequest | None = None
        best_key = (0, 0.0)
        for tenant, flow in self._active.items():
            request = flow.first()
            key = (request.level, flow.virtual_time)
            if (best is None or key < best_key) and eligible(tenant):
                best, best_key = request, key
        return best

    def pop(self, now: float, eligible: Callable[[str | None], bool]) -> QueuedRequest | None:
        """Remove the next request and charge it in advance; return None if there is none.

        :param eligible: see ``first``
        """
        request = self.first(now, eligible)
        if request is not None:
            self.remove(request)
            self.started(request, waited=True)
        return request

    def in_order(self, now: float) -> Iterator[QueuedRequest]:
        """Yield the waiting requests in the order of service if no others arrive.

        The queue must not change during the iteration.
        """
        self._advance(now)
        numbers = itertools.count()
        turns = []
        for flow in self._active.values():
            requests = flow.in_order()
            request = next(requests)
            turns.append((request.level, flow.virtual_time, next(numbers), request, flow, requests))
        heapq.heapify(turns)
        while turns:
            _, virtual_time, _, request, flow, requests = turns[0]
            yield request
            after = virtual_time + flow.mean_cost_s / flow.weight
            following = next(requests, None)
            if following is None:
                heapq.heappop(turns)
                continue
            turn = (following.level, after, next(numbers), following, flow, requests)
            heapq.heapreplace(turns, turn)

    def ahead_of(self, request: QueuedRequest, now: float) -> PrecedingWork:
        """Return the requests that precede a request, which need not wait here."""
        self._advance(now)
        self._rank(request, now)
        return self._ahead(request)

    def expected_wait_s(self, request: QueuedRequest, now: float, drain: QueueDrain) -> float:
        """Return the expected wait of a request that arrives now."""
        self._advance(now)
        self._rank(request, now)
        return admission.expected_wait_s(self._load(request, drain)[0])

    def expire(self, now: float, drain: QueueDrain) -> list[tuple[QueuedRequest, Refused]]:
        """Remove requests that can no longer be served in time; return them with the reasons.

        The expected wait of each counts only the requests ahead of it that remain.
        """
        gone = []
        ahead = 0
        work_s = 0.0
        slots = max(drain.slots, admission.LEAST_SLOTS)
        for request in self.in_order(now):
            cost_s = self._flows[request.tenant].mean_cost_s + drain.extra_s
            wait_s = max((work_s + cost_s) / slots, (ahead + 1) * drain.least_gap_s)
            left_s = request.deadline_at - now
            if wait_s > _max_expected_wait_s(left_s, ahead, drain):
                retry_after_ms = admission.bounded_retry_ms(wait_s / 2)
                refused = Refused(RefusalReason.NO_TIME, wait_s, left_s, ahead, retry_after_ms)
                gone.append((request, refused))
                continue
            work_s += cost_s
            ahead += 1
        for request, _ in gone:
            self.remove(request)
        return gone

    def started(self, request: QueuedRequest, waited: bool = False) -> None:
        """Charge a request that gets a slot.

        :param waited: whether it was dequeued. The virtual time of new tenants then starts at its
            start, so that they do not precede requests that have waited longer
        """
        flow = self._flow(request.tenant)
        start = max(flow.virtual_time, self._virtual_time)
        self._virtual_time = start if waited else self._virtual_time
        request.cost_s = flow.mean_cost_s
        flow.virtual_time = start + request.cost_s / flow.weight

    def finished(self, request: QueuedRequest, used_s: float) -> None:
        """Correct a request's charge to the slot time that it used."""
        flow = self._flow(request.tenant)
        corrected = flow.virtual_time + (used_s - request.cost_s) / flow.weight
        flow.virtual_time = min(corrected, self._virtual_time + DEBT_LIMIT_S)
        flow.learn_cost(used_s)
        self._mean_cost_s += COST_SMOOTHING * (flow.mean_cost_s - self._mean_cost_s)

    def drain(self) -> list[QueuedRequest]:
        """Remove all requests."""
        return [
            request for tenant in self.waiting_tenants() for request in self.drain_tenant(tenant)
        ]

    def drain_tenant(self, tenant: str | None) -> list[QueuedRequest]:
        """Remove the requests of one tenant."""
        flow = self._active.get(tenant)
        requests = list(flow.in_order()) if flow is not None else []
        for request in requests:
            self.remove(request)
        return requests

    def _enqueue(self, request: QueuedRequest, now: float, drain: QueueDrain) -> None:
        work_s = self._flow(request.tenant).mean_cost_s + drain.extra_s
        self._urgent.record_arrival(request.priority, work_s, now)
        self.place(request, now)

    def _load(
        self, request: QueuedRequest, drain: QueueDrain
    ) -> tuple[admission.QueueLoad, PrecedingWork]:
        ahead = self._ahead(request)
        flow = self._flow(request.tenant)
        limited = self._length if drain.waiting_limit else flow.count_of_priority(request.priority)
        load = admission.QueueLoad(
            limited,
            flow.mean_cost_s + drain.extra_s,
            drain.slots,
            drain.connections,
            ahead.work_s + ahead.count * drain.extra_s,
            drain.waiting_limit,
        )
        return load, ahead

    def _ahead(self, request: QueuedRequest) -> PrecedingWork:
        """Count the requests that precede a ranked request, of its tenant and of the others."""
        own = self._flow(request.tenant)
        count = own.count_before(request)
        work_s = count * own.mean_cost_s
        virtual_time = max(own.virtual_time, self._virtual_time) + work_s / own.weight
        for tenant, flow in self._active.items():
            if tenant == request.tenant:
                continue
            before = flow.count_above(request.level)
            turns = _turns_until(flow, virtual_time) - before
            before += max(0, min(RECURRENCE_FACTOR * flow.count_at(request.level), turns))
            count += before
            work_s += before * flow.mean_cost_s
        return PrecedingWork(count, work_s)

    def _request_to_displace(self, request: QueuedRequest) -> QueuedRequest | None:
        """Return the request to displace in favour of another one; None if there is none.

        Among equally urgent requests it is one of the tenant with the most waiting, so that a
        single tenant cannot occupy the whole queue.
        """
        if not self._active:
            return None
        own_waiting = self.waiting(request.tenant)
        least = max(self._active.values(), key=lambda flow: (flow.last().level, flow.waiting))
        last = least.last()
        is_behind = last.level > request.level
        has_more = last.level == request.level and least.waiting > own_waiting + 1
        return last if is_behind or has_more else None

    def _flow(self, tenant: str | None) -> TenantFlow:
        flow = self._flows.get(tenant)
        if flow is None:
            flow = self._flows[tenant] = TenantFlow(1, self._mean_cost_s)
        return flow

    def _rank(self, request: QueuedRequest, now: float) -> float:
        if not request.is_waiting:
            request.number = next(self._numbers)
        return request.rank(now, self._flow(request.tenant).mean_cost_s)

    def _watch(self, request: QueuedRequest, changes_at: float) -> None:
        if changes_at < math.inf:
            heapq.heappush(self._changes, (changes_at, request.number, request))

    def _advance(self, now: float) -> None:
        """Re-rank requests whose level or lateness has changed with time."""
        while self._changes and self._changes[0][0] <= now:
            _, number, request = heapq.heappop(self._changes)
            if not request.is_waiting or number != request.number:
                continue
            flow = self._flows[request.tenant]
            flow.discard(request)
            changes_at = self._rank(request, now)
            flow.add(request)
            self._watch(request, changes_at)


def _max_expected_wait_s(left_s: float, ahead: int, drain: QueueDrain) -> float:
    """Return the longest expected wait at which a request may still be served in time."""
    return left_s * (1.0 + VARIATION_WEIGHT * drain.variation / math.sqrt(ahead + 1))


def _turns_until(flow: TenantFlow, virtual_time: float) -> int:
    """Return how many requests of a tenant start before a virtual time."""
    gap = virtual_time - flow.virtual_time
    if gap < 0.0:
        return 0
    return int(gap * flow.weight / flow.mean_cost_s) + 1
