"""What a queue is told of its member, and what it answers to a request that comes."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedyke.core.queueing.queued_request import QueuedRequest


@dataclass(frozen=True, slots=True)
class QueueDrain:
    """How fast a queue gets shorter.

    :param slots: requests that are served at once
    :param connections: that the tenant has at the member: they bound how many of it wait
    :param extra_s: what each turn takes beside the request's slot time, such as to open a
        connection
    :param waiting_limit: bounds how many wait in all; 0 for no such bound
    :param variation: how much the time between two turns varies, as a share of it
    """

    slots: float
    connections: int
    extra_s: float = 0.0
    waiting_limit: int = 0
    variation: float = 0.0


ROOM_SHARE = 0.8
"""A request that comes back when its wait takes so much of its time is likely to be served."""


class RefusalReason(enum.StrEnum):
    """Why a request may not wait, or wait any longer."""

    NO_TIME = "no-turn-in-time"
    FULL = "queue-full"
    DISPLACED = "displaced"


@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits.

    :param displaced: less urgent ones that wait no longer, in its favour; they are to be told
    """

    displaced: tuple[QueuedRequest, ...] = ()


@dataclass(frozen=True, slots=True)
class Refused:
    """The request doesn't wait.

    :param expected_wait_s: how long it would
    :param time_left_s: how long it might
    :param ahead: how many go before it
    :param retry_after_ms: when half of the tenant's queue is expected to be gone
    """

    reason: RefusalReason
    expected_wait_s: float
    time_left_s: float
    ahead: int
    retry_after_ms: int = 0

    @property
    def retry_likely_in_s(self) -> float:
        """When a request like it is likely to be served, if nothing else comes."""
        if self.reason is not RefusalReason.NO_TIME:
            return 0.0
        return max(0.0, self.expected_wait_s - ROOM_SHARE * max(0.0, self.time_left_s))


@dataclass(frozen=True, slots=True)
class Ahead:
    """What goes before a request.

    :param work_s: the slot time that it takes
    """

    count: int
    work_s: float
