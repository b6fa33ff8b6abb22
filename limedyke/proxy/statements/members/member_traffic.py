"""Counts the bytes between a proxy and one member."""

from __future__ import annotations

from collections.abc import Callable

from limedyke.transport.traffic import NO_METER, Direction, Distance, Purpose, TrafficMeter


class MemberTraffic:
    """Counts the bytes of all connections to one member.

    :param distance: returns the distance to the member; called on first use, until it is known
    """

    def __init__(self, meter: TrafficMeter, distance: Callable[[], Distance]) -> None:
        self._meter = meter
        self._find_distance = distance
        self._distance = Distance.UNKNOWN

    def sent(self, purpose: Purpose, size: int) -> None:
        """Count bytes sent to the member."""
        self._meter.count(purpose, self._known_distance(), Direction.OUT, size)

    def received(self, purpose: Purpose, size: int) -> None:
        """Count bytes received from the member."""
        self._meter.count(purpose, self._known_distance(), Direction.IN, size)

    def _known_distance(self) -> Distance:
        if self._distance is Distance.UNKNOWN:
            self._distance = self._find_distance()
        return self._distance


UNCOUNTED = MemberTraffic(NO_METER, lambda: Distance.UNKNOWN)
