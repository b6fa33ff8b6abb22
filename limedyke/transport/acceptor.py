"""Lets connections in at a listening socket, and ends that without losing one.

A connection is open for its caller as soon as the kernel has answered its request for one; for the
listener it is there one way later, when the caller's confirmation has come, and it may be queued
then. Closing the listener resets both kinds, and a call that was sent on them is lost without an
answer.
"""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Iterator

import curio
from curio import socket
from curio.io import Socket

from limedyke.event_log import EventLog
from limedyke.transport.listener_filter import drop_syn_packets
from limedyke.transport.round_trip import round_trip_s

ACCEPT_PAUSE_S = 0.1
"""After a failure to accept: most are a lack of file descriptors, which come free as statements of
some tens of milliseconds end."""
LEAST_HANDSHAKE_S = 0.02
"""Handshakes under way are waited for so long at least: on loopback they take 0.1 ms, and a busy
machine was seen to let a process wait for some milliseconds."""
ROUND_TRIPS_WAITED = 2.0
"""A handshake takes one round trip from the listener's answer on; one more for its spread."""
LONGEST_HANDSHAKE_S = 0.2
"""Callers that are refused meanwhile ask again after 1 s only: a few far ones must not make that
long for all. Five round trips between regions of 20 ms one way."""
LOOK_S = 0.005

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
        self._longest_round_trip_s = 0.0

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
        """Let nobody in any more but those whose connections are open for them already.

        Takes as long as a handshake; those who ask for a connection meanwhile are refused at their
        next try, 1 s later.
        """
        if self._accepting is not None:
            await self._accepting.cancel()
        with self._listener.blocking() as raw:
            raw.setblocking(False)
            if self._drops_requests(raw):
                await self._accept_handshakes(raw)
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
            round_trip = round_trip_s(connection)
            self._longest_round_trip_s = max(self._longest_round_trip_s, round_trip)
            await self._admit(connection)

    async def _accept_handshakes(self, raw: socket.socket) -> None:
        """Let in whose handshakes are under way; looks are counted, in case the process pauses."""
        for _ in range(math.ceil(self._handshake_s() / LOOK_S)):
            for connection in self._accept_all(raw):
                await self._admit(Socket(connection))
            await curio.sleep(LOOK_S)

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

    def _handshake_s(self) -> float:
        """Return how long a handshake that is under way may take."""
        expected_s = ROUND_TRIPS_WAITED * self._longest_round_trip_s
        return min(max(expected_s, LEAST_HANDSHAKE_S), LONGEST_HANDSHAKE_S)

    def _drops_requests(self, raw: socket.socket) -> bool:
        """Have the kernel drop requests for connections; tell whether it does.

        Without this one may be under way at any moment at which the listener closes.
        """
        try:
            drop_syn_packets(raw)
        except OSError as error:
            self._events.info("no-packet-filter", reason=error)
            return False
        return True
