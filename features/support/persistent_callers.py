"""Callers that call one controller until it has exited, and record the outcome of each call."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

import curio
import h11
from curio import socket

from features.support.line_platform.deployment import CONTROL_PORT

CONNECT_LIMIT_S, ANSWER_LIMIT_S = 1.0, 6.0
PAUSE_S = 0.005
RECEIVE_BYTES = 64 * 1024
NO_ANSWER = 0
PATH = "/config"


@dataclass(frozen=True, slots=True)
class Called:
    """A call that was sent completely.

    :param status: of the complete answer; ``NO_ANSWER`` when the connection ended earlier
    """

    sent_at: float
    status: int


class PersistentCaller:
    """Reads the configuration repeatedly, each time on a new connection.

    :param ip: of the controller's machine
    """

    def __init__(self, ip: str) -> None:
        self.calls: list[Called] = []
        self._ip = ip

    async def run(self, is_gone: Callable[[], bool]) -> None:
        """Call until the controller has exited."""
        while not is_gone():
            await self._call()
            await curio.sleep(PAUSE_S)

    async def _call(self) -> None:
        async with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
            try:
                async with curio.timeout_after(CONNECT_LIMIT_S):
                    await sock.connect((self._ip, CONTROL_PORT))
            except (OSError, curio.TaskTimeout):
                return
            connection = h11.Connection(h11.CLIENT)
            headers = [("host", self._ip), ("content-length", "0")]
            request = h11.Request(method="GET", target=PATH, headers=headers)
            sent_at = time.monotonic()
            try:
                await sock.sendall(connection.send(request) + connection.send(h11.EndOfMessage()))
                async with curio.timeout_after(ANSWER_LIMIT_S):
                    status = await _receive(sock, connection)
            except (OSError, curio.TaskTimeout, h11.RemoteProtocolError):
                status = NO_ANSWER
            self.calls.append(Called(sent_at, status))


async def _receive(sock: socket.socket, connection: h11.Connection) -> int:
    """Return the status of the complete answer."""
    status = NO_ANSWER
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await sock.recv(RECEIVE_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.EndOfMessage):
            return status
