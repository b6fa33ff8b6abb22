"""Zones, network delays and group sizes of the lab's two geographies.

All delays are one way and in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

CLIENT = "clients"
"""Place name used for all source addresses that belong to no node."""


@dataclass(frozen=True, slots=True)
class Zone:
    """A zone and its region; ``number`` is the third octet of its addresses."""

    name: str
    region: str
    number: int


@dataclass(frozen=True, slots=True)
class GroupSize:
    """Size of one database group.

    :param slots: statements a member executes at once
    :param connection_limit: connections a member accepts
    :param connect_delay_ms: time a member takes to open a connection
    """

    members: int
    slots: int
    connection_limit: int
    connect_delay_ms: int


@dataclass(frozen=True, slots=True)
class Geography:
    """Zones, the delays between them, and the database groups located there."""

    name: str
    zones: tuple[Zone, ...]
    between_zones_ms: float
    between_regions_ms: float
    to_clients_ms: float
    groups: tuple[str, ...]
    group_size: GroupSize

    def without_delays(self) -> Geography:
        """Return a copy of the geography without delays."""
        return replace(self, between_zones_ms=0.0, between_regions_ms=0.0, to_clients_ms=0.0)

    def zone(self, name: str) -> Zone:
        """Return the zone with a name.

        :raises KeyError: when there is none
        """
        for zone in self.zones:
            if zone.name == name:
                return zone
        raise KeyError(name)

    def delay_ms(self, source: str, destination: str) -> float:
        """Return the one-way delay between two places, each a zone name or ``CLIENT``."""
        if source == destination:
            return 0.0
        if CLIENT in (source, destination):
            return self.to_clients_ms
        if self.zone(source).region == self.zone(destination).region:
            return self.between_zones_ms
        return self.between_regions_ms


def _zones(*names: str) -> tuple[Zone, ...]:
    return tuple(Zone(name, f"region-{name}", number) for number, name in enumerate(names, 1))


OSTMARK = Geography(
    name="ostmark",
    zones=_zones("wien", "graz", "linz"),
    between_zones_ms=1.5,
    between_regions_ms=20.0,
    to_clients_ms=3.0,
    groups=("catchup-1", "catchup-2", "catchup-3"),
    group_size=GroupSize(members=3, slots=5, connection_limit=40, connect_delay_ms=10),
)

COLD_CHAIN = Geography(
    name="cold-chain",
    zones=_zones("brno", "praha", "ostrava"),
    between_zones_ms=0.5,
    between_regions_ms=8.0,
    to_clients_ms=3.0,
    groups=("telemetry-1", "telemetry-2", "telemetry-3"),
    group_size=GroupSize(members=3, slots=10, connection_limit=100, connect_delay_ms=10),
)

GEOGRAPHIES = {geography.name: geography for geography in (OSTMARK, COLD_CHAIN)}
