"""Immediate decision whether a request may wait for a slot; sans-IO."""

from __future__ import annotations

import math
from dataclasses import dataclass

IN_TRANSIT_FACTOR = 8
NEAR_S = 0.005
"""Part of a round trip attributed to the processes themselves; only the rest is the network's."""
WAITING_PER_CONNECTION = 8
WAITING_MINIMUM = 16
LEAST_SLOTS = 0.1
"""Lower bound of the divisor of an expected wait: a slow member still serves some requests."""
MS_PER_S = 1_000
RETRY_MINIMUM_MS = 10
RETRY_MAXIMUM_MS = 10_000


@dataclass(frozen=True, slots=True)
class QueueLoad:
    """The load that a tenant's request would wait behind.

    :param waiting: requests that count against the limit: the tenant's, or all of them with a
        ``waiting_limit``
    :param mean_cost_s: slot time of one of the tenant's requests
    :param slots: requests served at once; below 1 at a member slower than usual
    :param connections: the tenant's connections at this member
    :param ahead_s: total slot time of the preceding requests, if these are not just ``waiting``
    :param waiting_limit: number of requests that may wait; 0 for the default by connections
    """

    waiting: int
    mean_cost_s: float
    slots: float
    connections: int
    ahead_s: float | None = None
    waiting_limit: int = 0


@dataclass(frozen=True, slots=True)
class Refusal:
    """The request may not wait; it may be retried after ``retry_after_ms``."""

    retry_after_ms: int


def in_flight_limit(slots: int, mean_s: float, round_trip_s: float) -> int:
    """Return how many requests may be under way so that about ``slots`` of them execute.

    The others are on the network.  Of the mean time under way, the part at the member is what the
    round trip does not explain.  When the member becomes slow that part grows, and the limit
    decreases towards the number of slots.

    :param mean_s: mean time that a request is under way; 0 if unknown
    :param round_trip_s: the network's part of it
    """
    on_network_s = max(0.0, round_trip_s - NEAR_S)
    at_member_s = max(mean_s - on_network_s, mean_s / IN_TRANSIT_FACTOR)
    if at_member_s <= 0.0:
        return slots
    return max(slots, int(slots * mean_s / at_member_s))


def expected_wait_s(load: QueueLoad) -> float:
    """Return how long a request that joins the queue now is expected to wait."""
    ahead_s = load.waiting * load.mean_cost_s if load.ahead_s is None else load.ahead_s
    return (ahead_s + load.mean_cost_s) / max(load.slots, LEAST_SLOTS)


def retry_after_ms(load: QueueLoad) -> int:
    """Return the time in which half of the tenant's queue is expected to drain."""
    return bounded_retry_ms(expected_wait_s(load) / 2)


def bounded_retry_ms(seconds: float) -> int:
    """Return a retry delay in milliseconds within the allowed range."""
    return min(max(math.ceil(seconds * MS_PER_S), RETRY_MINIMUM_MS), RETRY_MAXIMUM_MS)


def admit(load: QueueLoad, time_left_s: float) -> Refusal | None:
    """Decide about one request; None lets it wait.

    It is refused if the tenant's queue is full or the expected wait exceeds the time left.
    """
    usual_limit = max(WAITING_MINIMUM, WAITING_PER_CONNECTION * load.connections)
    limit = load.waiting_limit or usual_limit
    if load.waiting >= limit or expected_wait_s(load) > time_left_s:
        return Refusal(retry_after_ms(load))
    return None
