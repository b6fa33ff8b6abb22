"""Sockets that listen before the rest of a process is loaded.

Loading takes a proxy some tenths of a second. Who connects meanwhile would be refused, and most
clients have no second address to go to; here they wait in the backlog and are served when the
process is there. This module loads nothing that takes time: a program may import it first of all.
"""

from __future__ import annotations

import socket

LISTEN_BACKLOG = 1_024

_listening: dict[str, socket.socket] = {}


def listen_early(address: str) -> None:
    """Listen at an address from now on; ``take_listener`` gives the socket away.

    An address that can't be had is left alone: who takes the listener tries again, and reports it.
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
    """Return the socket that listens at an address already, once; None when none does."""
    return _listening.pop(address, None)
