"""Closes a listening socket without resetting connections that callers hold for open.

A connection is open for its caller as soon as the kernel has queued it. Closing the listener resets
what is queued, and a call that was sent on it is lost without an answer.
"""

from __future__ import annotations

import ctypes
import struct
from collections.abc import Iterator

from curio import socket
from curio.io import Socket

from limedyke.event_log import EventLog

SO_ATTACH_FILTER = 26
"""Option of Linux that Python's ``socket`` does not name, from asm-generic/socket.h."""
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)
"""A packet filter of one instruction, "return 0": keep no byte of any packet."""
EVENTS = EventLog("listener")


async def close_listener(listener: socket.socket) -> list[socket.socket]:
    """Close a listener, and return the connections that were waiting to be accepted."""
    with listener.blocking() as raw:
        _queue_no_more(raw)
        raw.setblocking(False)
        waiting = [Socket(connection) for connection in _accept_all(raw)]
    await listener.close()
    return waiting


def _accept_all(raw: socket.socket) -> Iterator[socket.socket]:
    """Accept what is queued."""
    while True:
        try:
            connection, _ = raw.accept()
        except BlockingIOError:
            return
        except OSError as error:
            EVENTS.warning("accept-failed", reason=error)
            return
        yield connection


def _queue_no_more(raw: socket.socket) -> None:
    """Let the kernel drop requests for connections: their callers ask again, and are refused.

    Without this one may be queued between the last ``accept`` and the closing.
    """
    program = ctypes.create_string_buffer(DROP_ALL, len(DROP_ALL))
    filters = struct.pack("HP", 1, ctypes.addressof(program))
    try:
        raw.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, filters)
    except OSError as error:
        EVENTS.info("no-filter", reason=error)
