"""HTTP calls of the operator, with the body of the answer."""

from __future__ import annotations

import curio
import h11
from curio import socket

from features.support.line_platform.deployment import CONTROL_PORT

RECEIVE_BYTES = 64 * 1024
CONFIGURATION_PATH = "/config"
WRITE_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 1.0


async def put_configuration(ip: str, body: bytes) -> int | None:
    """Send a configuration to a controller; return the HTTP status, None without an answer."""
    status, _ = await _call(ip, "PUT", body, WRITE_TIMEOUT_S)
    return status


async def get_configuration(ip: str) -> tuple[int | None, bytes]:
    """Read the configuration from a controller; return status and body."""
    return await _call(ip, "GET", b"", READ_TIMEOUT_S)


async def _call(ip: str, method: str, body: bytes, timeout_s: float) -> tuple[int | None, bytes]:
    try:
        async with curio.timeout_after(timeout_s):
            return await _exchange(ip, method, body)
    except (OSError, curio.TaskTimeout, h11.RemoteProtocolError):
        return None, b""


async def _exchange(ip: str, method: str, body: bytes) -> tuple[int | None, bytes]:
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


async def _receive(sock: socket.socket, connection: h11.Connection) -> tuple[int | None, bytes]:
    status, body = None, b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await sock.recv(RECEIVE_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return status, body
        elif isinstance(event, h11.ConnectionClosed):
            return None, b""
