"""Replays a load on the request queue of a member in simulated time."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field

from limedyke.core.queueing.queue_answer import Queued, QueueDrain, RefusalReason
from limedyke.core.queueing.queued_request import AGEING_STEP_S, QueuedRequest
from limedyke.core.queueing.request_queue import RequestQueue

EXPIRY_INTERVAL_S = 0.02


@dataclass
class RequestOutcome:
    """When a request was served or refused, and the reason of a refusal."""

    request: QueuedRequest
    at: float
    reason: RefusalReason | None = None
    was_queued: bool = True

    @property
    def waited_s(self) -> float:
        """Time until it was served or refused."""
        return self.at - self.request.arrived_at


@dataclass
class QueueReplay:
    """A member with a number of slots and a constant service time.

    :ivar was_idle_while_waiting: whether a slot was free while a request waited
    :ivar inversions: requests served before a waiting one that was more urgent after ageing
    """

    slots: int
    service_s: float
    change_s: float
    served: list[RequestOutcome] = field(default_factory=list)
    refused: list[RequestOutcome] = field(default_factory=list)
    was_idle_while_waiting: bool = False
    inversions: int = 0
    arrivals: list[QueuedRequest] = field(default_factory=list)
    slots_at: list[tuple[float, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.queue = RequestQueue(self.service_s)
        self._busy = 0
        self._last: list[str] = []
        self._waiting: set[QueuedRequest] = set()

    def drain(self) -> QueueDrain:
        """Return the member's parameters for the queue."""
        return QueueDrain(self.slots, self.slots, self.change_s, waiting_limit=10_000)

    def run(self) -> None:
        """Serve the whole load."""
        numbers = itertools.count()
        events = [(r.arrived_at, next(numbers), "arrives", r) for r in self.arrivals]
        events += [(at, next(numbers), "slots", slots) for at, slots in self.slots_at]
        heapq.heapify(events)
        expire_at = 0.0
        while events:
            now, _, what, subject = heapq.heappop(events)
            if what == "arrives":
                self._arrive(subject, now)
            elif what == "slots":
                self.slots = subject
            else:
                self._busy -= 1
                self._last.append(subject.tenant)
                self.queue.finished(subject, self.service_s)
            if what == "slots" or now >= expire_at:
                expire_at = now + EXPIRY_INTERVAL_S
                self._expire(now)
            for ends_at, request in self._serve(now):
                heapq.heappush(events, (ends_at, next(numbers), "ends", request))

    def _arrive(self, request: QueuedRequest, now: float) -> None:
        if self._busy < self.slots and not self.queue:
            self.queue.place(request, now)
            self._waiting.add(request)
            return
        answer = self.queue.push(request, now, self.drain())
        if not isinstance(answer, Queued):
            self.refused.append(RequestOutcome(request, now, answer.reason, was_queued=False))
            return
        self._waiting.add(request)
        for displaced in answer.displaced:
            self._waiting.discard(displaced)
            self.refused.append(RequestOutcome(displaced, now, RefusalReason.DISPLACED))

    def _expire(self, now: float) -> None:
        for request, refused in self.queue.expire(now, self.drain()):
            self._waiting.discard(request)
            self.refused.append(RequestOutcome(request, now, refused.reason))

    def _serve(self, now: float):
        while self._busy < self.slots:
            request = self.queue.pop(now, lambda tenant: True)
            if request is None:
                self.was_idle_while_waiting = self.was_idle_while_waiting or bool(self._waiting)
                return
            self._waiting.discard(request)
            aged = _aged_priority(request, now)
            self.inversions += any(_aged_priority(other, now) < aged for other in self._waiting)
            self.served.append(RequestOutcome(request, now))
            self._busy += 1
            is_same = bool(self._last) and self._last.pop() == request.tenant
            yield now + self.service_s + (0.0 if is_same else self.change_s), request


def _aged_priority(request: QueuedRequest, now: float) -> int:
    return max(0, request.priority - int((now - request.arrived_at) / AGEING_STEP_S))
