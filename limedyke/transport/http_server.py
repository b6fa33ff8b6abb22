"""A small HTTP/1.1 server for calls with bodies: h11 on curio, everything bounded."""

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
FIRST_CALL_S = 1.0
"""A caller that has connected sends its call within this. One that looks for garbage stands still
for up to 0.7 s on a machine with 20 runnable processes on 8 cores; callers give up after 1 s."""
DRAIN_LOOK_S = 0.01
QUIET_LOOKS = 2
"""A process that stood still for longer than ``FIRST_CALL_S`` reads what came meanwhile between two
looks; one starved of processor time was seen to stand still for 0.4 s."""
STATUS_BAD_REQUEST = 400
STATUS_TOO_LARGE = 413
STATUS_INTERNAL_ERROR = 500
EVENTS = EventLog("http-server")


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A whole request; ``path`` is without its query."""

    method: str
    path: str
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """The answer to a request.

    :param headers: further header fields, as pairs of name and value
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


HttpHandler = Callable[[HttpRequest], Awaitable[HttpAnswer]]


class _BodyTooLargeError(Exception):
    """A request's body is larger than the limit."""


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bounds of one server.

    :param body_bytes: largest body
    :param idle_s: a connection without a whole request for so long is closed
    :param connections: open connections at most; a further one takes the place of the one that
        has rested longest, and is closed at once when all are in use
    """

    body_bytes: int
    idle_s: float = 30.0
    connections: int = 512


class _Peer:
    """One open connection.

    :ivar rests_since: since when nothing of a request has come; None while one comes or is answered
    :ivar is_new: whether nothing has been asked yet
    """

    def __init__(self, sock: socket.socket) -> None:
        self.socket = sock
        self.protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=MAXIMUM_HEAD_BYTES)
        self.rests_since: float | None = time.monotonic()
        self.is_new = True
        self.task: curio.Task | None = None

    async def next_event(self) -> h11.Event:
        """Return the next part of a request."""
        while True:
            event = self.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self.socket.recv(RECEIVE_BYTES)
            self.rests_since = None
            self.is_new = False
            self.protocol.receive_data(data)

    async def send(self, answer: HttpAnswer) -> None:
        """Send a whole answer, if the protocol still allows one."""
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
    def is_due(self) -> bool:
        """Whether a request is under way, or to be expected at once."""
        if self.rests_since is None:
            return True
        return self.is_new and time.monotonic() < self.rests_since + FIRST_CALL_S

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can take another request."""
        return self.protocol.our_state is h11.DONE and self.protocol.their_state is h11.DONE


class HttpServer:
    """Serves requests one after the other on each connection.

    :param handler: gives the answer; it must not raise
    """

    def __init__(self, handler: HttpHandler, limits: HttpLimits) -> None:
        self._handler = handler
        self._limits = limits
        self._peers: set[_Peer] = set()
        self._acceptor: Acceptor | None = None
        self._is_draining = False

    async def run(self, listener: socket.socket) -> None:
        """Accept connections until cancelled; none any more once it drains."""
        self._acceptor = Acceptor(listener, self._admit, EVENTS)
        await self._acceptor.run()

    async def drain(self) -> None:
        """Let no new connection in, and return once all requests under way are answered.

        What comes meanwhile on open connections is answered too. A process that ends without this
        cuts what it has taken, and what callers have sent on connections not accepted yet.
        """
        self._is_draining = True
        closing = await curio.spawn(self._close_listener)
        quiet_looks = 0
        while quiet_looks < QUIET_LOOKS or not closing.terminated:
            await curio.sleep(DRAIN_LOOK_S)
            is_due = any(peer.is_due for peer in self._peers)
            quiet_looks = 0 if is_due else quiet_looks + 1
        await closing.join()

    async def _close_listener(self) -> None:
        if self._acceptor is not None:
            await self._acceptor.close()

    async def _admit(self, sock: socket.socket) -> None:
        if len(self._peers) >= self._limits.connections and not await self._make_room():
            await sock.close()
            return
        peer = _Peer(sock)
        self._peers.add(peer)
        peer.task = await curio.spawn(self._serve_peer, peer, daemon=True)

    async def _make_room(self) -> bool:
        """Close the connection that has rested longest; tell whether there was one.

        Callers that keep connections and use them seldom must not shut others out: with 300
        machines members' connections held all places, and no configuration was taken.
        """
        resting = [peer for peer in self._peers if peer.rests_since is not None]
        if not resting:
            return False
        longest = min(resting, key=lambda peer: peer.rests_since)
        self._peers.discard(longest)
        await longest.task.cancel(blocking=False)
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
        """Serve one request; tell whether the connection can take another."""
        peer.rests_since = time.monotonic()
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
        peer.rests_since = None
        await self._answer(peer, request)
        return peer.is_reusable

    async def _answer(self, peer: _Peer, request: HttpRequest) -> None:
        """Answer a request; while it drains the client is told that the connection ends."""
        answer = await self._handler(request)
        if self._is_draining:
            answer = replace(answer, headers=(*answer.headers, ("connection", "close")))
        await peer.send(answer)

    async def _receive(self, peer: _Peer) -> HttpRequest | None:
        head = await peer.next_event()
        if not isinstance(head, h11.Request):
            return None
        if peer.protocol.they_are_waiting_for_100_continue:
            go_on = peer.protocol.send(h11.InformationalResponse(status_code=100))
            await peer.socket.sendall(go_on)
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
