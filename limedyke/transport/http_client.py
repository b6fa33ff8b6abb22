"""A minimal HTTP/1.1 client for single requests, based on h11 and curio."""

from __future__ import annotations

from dataclasses import dataclass

import curio
import h11
from curio import socket

from limedyke.addresses import split_address

RECEIVE_BYTES = 16 * 1024
MAXIMUM_ANSWER_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class HttpCall:
    """A request to send; ``headers`` are pairs of name and value."""

    method: str
    path: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


async def call_http(address: str, call: HttpCall, timeout_s: float) -> int | None:
    """Send a request on a new connection; return the status code of the response.

    :param address: ``ip:port``
    :returns: None if no response arrived in time; the request may still have been executed
    """
    try:
        async with curio.timeout_after(timeout_s):
            return await _exchange(address, call)
    except (OSError, curio.TaskTimeout, h11.RemoteProtocolError):
        return None


async def _exchange(address: str, call: HttpCall) -> int | None:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    async with sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await sock.connect(split_address(address))
        connection = h11.Connection(h11.CLIENT)
        headers = [
            ("host", address),
            ("content-type", "application/json"),
            ("content-length", str(len(call.body))),
            ("connection", "close"),
            *call.headers,
        ]
        data = connection.send(h11.Request(method=call.method, target=call.path, headers=headers))
        if call.body:
            data += connection.send(h11.Data(data=call.body))
        data += connection.send(h11.EndOfMessage())
        await sock.sendall(data)
        return await _receive_status(sock, connection)


async def _receive_status(sock: socket.socket, connection: h11.Connection) -> int | None:
    received = 0
    while True:
        event = connection.next_event()
        if isinstance(event, h11.Response):
            return event.status_code
        if event is h11.NEED_DATA:
            data = await sock.recv(RECEIVE_BYTES)
            received += len(data)
            connection.receive_data(data)
        elif isinstance(event, h11.ConnectionClosed) or received > MAXIMUM_ANSWER_BYTES:
            return None
