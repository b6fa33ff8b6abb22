"""Counts traffic by purpose and distance; traffic between regions costs most."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol


class Purpose(enum.StrEnum):
    """The purpose for which bytes are sent."""

    HANDSHAKE = "handshake"
    STATE = "state"
    LEASES = "leases"
    FAILOVER = "failover"
    OPERATORS = "operators"
    FORWARDING = "forwarding"
    AGREEMENT = "agreement"
    CALLS = "calls"
    STATEMENTS = "statements"
    QUESTIONS = "questions"
    OTHER = "other"


class Direction(enum.StrEnum):
    """The direction of traffic; a link counts only sent bytes, as its peer counts the others."""

    OUT = "out"
    IN = "in"


class Distance(enum.StrEnum):
    """The distance to the peer."""

    SAME_ZONE = "same-zone"
    SAME_REGION = "same-region"
    OTHER_REGION = "other-region"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Place:
    """The zone and region of a process; empty if unknown."""

    zone: str = ""
    region: str = ""

    def distance_to(self, other: Place) -> Distance:
        """Return the distance to another place."""
        if self.zone and self.zone == other.zone:
            return Distance.SAME_ZONE
        if not (self.region and other.region):
            return Distance.UNKNOWN
        return Distance.SAME_REGION if self.region == other.region else Distance.OTHER_REGION


class TrafficMeter(Protocol):
    """Counts the sizes of sent and received data."""

    def count(self, purpose: Purpose, distance: Distance, direction: Direction, size: int) -> None:
        """Count ``size`` bytes."""


class NoMeter:
    """Counts nothing."""

    def count(self, purpose: Purpose, distance: Distance, direction: Direction, size: int) -> None:
        """Do nothing."""


NO_METER = NoMeter()
_PURPOSE_RANGES = (
    (9, Purpose.STATE),
    (19, Purpose.HANDSHAKE),
    (25, Purpose.STATE),
    (30, Purpose.LEASES),
    (36, Purpose.FAILOVER),
    (59, Purpose.STATE),
    (89, Purpose.OPERATORS),
    (99, Purpose.FORWARDING),
    (149, Purpose.AGREEMENT),
    (209, Purpose.STATE),
    (219, Purpose.FORWARDING),
    (229, Purpose.CALLS),
)
"""The last message kind of each range and its purpose, ascending, as in docs/ARCHITECTURE.md."""


def purpose_of_kind(kind: int) -> Purpose:
    """Return the purpose of messages of this kind."""
    for last_kind, purpose in _PURPOSE_RANGES:
        if kind <= last_kind:
            return purpose
    return Purpose.OTHER
