"""A small HTTP/1.1 server for calls with bodies: h11 on curio, everything bounded."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import curio
import h11
from curio import socket

from limedyke.under_way import UnderWay

RECEIVE_BYTES = 64 * 1024
MAXIMUM_HEAD_BYTES = 16 * 1024
SEND_TIMEOUT_S = 10.0
CLOSE_TIMEOUT_S = 0.5
STATUS_BAD_REQUEST = 400
STATUS_TOO_LARGE = 413
STATUS_INTERNAL_ERROR = 500


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
    :param connections: open connections at most; a further one is closed at once
    """

    body_bytes: int
    idle_s: float = 30.0
    connections: int = 512


class HttpServer:
    """Serves requests one after the other on each connection.

    :param handler: gives the answer; it must not raise
    """

    def __init__(self, handler: HttpHandler, limits: HttpLimits) -> None:
        self._handler = handler
        self._limits = limits
        self._open = 0
        self._under_way = UnderWay()
        self._accepting: curio.Task | None = None
        self._is_draining = False

    async def run(self, listener: socket.socket) -> None:
        """Accept connections until cancelled; none any more once it drains."""
        async with listener:
            self._accepting = await curio.spawn(self._accept, listener)
            try:
                await self._accepting.wait()
                await listener.close()
                await curio.Event().wait()
            finally:
                await self._accepting.cancel()

    async def drain(self) -> None:
        """Let no new connection in, and return once all requests under way are answered.

        What comes meanwhile on open connections is answered too; a process that ends without this
        cuts what it has taken.
        """
        self._is_draining = True
        if self._accepting is not None:
            await self._accepting.cancel()
        await self._under_way.ended()

    async def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                client, _ = await listener.accept()
            except OSError:
                await curio.sleep(CLOSE_TIMEOUT_S)
                continue
            if self._open >= self._limits.connections:
                await client.close()
                continue
            self._open += 1
            await curio.spawn(self._serve_connection, client, daemon=True)

    async def _serve_connection(self, sock: socket.socket) -> None:
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAXIMUM_HEAD_BYTES)
        try:
            while await self._serve_request(sock, connection):
                connection.start_next_cycle()
        except (OSError, curio.TaskTimeout, h11.LocalProtocolError):
            return
        finally:
            self._open -= 1
            await sock.close()

    async def _serve_request(self, sock: socket.socket, connection: h11.Connection) -> bool:
        """Serve one request; tell whether the connection can take another."""
        try:
            async with curio.timeout_after(self._limits.idle_s):
                request = await self._receive(sock, connection)
        except h11.RemoteProtocolError as error:
            text = f"bad request: {error}\n".encode()
            await _send(sock, connection, HttpAnswer(STATUS_BAD_REQUEST, text, "text/plain"))
            return False
        except _BodyTooLargeError:
            await _send(sock, connection, HttpAnswer(STATUS_TOO_LARGE, b"", "text/plain"))
            return False
        if request is None:
            return False
        await self._answer(sock, connection, request)
        is_reusable = connection.our_state is h11.DONE and connection.their_state is h11.DONE
        return is_reusable

    async def _answer(
        self, sock: socket.socket, connection: h11.Connection, request: HttpRequest
    ) -> None:
        """Answer a request; while it drains the client is told that the connection ends."""
        with self._under_way:
            answer = await self._handler(request)
            if self._is_draining:
                answer = replace(answer, headers=(*answer.headers, ("connection", "close")))
            await _send(sock, connection, answer)

    async def _receive(self, sock: socket.socket, connection: h11.Connection) -> HttpRequest | None:
        head = await _next_event(sock, connection)
        if not isinstance(head, h11.Request):
            return None
        if connection.they_are_waiting_for_100_continue:
            await sock.sendall(connection.send(h11.InformationalResponse(status_code=100)))
        body = bytearray()
        while True:
            event = await _next_event(sock, connection)
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                return None
            body += event.data
            if len(body) > self._limits.body_bytes:
                raise _BodyTooLargeError
        path = head.target.split(b"?", 1)[0].decode("latin-1")
        return HttpRequest(head.method.decode("latin-1"), path, bytes(body))


async def _next_event(sock: socket.socket, connection: h11.Connection) -> h11.Event:
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        connection.receive_data(await sock.recv(RECEIVE_BYTES))


async def _send(sock: socket.socket, connection: h11.Connection, answer: HttpAnswer) -> None:
    if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    headers = [
        ("content-type", answer.content_type),
        ("content-length", str(len(answer.body))),
        *answer.headers,
    ]
    data = connection.send(h11.Response(status_code=answer.status, headers=headers))
    if answer.body:
        data += connection.send(h11.Data(data=answer.body))
    data += connection.send(h11.EndOfMessage())
    async with curio.timeout_after(SEND_TIMEOUT_S):
        await sock.sendall(data)
