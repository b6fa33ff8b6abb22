"""Counts bytes by what they are for and how far they go: between regions they cost most."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol


class Purpose(enum.StrEnum):
    """What bytes are sent for."""

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
    """Which way bytes went; links count what they send, as the other end counts the rest."""

    OUT = "out"
    IN = "in"


class Distance(enum.StrEnum):
    """How far the other end is."""

    SAME_ZONE = "same-zone"
    SAME_REGION = "same-region"
    OTHER_REGION = "other-region"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Place:
    """Where a process runs; empty where that is not known."""

    zone: str = ""
    region: str = ""

    def distance_to(self, other: Place) -> Distance:
        """Return how far another place is."""
        if self.zone and self.zone == other.zone:
            return Distance.SAME_ZONE
        if not (self.region and other.region):
            return Distance.UNKNOWN
        return Distance.SAME_REGION if self.region == other.region else Distance.OTHER_REGION


class TrafficMeter(Protocol):
    """Takes the sizes of what is sent and received."""

    def count(self, purpose: Purpose, distance: Distance, direction: Direction, size: int) -> None:
        """Count ``size`` bytes."""


class NoMeter:
    """Counts nothing."""

    def count(self, purpose: Purpose, distance: Distance, direction: Direction, size: int) -> None:
        """Do nothing."""


NO_METER = NoMeter()
_LAST_KIND_OF_PURPOSE = (
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
"""By ascending kinds of messages, as docs/ARCHITECTURE.md lists them."""


def purpose_of_kind(kind: int) -> Purpose:
    """Return what messages of a kind are sent for."""
    for last_kind, purpose in _LAST_KIND_OF_PURPOSE:
        if kind <= last_kind:
            return purpose
    return Purpose.OTHER
