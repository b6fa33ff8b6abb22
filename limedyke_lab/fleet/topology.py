"""Nodes of a fleet with their zones and addresses."""

from __future__ import annotations

from dataclasses import dataclass

from limedyke_lab.fleet.addresses import (
    CLIENT_PORT,
    CONTROLLER_HOST,
    CONTROLLER_PORT,
    LINK_PORT,
    MEMBER_HOST,
    MEMBER_PORT,
    PLATFORM_HOST,
    PLATFORM_PORT,
    PROXY_HOST,
    RELAY_CONTROL_PORT,
    RELAY_HOST,
    STATUS_PORT,
    AddressPlan,
)
from limedyke_lab.geography import CLIENT, Geography, Zone

MEMBER_LETTERS = "abcdefghi"


@dataclass(frozen=True, slots=True)
class Node:
    """A process of the fleet that other processes reach through a relay.

    :param ports: its listening ports; the first one is the main port
    """

    name: str
    zone: Zone
    ip: str
    advertised_ip: str
    ports: tuple[int, ...]

    @property
    def listen(self) -> str:
        """Real address of the main port."""
        return f"{self.ip}:{self.ports[0]}"

    @property
    def advertise(self) -> str:
        """Address of the main port through the relay."""
        return f"{self.advertised_ip}:{self.ports[0]}"

    @property
    def status(self) -> str:
        """Address of the status pages, not relayed."""
        return f"{self.ip}:{STATUS_PORT}"


@dataclass(frozen=True, slots=True)
class MemberNode:
    """A database member: its node, group and whether it starts as primary."""

    node: Node
    group: str
    initial_primary: bool


@dataclass(frozen=True, slots=True)
class Topology:
    """All nodes of a fleet."""

    geography: Geography
    addresses: AddressPlan
    controllers: tuple[Node, ...]
    proxies: tuple[Node, ...]
    members: tuple[MemberNode, ...]

    @property
    def nodes(self) -> tuple[Node, ...]:
        """All nodes that are reached through relays."""
        return (*self.controllers, *self.proxies, *(member.node for member in self.members))

    def members_of(self, group: str) -> tuple[MemberNode, ...]:
        """Return the members of a group."""
        return tuple(member for member in self.members if member.group == group)

    def relay_control(self, zone: Zone) -> str:
        """Return the control address of the relay of a zone."""
        return f"{self.addresses.real_ip(zone.number, RELAY_HOST)}:{RELAY_CONTROL_PORT}"

    @property
    def platform(self) -> str:
        """Address of the platform's list of machines."""
        return f"{self.addresses.real_ip(1, PLATFORM_HOST)}:{PLATFORM_PORT}"

    def delays_ms(self) -> dict[str, float]:
        """Return the one-way delay of each ordered pair of places, for the relays."""
        places = [zone.name for zone in self.geography.zones] + [CLIENT]
        return {
            f"{source} {destination}": self.geography.delay_ms(source, destination)
            for source in places
            for destination in places
        }


def build_topology(
    geography: Geography, addresses: AddressPlan, controllers: int, proxies: int
) -> Topology:
    """Build a topology; processes of each kind, and members of a group, take the zones in turn."""

    def node(name: str, index: int, host: int, *ports: int) -> Node:
        zone = geography.zones[index % len(geography.zones)]
        real = addresses.real_ip(zone.number, host)
        return Node(name, zone, real, addresses.advertised_ip(zone.number, host), ports)

    return Topology(
        geography=geography,
        addresses=addresses,
        controllers=tuple(
            node(f"controller-{index + 1}", index, CONTROLLER_HOST + index, CONTROLLER_PORT)
            for index in range(controllers)
        ),
        proxies=tuple(
            node(f"proxy-{index + 1}", index, PROXY_HOST + index, CLIENT_PORT, LINK_PORT)
            for index in range(proxies)
        ),
        members=tuple(
            MemberNode(
                node(f"{group}-{MEMBER_LETTERS[index]}", index, MEMBER_HOST + number, MEMBER_PORT),
                group,
                initial_primary=index == number % geography.group_size.members,
            )
            for number, group in enumerate(geography.groups)
            for index in range(geography.group_size.members)
        ),
    )
