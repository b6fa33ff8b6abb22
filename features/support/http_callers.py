"""Callers of an HTTP server, each with one connection, that send and look when a test says so."""

from __future__ import annotations

import curio
from curio import socket

from limedyke.addresses import split_address

CALL = b"GET /config HTTP/1.1\r\nhost: server\r\n\r\n"
ANSWER_LIMIT_S = 2.0
SETTLE_S = 0.05


class CallCaller:
    """One connection to the server."""

    def __init__(self) -> None:
        self.answer = b""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)

    async def send(self, address: str, data: bytes = CALL) -> None:
        """Connect, and send a call or a part of it."""
        await self._socket.connect(split_address(address))
        await self._socket.sendall(data)

    def send_at_once(self, address: str, data: bytes) -> None:
        """Connect and send without giving other tasks a turn."""
        with self._socket.blocking() as raw:
            raw.connect(split_address(address))
            raw.sendall(data)

    def send_rest_at_once(self, data: bytes) -> None:
        """Send without giving other tasks a turn."""
        with self._socket.blocking() as raw:
            raw.sendall(data)

    async def send_rest(self, data: bytes) -> None:
        """Send the rest of a call."""
        await self._socket.sendall(data)

    async def receive(self) -> bytes:
        """Return the answer; empty when the connection ended without one."""
        try:
            async with curio.timeout_after(ANSWER_LIMIT_S):
                self.answer = await self._socket.recv(4_096)
        except OSError:
            self.answer = b""
        return self.answer

    def receive_at_once(self) -> None:
        """Keep what has come so far, without giving other tasks a turn."""
        try:
            with self._socket.blocking() as raw:
                self.answer = raw.recv(4_096, socket.MSG_DONTWAIT)
        except OSError:
            self.answer = b""

    async def is_open(self) -> bool:
        """Tell whether the connection has not been ended by the server."""
        try:
            async with curio.timeout_after(SETTLE_S):
                return bool(await self._socket.recv(1))
        except curio.TaskTimeout:
            return True
        except OSError:
            return False

    @property
    def is_answered(self) -> bool:
        """Whether it got a whole answer."""
        return self.answer.startswith(b"HTTP/1.1 200")
