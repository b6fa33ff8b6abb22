"""A client's socket: what is received, what waits to be sent, and how the connection ends."""

from __future__ import annotations

import select
import time

from curio import socket

from limedyke.proxy.clients.tls import ClientTls

RECEIVE_BYTES = 65_536
SEND_BUFFER_BYTES = 16_384


class ClientGoneError(Exception):
    """The client closed its connection, or it broke."""


class ClientSocket:
    """The socket of one client, with a buffer for answers that come in small parts.

    :param sock: the accepted socket
    :ivar sending_since: monotonic seconds since when buffered bytes are being sent, 0 for not
    :ivar closing_since: monotonic seconds since when the connection is being ended, 0 for not
    """

    __slots__ = ("_output", "_output_bytes", "_socket", "closing_since", "sending_since")

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self._output: list[bytes] | None = None
        self._output_bytes = 0
        self.sending_since = 0.0
        self.closing_since = 0.0

    @property
    def file_number(self) -> int:
        """The socket's file number, or -1 once it is closed."""
        return self._socket.fileno()

    @property
    def is_amid_answer(self) -> bool:
        """Whether part of an answer waits or is on its way, so that nothing may come between."""
        return bool(self.sending_since or self._output_bytes)

    async def receive(self) -> bytes:
        """Return the next bytes that arrive.

        :raises ClientGoneError: when the client has ended its side
        """
        data = await self._socket.recv(RECEIVE_BYTES)
        if not data:
            raise ClientGoneError
        return data

    async def start_tls(self, tls: ClientTls, timeout_s: float) -> None:
        """Go on under TLS; raises ``OSError`` when the handshake fails."""
        self._socket = await tls.wrap(self._socket, timeout_s)

    async def send_now(self, data: bytes) -> None:
        """Send bytes past the buffer, during the login and for the last message."""
        await self._socket.sendall(data)

    async def send(self, data: bytes) -> None:
        """Put bytes into the buffer, and send it when it is full."""
        if self._output is None:
            self._output = []
        self._output.append(data)
        self._output_bytes += len(data)
        if self._output_bytes >= SEND_BUFFER_BYTES:
            await self.flush()

    async def flush(self) -> None:
        """Send what the buffer holds."""
        if not self._output:
            return
        data = b"".join(self._output)
        self._output = None
        self._output_bytes = 0
        self.sending_since = time.monotonic()
        await self._socket.sendall(data)
        self.sending_since = 0.0

    async def linger(self) -> None:
        """Let the last answer reach the client: end our side and read until it ends its own."""
        await self.flush()
        self.closing_since = self.closing_since or time.monotonic()
        await self._socket.shutdown(socket.SHUT_WR)
        while await self._socket.recv(RECEIVE_BYTES):
            continue

    async def close(self) -> None:
        """Close the socket, whatever state it is in."""
        try:
            await self._socket.close()
        except OSError:
            return

    # From outside of the connection's task, without waiting

    def has_unread_input(self) -> bool:
        """Tell whether something has arrived that the connection's task hasn't read yet."""
        if self.file_number < 0:
            return False
        poll = select.poll()
        poll.register(self.file_number, select.POLLIN)
        return bool(poll.poll(0))

    def send_last(self, data: bytes) -> None:
        """Send what ends an idle connection, and let its task see the end."""
        self.closing_since = time.monotonic()
        try:
            with self._socket.blocking() as plain:
                plain.setblocking(False)
                plain.send(data)
                plain.shutdown(socket.SHUT_WR)
        except OSError:
            self.cut()

    def cut(self) -> None:
        """Break the connection; its task sees the end."""
        try:
            with self._socket.blocking() as plain:
                plain.setblocking(False)
                plain.shutdown(socket.SHUT_RDWR)
        except OSError:
            return
