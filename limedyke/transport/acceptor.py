"""Lets connections in at a listening socket, and ends that without losing one.

A connection is open for its caller as soon as the kernel has queued it. Closing the listener resets
what is queued, and a call that was sent on it is lost without an answer.
"""

from __future__ import annotations

import ctypes
import struct
from collections.abc import Awaitable, Callable, Iterator

import curio
from curio import socket
from curio.io import Socket

from limedyke.event_log import EventLog

ACCEPT_PAUSE_S = 0.1
"""After a failure to accept: most are a lack of file descriptors, which come free as statements of
some tens of milliseconds end."""
SO_ATTACH_FILTER = 26
"""Option of Linux that Python's ``socket`` does not name, from asm-generic/socket.h."""
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)
"""A packet filter of one instruction, "return 0": keep no byte of any packet."""

Admit = Callable[[socket.socket], Awaitable[None]]


class Acceptor:
    """Hands each connection to ``admit``, which returns at once.

    :param events: log of the component that it serves
    """

    def __init__(self, listener: socket.socket, admit: Admit, events: EventLog) -> None:
        self._listener = listener
        self._admit = admit
        self._events = events
        self._accepting: curio.Task | None = None

    async def run(self) -> None:
        """Let connections in until cancelled; none any more once it is closed."""
        self._accepting = await curio.spawn(self._accept)
        try:
            await self._accepting.wait()
            await curio.Event().wait()
        finally:
            await self._accepting.cancel()
            await self._listener.close()

    async def close(self) -> None:
        """Let nobody in any more but those whose connections are open for them already."""
        if self._accepting is not None:
            await self._accepting.cancel()
        with self._listener.blocking() as raw:
            self._queue_no_more(raw)
            raw.setblocking(False)
            waiting = [Socket(connection) for connection in self._accept_all(raw)]
        await self._listener.close()
        for connection in waiting:
            await self._admit(connection)

    async def _accept(self) -> None:
        while True:
            try:
                connection, _ = await self._listener.accept()
            except OSError as error:
                self._events.warning("accept-failed", reason=error)
                await curio.sleep(ACCEPT_PAUSE_S)
                continue
            await self._admit(connection)

    def _accept_all(self, raw: socket.socket) -> Iterator[socket.socket]:
        """Accept what is queued."""
        while True:
            try:
                connection, _ = raw.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self._events.warning("accept-failed", reason=error)
                return
            yield connection

    def _queue_no_more(self, raw: socket.socket) -> None:
        """Let the kernel drop requests for connections: their callers ask again, and are refused.

        Without this one may be queued between the last ``accept`` and the closing.
        """
        program = ctypes.create_string_buffer(DROP_ALL, len(DROP_ALL))
        filters = struct.pack("HP", 1, ctypes.addressof(program))
        try:
            raw.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, filters)
        except OSError as error:
            self._events.info("no-packet-filter", reason=error)
