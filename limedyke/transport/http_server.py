"""A small HTTP/1.1 server for requests with bodies, based on h11 and curio, with fixed limits."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import curio
import h11
from curio import socket

from limedyke.event_log import EventLog
from limedyke.transport.acceptor import Acceptor

RECEIVE_BYTES = 64 * 1024
MAXIMUM_HEAD_BYTES = 16 * 1024
SEND_TIMEOUT_S = 10.0
FIRST_REQUEST_TIMEOUT_S = 1.0
"""While draining, how long a new connection is kept open for its first request. A garbage
collection can stop a client for up to 0.7 s on a machine with 20 runnable processes on 8 cores;
clients give up after 1 s."""
DRAIN_POLL_INTERVAL_S = 0.01
IDLE_POLLS_TO_DRAIN = 2
"""Consecutive polls without a request before draining ends. After a pause of this process longer
than ``FIRST_REQUEST_TIMEOUT_S``, requests that arrived meanwhile are read between two polls; for
lack of processor time a process can pause for 0.4 s."""
STATUS_BAD_REQUEST = 400
STATUS_TOO_LARGE = 413
STATUS_INTERNAL_ERROR = 500
EVENTS = EventLog("http-server")


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request; ``path`` excludes the query."""

    method: str
    path: str
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """The response to a request.

    :param headers: additional header fields, as pairs of name and value
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


HttpHandler = Callable[[HttpRequest], Awaitable[HttpAnswer]]


class _BodyTooLargeError(Exception):
    """The body of a request is larger than the limit."""


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of one server.

    :param body_bytes: maximum size of a request body
    :param idle_s: a connection is closed after so many seconds without a complete request
    :param connections: maximum number of open connections; at the limit, a new connection replaces
        the one that has been idle longest, or is closed at once if none is idle
    """

    body_bytes: int
    idle_s: float = 30.0
    connections: int = 512


class _Peer:
    """One open connection.

    :ivar idle_since: monotonic time in seconds since which the connection is idle; None while a
        request is received or answered
    :ivar is_new: whether no data has been received yet
    """

    def __init__(self, sock: socket.socket) -> None:
        self.socket = sock
        self.protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=MAXIMUM_HEAD_BYTES)
        self.idle_since: float | None = time.monotonic()
        self.is_new = True
        self.task: curio.Task | None = None

    async def next_event(self) -> h11.Event:
        """Return the next event of a request."""
        while True:
            event = self.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self.socket.recv(RECEIVE_BYTES)
            self.idle_since = None
            self.is_new = False
            self.protocol.receive_data(data)

    async def send(self, answer: HttpAnswer) -> None:
        """Send a complete response, if the protocol state still allows one."""
        protocol = self.protocol
        if protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [
            ("content-type", answer.content_type),
            ("content-length", str(len(answer.body))),
            *answer.headers,
        ]
        data = protocol.send(h11.Response(status_code=answer.status, headers=headers))
        if answer.body:
            data += protocol.send(h11.Data(data=answer.body))
        data += protocol.send(h11.EndOfMessage())
        async with curio.timeout_after(SEND_TIMEOUT_S):
            await self.socket.sendall(data)

    @property
    def expects_request(self) -> bool:
        """Whether a request is in progress, or expected soon on a new connection."""
        if self.idle_since is None:
            return True
        return self.is_new and time.monotonic() < self.idle_since + FIRST_REQUEST_TIMEOUT_S

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can be used for another request."""
        return self.protocol.our_state is h11.DONE and self.protocol.their_state is h11.DONE


class HttpServer:
    """Serves the requests of each connection one at a time.

    :param handler: returns the response to a request; it must not raise
    """

    def __init__(self, handler: HttpHandler, limits: HttpLimits) -> None:
        self._handler = handler
        self._limits = limits
        self._peers: set[_Peer] = set()
        self._acceptor: Acceptor | None = None
        self._is_draining = False

    async def run(self, listener: socket.socket) -> None:
        """Run until cancelled; accept connections until ``drain`` is called."""
        self._acceptor = Acceptor(listener, self._admit, EVENTS)
        await self._acceptor.run()

    async def drain(self) -> None:
        """Stop accepting connections, and return when all requests in progress are answered.

        Requests that arrive on open connections during this time are answered too. A process that
        exits without draining cuts off the requests it has received, and those that clients have
        sent on connections which aren't accepted yet.
        """
        self._is_draining = True
        closing = await curio.spawn(self._close_listener)
        idle_polls = 0
        while idle_polls < IDLE_POLLS_TO_DRAIN or not closing.terminated:
            await curio.sleep(DRAIN_POLL_INTERVAL_S)
            expects_request = any(peer.expects_request for peer in self._peers)
            idle_polls = 0 if expects_request else idle_polls + 1
        await closing.join()

    async def _close_listener(self) -> None:
        if self._acceptor is not None:
            await self._acceptor.close()

    async def _admit(self, sock: socket.socket) -> None:
        if len(self._peers) >= self._limits.connections and not await self._evict_idle_connection():
            await sock.close()
            return
        peer = _Peer(sock)
        self._peers.add(peer)
        peer.task = await curio.spawn(self._serve_peer, peer, daemon=True)

    async def _evict_idle_connection(self) -> bool:
        """Close the connection that has been idle longest; tell whether there was one.

        Clients that keep connections open and rarely use them must not block others: with 300
        machines, idle connections of members used up the limit, and no configuration was accepted.
        """
        idle = [peer for peer in self._peers if peer.idle_since is not None]
        if not idle:
            return False
        longest_idle = min(idle, key=lambda peer: peer.idle_since)
        self._peers.discard(longest_idle)
        await longest_idle.task.cancel(blocking=False)
        return True

    async def _serve_peer(self, peer: _Peer) -> None:
        try:
            while await self._serve_request(peer):
                peer.protocol.start_next_cycle()
        except (OSError, curio.TaskTimeout, h11.LocalProtocolError):
            return
        finally:
            self._peers.discard(peer)
            await peer.socket.close()

    async def _serve_request(self, peer: _Peer) -> bool:
        """Serve one request; tell whether the connection can be used for another."""
        peer.idle_since = time.monotonic()
        try:
            async with curio.timeout_after(self._limits.idle_s):
                request = await self._receive(peer)
        except h11.RemoteProtocolError as error:
            text = f"bad request: {error}\n".encode()
            await peer.send(HttpAnswer(STATUS_BAD_REQUEST, text, "text/plain"))
            return False
        except _BodyTooLargeError:
            await peer.send(HttpAnswer(STATUS_TOO_LARGE, b"", "text/plain"))
            return False
        if request is None:
            return False
        peer.idle_since = None
        await self._answer(peer, request)
        return peer.is_reusable

    async def _answer(self, peer: _Peer, request: HttpRequest) -> None:
        """Answer a request; while draining, tell the client that the connection will be closed."""
        answer = await self._handler(request)
        if self._is_draining:
            answer = replace(answer, headers=(*answer.headers, ("connection", "close")))
        await peer.send(answer)

    async def _receive(self, peer: _Peer) -> HttpRequest | None:
        head = await peer.next_event()
        if not isinstance(head, h11.Request):
            return None
        if peer.protocol.they_are_waiting_for_100_continue:
            continue_response = peer.protocol.send(h11.InformationalResponse(status_code=100))
            await peer.socket.sendall(continue_response)
        body = bytearray()
        while True:
            event = await peer.next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                return None
            body += event.data
            if len(body) > self._limits.body_bytes:
                raise _BodyTooLargeError
        path = head.target.split(b"?", 1)[0].decode("latin-1")
        return HttpRequest(head.method.decode("latin-1"), path, bytes(body))
