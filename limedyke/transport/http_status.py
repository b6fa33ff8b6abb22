"""The HTTP status interface of a process: ``/metrics``, ``/livez`` and ``/readyz``.

It speaks HTTP/1.1, based on h11 and curio, and serves only GET.  The size of
the request head, the times to receive a request and to send a response, the
requests per connection and the open connections are all bounded.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import curio
import h11
from curio import socket
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST
from result import Err

from limedyke.result_codes import Failure
from limedyke.transport.link import listen

MAXIMUM_HEAD_BYTES = 8 * 1024
RECEIVE_BYTES = 4 * 1024
REQUEST_TIMEOUT_S = 5.0
SEND_TIMEOUT_S = 10.0
CLOSE_TIMEOUT_S = 1.0
MAXIMUM_CONNECTIONS = 32
MAXIMUM_REQUESTS_PER_CONNECTION = 100
PLAIN_TEXT = "text/plain; charset=utf-8"

STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_METHOD_NOT_ALLOWED = 405
STATUS_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class ReadyState:
    """Whether the process should receive work, with the reason in one sentence."""

    ready: bool
    reason: str


class StatusListenError(Exception):
    """The status address cannot be bound; ``failure`` holds the result code."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(str(failure))
        self.failure = failure


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: bytes
    content_type: str = PLAIN_TEXT


@dataclass(frozen=True, slots=True)
class _Pages:
    """The pages that the status interface serves."""

    registry: CollectorRegistry
    live: Callable[[], bool]
    ready: Callable[[], ReadyState]

    def answer(self, request: h11.Request) -> _Answer:
        """Return the response to a request."""
        if request.method == b"HEAD":
            return _Answer(STATUS_METHOD_NOT_ALLOWED, b"")
        if request.method != b"GET":
            return _Answer(STATUS_METHOD_NOT_ALLOWED, b"only GET is served\n")
        path = request.target.split(b"?", 1)[0]
        if path == b"/metrics":
            return _Answer(STATUS_OK, generate_latest(self.registry), CONTENT_TYPE_LATEST)
        if path == b"/livez":
            return self._live_answer()
        if path == b"/readyz":
            return self._ready_answer()
        return _Answer(STATUS_NOT_FOUND, b"not found\n")

    def _live_answer(self) -> _Answer:
        if self.live():
            return _Answer(STATUS_OK, b"live\n")
        return _Answer(STATUS_UNAVAILABLE, b"not live\n")

    def _ready_answer(self) -> _Answer:
        state = self.ready()
        word = "ready" if state.ready else "not ready"
        status = STATUS_OK if state.ready else STATUS_UNAVAILABLE
        return _Answer(status, f"{word}: {state.reason}\n".encode())


async def _receive_event(sock: socket.socket, connection: h11.Connection) -> h11.Event:
    """Return the next complete event from the peer."""
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        connection.receive_data(await sock.recv(RECEIVE_BYTES))


async def _receive_request(sock: socket.socket, connection: h11.Connection) -> h11.Request | None:
    """Return the next request without its body, or None at the end of the connection."""
    request = await _receive_event(sock, connection)
    if not isinstance(request, h11.Request):
        return None
    body_bytes = 0
    while True:
        event = await _receive_event(sock, connection)
        if isinstance(event, h11.EndOfMessage):
            return request
        if not isinstance(event, h11.Data):
            return None
        body_bytes += len(event.data)
        if body_bytes > MAXIMUM_HEAD_BYTES:
            raise h11.RemoteProtocolError("the request body is too long")


async def _send_answer(
    sock: socket.socket, connection: h11.Connection, answer: _Answer, last: bool
) -> None:
    headers = [
        ("content-type", answer.content_type),
        ("content-length", str(len(answer.body))),
    ]
    if answer.status == STATUS_METHOD_NOT_ALLOWED:
        headers.append(("allow", "GET"))
    if last:
        headers.append(("connection", "close"))
    data = connection.send(h11.Response(status_code=answer.status, headers=headers))
    if answer.body:
        data += connection.send(h11.Data(data=answer.body))
    data += connection.send(h11.EndOfMessage())
    async with curio.timeout_after(SEND_TIMEOUT_S):
        await sock.sendall(data)


async def _serve_requests(sock: socket.socket, pages: _Pages) -> None:
    """Answer the requests of one connection until it ends or reaches its request limit."""
    connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAXIMUM_HEAD_BYTES)
    for number in range(1, MAXIMUM_REQUESTS_PER_CONNECTION + 1):
        try:
            async with curio.timeout_after(REQUEST_TIMEOUT_S):
                request = await _receive_request(sock, connection)
        except h11.RemoteProtocolError as error:
            answer = _Answer(STATUS_BAD_REQUEST, f"bad request: {error}\n".encode())
            await _send_answer(sock, connection, answer, last=True)
            await _drop_input(sock)
            return
        if request is None:
            return
        last = number == MAXIMUM_REQUESTS_PER_CONNECTION
        await _send_answer(sock, connection, pages.answer(request), last)
        if connection.our_state is not h11.DONE or connection.their_state is not h11.DONE:
            return
        connection.start_next_cycle()


async def _drop_input(sock: socket.socket) -> None:
    """Discard further input for a while: closing with unread input would reset the connection.

    The reset could reach the peer before it has read the response.
    """
    await sock.shutdown(socket.SHUT_WR)
    async with curio.ignore_after(CLOSE_TIMEOUT_S):
        while await sock.recv(RECEIVE_BYTES):
            continue


async def _serve_connection(
    sock: socket.socket, pages: _Pages, free_connections: curio.Semaphore
) -> None:
    try:
        await _serve_requests(sock, pages)
    except (OSError, curio.TaskTimeout, h11.LocalProtocolError):
        return
    finally:
        await sock.close()
        await free_connections.release()


async def serve_status(
    address: str,
    registry: CollectorRegistry,
    live: Callable[[], bool],
    ready: Callable[[], ReadyState],
) -> None:
    """Serve the status pages until cancelled.

    :param address: ``ip:port`` to listen on
    :param registry: metrics served at ``/metrics``
    :param live: tells whether the process works; called for ``/livez``
    :param ready: tells whether the process should receive work; called for ``/readyz``
    :raises StatusListenError: when the address cannot be bound
    """
    listened = listen(address)
    if isinstance(listened, Err):
        raise StatusListenError(listened.err_value)
    sock = listened.ok_value
    pages = _Pages(registry, live, ready)
    free_connections = curio.Semaphore(MAXIMUM_CONNECTIONS)
    async with sock:
        while True:
            await free_connections.acquire()
            client, _ = await sock.accept()
            await curio.spawn(_serve_connection, client, pages, free_connections, daemon=True)
