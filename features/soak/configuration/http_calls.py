"""HTTP calls of the operator, with the body of the answer."""

from __future__ import annotations

from dataclasses import dataclass

import curio
import h11
from curio import socket

from features.support.line_platform.deployment import CONTROL_PORT

RECEIVE_BYTES = 64 * 1024
CONFIGURATION_PATH = "/config"
WRITE_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A controller's answer; ``status`` is None without one.

    :param retry_after: value of the header Retry-After, empty without it
    """

    status: int | None = None
    body: bytes = b""
    retry_after: str = ""


async def put_configuration(ip: str, body: bytes) -> HttpReply:
    """Send a configuration to a controller."""
    return await _call(ip, "PUT", body, WRITE_TIMEOUT_S)


async def get_configuration(ip: str) -> HttpReply:
    """Read the configuration from a controller."""
    return await _call(ip, "GET", b"", READ_TIMEOUT_S)


async def _call(ip: str, method: str, body: bytes, timeout_s: float) -> HttpReply:
    try:
        async with curio.timeout_after(timeout_s):
            return await _exchange(ip, method, body)
    except (OSError, curio.TaskTimeout, h11.RemoteProtocolError):
        return HttpReply()


async def _exchange(ip: str, method: str, body: bytes) -> HttpReply:
    connection = h11.Connection(h11.CLIENT)
    headers = [("host", ip), ("content-length", str(len(body))), ("connection", "close")]
    request = h11.Request(method=method, target=CONFIGURATION_PATH, headers=headers)
    data = connection.send(request)
    if body:
        data += connection.send(h11.Data(data=body))
    data += connection.send(h11.EndOfMessage())
    async with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        await sock.connect((ip, CONTROL_PORT))
        await sock.sendall(data)
        return await _receive(sock, connection)


async def _receive(sock: socket.socket, connection: h11.Connection) -> HttpReply:
    status, body, retry_after = None, b"", ""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await sock.recv(RECEIVE_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
            retry_after = dict(event.headers).get(b"retry-after", b"").decode()
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return HttpReply(status, body, retry_after)
        elif isinstance(event, h11.ConnectionClosed):
            return HttpReply()
