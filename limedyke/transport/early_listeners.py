"""Sockets that listen before the rest of a program is imported.

Importing the modules of a proxy takes some tenths of a second. Clients that connect during that
time would be refused, and most of them have no second address to try; with an early listener they
wait in the backlog until the proxy accepts them. This module has no slow imports, so that a program
can import it first.
"""

from __future__ import annotations

import socket

LISTEN_BACKLOG = 1_024

_listening: dict[str, socket.socket] = {}


def listen_early(address: str) -> None:
    """Listen at an address; ``take_listener`` hands over the socket.

    Errors are ignored here, as the later owner of the address tries again and reports them.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, int(port)))
        sock.listen(LISTEN_BACKLOG)
    except (OSError, ValueError):
        sock.close()
        return
    _listening[address] = sock


def take_listener(address: str) -> socket.socket | None:
    """Remove and return the early listener of an address; None if there is none."""
    return _listening.pop(address, None)
