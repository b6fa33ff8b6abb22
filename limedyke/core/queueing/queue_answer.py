"""Parameters and results of the admission of a request to a member's queue."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedyke.core.queueing.queued_request import QueuedRequest


@dataclass(frozen=True, slots=True)
class QueueDrain:
    """How fast a queue drains.

    :param slots: number of requests served at once
    :param connections: the tenant's connections at the member; they bound its waiting requests
    :param extra_s: time per request in addition to its slot time, for example to open a connection
    :param waiting_limit: bounds all waiting requests; 0 for no such bound
    :param variation: variation of the time between two dequeued requests, relative to that time
    :param least_gap_s: least time between two turns as observed lately; 0 if unknown
    """

    slots: float
    connections: int
    extra_s: float = 0.0
    waiting_limit: int = 0
    variation: float = 0.0
    least_gap_s: float = 0.0


LIKELY_SERVED_SHARE = 0.8
"""A refused request that returns when its expected wait is this share of its time limit is likely
to be served."""


class RefusalReason(enum.StrEnum):
    """Why a request may not wait any longer, or not at all."""

    NO_TIME = "no-turn-in-time"
    FULL = "queue-full"
    DISPLACED = "displaced"


@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits.

    :param displaced: less urgent requests removed in its favour; the caller has to notify them
    """

    displaced: tuple[QueuedRequest, ...] = ()


@dataclass(frozen=True, slots=True)
class Refused:
    """The request does not wait.

    :param expected_wait_s: wait that was expected
    :param time_left_s: time left until the request's deadline
    :param ahead: number of requests that precede it
    :param retry_after_ms: time in which half of the tenant's queue is expected to drain
    """

    reason: RefusalReason
    expected_wait_s: float
    time_left_s: float
    ahead: int
    retry_after_ms: int = 0

    @property
    def retry_likely_in_s(self) -> float:
        """Seconds until a request like it is likely to be admitted, if no others arrive."""
        if self.reason is not RefusalReason.NO_TIME:
            return 0.0
        return max(0.0, self.expected_wait_s - LIKELY_SERVED_SHARE * max(0.0, self.time_left_s))


@dataclass(frozen=True, slots=True)
class PrecedingWork:
    """Requests that precede a given request.

    :param work_s: their total slot time
    """

    count: int
    work_s: float
