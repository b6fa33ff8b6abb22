"""Loopback addresses of a fleet, chosen so that concurrent fleets do not collide."""

from __future__ import annotations

import socket
from dataclasses import dataclass

FIRST_OCTETS = (1, *range(21, 200, 2))
"""Candidates for the second octet of real addresses; the advertised ones use the next octet."""
LOCK_PORT = 4_999

CLIENT_PORT = 6_432
LINK_PORT = 7_100
CONTROLLER_PORT = 7_000
STATUS_PORT = 7_001
MEMBER_PORT = 5_432
RELAY_CONTROL_PORT = 9_000
PLATFORM_PORT = 8_080

CONTROLLER_HOST = 1
PROXY_HOST = 10
MEMBER_HOST = 100
RELAY_HOST = 250
PLATFORM_HOST = 251


class NoFreeAddressesError(Exception):
    """Every candidate range of loopback addresses is in use."""


@dataclass(frozen=True, slots=True)
class AddressPlan:
    """Addresses of one fleet: relays forward ``127.<advertised>.z.n`` to ``127.<real>.z.n``.

    :param relayed: whether nodes are reached through relays or at their real addresses
    """

    real_octet: int
    relayed: bool = True

    @property
    def advertised_octet(self) -> int:
        """Second octet of the addresses at which the relays listen."""
        return self.real_octet + self.relayed

    def real_ip(self, zone: int, host: int) -> str:
        """Return the address a process listens on and connects from."""
        return f"127.{self.real_octet}.{zone}.{host}"

    def advertised_ip(self, zone: int, host: int) -> str:
        """Return the address at which others reach a process through the relay."""
        return f"127.{self.advertised_octet}.{zone}.{host}"


class AddressLock:
    """Reserves an address range by binding a socket, which the kernel frees on exit."""

    def __init__(self) -> None:
        self._socket: socket.socket | None = None

    def acquire(self) -> AddressPlan:
        """Reserve the first free range.

        :raises NoFreeAddressesError: when there is none
        """
        for octet in FIRST_OCTETS:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                sock.bind((f"127.{octet}.0.1", LOCK_PORT))
                sock.listen(1)
            except OSError:
                sock.close()
                continue
            self._socket = sock
            return AddressPlan(octet)
        raise NoFreeAddressesError("no free range of loopback addresses")

    def release(self) -> None:
        """Release the range; may be called twice."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None
