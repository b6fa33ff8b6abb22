"""Commands to the relays of a fleet: cuts, heals, delays and kills."""

from __future__ import annotations

import json
import socket

from limedyke.addresses import split_address

CONTROL_TIMEOUT_S = 5.0


class RelayCommandError(Exception):
    """A relay refused a command or did not respond."""


def send_command(address: str, command: dict) -> dict:
    """Send one command to one relay and return its response.

    :raises RelayCommandError: when the command is refused or the relay is unreachable
    """
    try:
        with socket.create_connection(split_address(address), CONTROL_TIMEOUT_S) as sock:
            sock.sendall(json.dumps(command).encode() + b"\n")
            with sock.makefile("rb") as answers:
                answer = json.loads(answers.readline())
    except (OSError, ValueError) as error:
        raise RelayCommandError(f"{address}: {error}") from error
    if not answer.get("ok"):
        raise RelayCommandError(f"{address}: {answer}")
    return answer


class RelayControl:
    """Sends each command to every relay of the fleet.

    A place is a node's name, a zone's name, ``clients`` or ``*``.
    """

    def __init__(self, addresses: tuple[str, ...]) -> None:
        self._addresses = addresses

    def _send_all(self, **command: object) -> list[dict]:
        return [send_command(address, command) for address in self._addresses]

    def cut_one_way(self, source: str, destination: str) -> None:
        """Block all traffic from ``source`` to ``destination``."""
        self._send_all(do="cut", source=source, destination=destination)

    def cut(self, first: str, second: str) -> None:
        """Block all traffic between two places in both directions."""
        self.cut_one_way(first, second)
        self.cut_one_way(second, first)

    def heal_one_way(self, source: str, destination: str) -> None:
        """Undo ``cut_one_way``."""
        self._send_all(do="heal", source=source, destination=destination)

    def heal(self, first: str, second: str) -> None:
        """Undo ``cut``."""
        self.heal_one_way(first, second)
        self.heal_one_way(second, first)

    def heal_all(self) -> None:
        """Undo every cut."""
        self._send_all(do="heal-all")

    def set_delay_ms(self, source: str, destination: str, delay_ms: float) -> None:
        """Change the one-way delay between two zones (or ``clients``)."""
        self._send_all(do="delay", source=source, destination=destination, ms=delay_ms)

    def kill_connections(self, source: str, destination: str) -> int:
        """Reset the open connections from ``source`` to ``destination``; return their number."""
        answers = self._send_all(do="kill", source=source, destination=destination)
        return sum(answer["killed"] for answer in answers)

    def connections(self) -> int:
        """Return the number of connections that the relays carry."""
        return sum(answer["connections"] for answer in self._send_all(do="status"))
