"""Accepts connections on a listening socket, and closes the socket without losing any of them.

For the client a connection is established when the kernel's SYN-ACK arrives; for the listener only
when the client's ACK arrives, and then it may wait in the accept queue. Closing the listener resets
connections in both of these states, and requests already sent on them are lost without an answer.
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

ACCEPT_RETRY_DELAY_S = 0.1
"""Delay after a failed accept. Most failures are a lack of file descriptors, which become free when
statements of some tens of milliseconds end."""
MINIMUM_HANDSHAKE_WAIT_S = 0.02
"""Minimum wait for pending handshakes. They take 0.1 ms on loopback, and a busy machine may delay a
process by some milliseconds."""
HANDSHAKE_WAIT_ROUND_TRIPS = 2.0
"""From the SYN-ACK on, a handshake takes one round trip; the second one allows for variance."""
MAXIMUM_HANDSHAKE_WAIT_S = 0.2
"""Maximum wait for pending handshakes, so that a few distant clients don't delay all others:
clients refused during the wait retry only after 1 s. Five round trips between regions that are
20 ms apart one way."""
POLL_INTERVAL_S = 0.005

Admit = Callable[[socket.socket], Awaitable[None]]


class Acceptor:
    """Passes each connection to ``admit``, which must not block.

    :param events: event log of the component that owns the listener
    """

    def __init__(self, listener: socket.socket, admit: Admit, events: EventLog) -> None:
        self._listener = listener
        self._admit = admit
        self._events = events
        self._accept_task: curio.Task | None = None
        self._maximum_round_trip_s = 0.0

    async def run(self) -> None:
        """Run until cancelled; accept connections until ``close`` is called."""
        self._accept_task = await curio.spawn(self._accept)
        try:
            await self._accept_task.wait()
            await curio.Event().wait()
        finally:
            await self._accept_task.cancel()
            await self._listener.close()

    async def close(self) -> None:
        """Stop listening, and admit only the connections that are established for their clients.

        Waits for pending handshakes. Clients that try to connect during the wait are refused at
        their next attempt, 1 s later.
        """
        if self._accept_task is not None:
            await self._accept_task.cancel()
        with self._listener.blocking() as raw:
            raw.setblocking(False)
            if self._drop_syn_packets(raw):
                await self._admit_pending_handshakes(raw)
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
                await curio.sleep(ACCEPT_RETRY_DELAY_S)
                continue
            round_trip = round_trip_s(connection)
            self._maximum_round_trip_s = max(self._maximum_round_trip_s, round_trip)
            await self._admit(connection)

    async def _admit_pending_handshakes(self, raw: socket.socket) -> None:
        """Admit connections whose handshakes are pending.

        The number of polls is fixed, so that a pause of the process doesn't shorten the wait.
        """
        for _ in range(math.ceil(self._handshake_wait_s() / POLL_INTERVAL_S)):
            for connection in self._accept_all(raw):
                await self._admit(Socket(connection))
            await curio.sleep(POLL_INTERVAL_S)

    def _accept_all(self, raw: socket.socket) -> Iterator[socket.socket]:
        """Accept all queued connections."""
        while True:
            try:
                connection, _ = raw.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self._events.warning("accept-failed", reason=error)
                return
            yield connection

    def _handshake_wait_s(self) -> float:
        """Return how long to wait for pending handshakes, in seconds."""
        expected_s = HANDSHAKE_WAIT_ROUND_TRIPS * self._maximum_round_trip_s
        return min(max(expected_s, MINIMUM_HANDSHAKE_WAIT_S), MAXIMUM_HANDSHAKE_WAIT_S)

    def _drop_syn_packets(self, raw: socket.socket) -> bool:
        """Make the kernel drop SYN packets; tell whether it does.

        Otherwise a handshake may be pending at any time at which the listener is closed.
        """
        try:
            drop_syn_packets(raw)
        except OSError as error:
            self._events.info("no-packet-filter", reason=error)
            return False
        return True
