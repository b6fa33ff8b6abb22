"""Callers of an HTTP server, each with one connection, that send and look when a test says so."""

from __future__ import annotations

import ctypes
import struct

import curio
from curio import socket

from limedyke.addresses import split_address

CALL = b"GET /config HTTP/1.1\r\nhost: server\r\n\r\n"
ANSWER_LIMIT_S = 2.0
SETTLE_S = 0.05
LOOK_S = 0.01
HANDSHAKE_LIMIT_S = 5.0
"""The kernel sends what it got no answer to again after 1 s, and after 2 s more."""
SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27
"""Options of Linux that Python's ``socket`` does not name, from asm-generic/socket.h."""
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)
"""A packet filter of one instruction, "return 0": keep no byte of any packet."""
ESTABLISHED = 1
"""State of a connection in ``TCP_INFO``."""


class HttpTestClient:
    """One connection to the server."""

    def __init__(self) -> None:
        self.answer = b""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)

    async def send(self, address: str, data: bytes = CALL) -> None:
        """Connect, and send a call or a part of it."""
        await self._socket.connect(split_address(address))
        await self._socket.sendall(data)

    def send_blocking(self, address: str, data: bytes) -> None:
        """Connect and send without giving other tasks a turn."""
        with self._socket.blocking() as raw:
            raw.connect(split_address(address))
            raw.sendall(data)

    def send_rest_blocking(self, data: bytes) -> None:
        """Send without giving other tasks a turn."""
        with self._socket.blocking() as raw:
            raw.sendall(data)

    def start_connecting(self, address: str) -> None:
        """Ask for a connection, and lose the kernel's answers until ``stop_packet_loss``."""
        program = ctypes.create_string_buffer(DROP_ALL, len(DROP_ALL))
        filters = struct.pack("HP", 1, ctypes.addressof(program))
        self._socket.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, filters)
        with self._socket.blocking() as raw:
            raw.setblocking(False)
            raw.connect_ex(split_address(address))

    async def stop_packet_loss(self) -> None:
        """Lose nothing any more, and return once the connection is open for this caller."""
        self._socket.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
        async with curio.timeout_after(HANDSHAKE_LIMIT_S):
            while not self._is_established():
                await curio.sleep(LOOK_S)

    def _is_established(self) -> bool:
        return self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == ESTABLISHED

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

    def receive_available(self) -> None:
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
