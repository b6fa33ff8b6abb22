"""The socket of one client, with an output buffer and the ways to end the connection."""

from __future__ import annotations

import select
import time

from curio import socket

from limedyke.proxy.clients.tls import ClientTls

RECEIVE_BYTES = 65_536
SEND_BUFFER_BYTES = 16_384


class ClientGoneError(Exception):
    """The client closed its side of the connection."""


class ClientSocket:
    """The socket of one client, with a buffer for answers that arrive in small parts.

    :param sock: the accepted socket
    :ivar sending_since: monotonic time at which the current send began, 0 for none
    :ivar closing_since: monotonic time at which the close of the connection began, 0 for none
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
        """The socket's file descriptor, or -1 once it is closed."""
        return self._socket.fileno()

    @property
    def is_sending_answer(self) -> bool:
        """Whether part of an answer is buffered or being sent, so that nothing may interrupt it."""
        return bool(self.sending_since or self._output_bytes)

    async def receive(self) -> bytes:
        """Wait for data and return it.

        :raises ClientGoneError: when the client has closed its side
        """
        data = await self._socket.recv(RECEIVE_BYTES)
        if not data:
            raise ClientGoneError
        return data

    async def start_tls(self, tls: ClientTls, timeout_s: float) -> None:
        """Start TLS on the connection.

        :raises OSError: when the handshake fails
        """
        self._socket = await tls.wrap(self._socket, timeout_s)

    async def send_now(self, data: bytes) -> None:
        """Send bytes without buffering, for the login and the last message."""
        await self._socket.sendall(data)

    async def send(self, data: bytes) -> None:
        """Add bytes to the buffer, and send the buffer when it is full."""
        if self._output is None:
            self._output = []
        self._output.append(data)
        self._output_bytes += len(data)
        if self._output_bytes >= SEND_BUFFER_BYTES:
            await self.flush()

    async def flush(self) -> None:
        """Send the contents of the buffer."""
        if not self._output:
            return
        data = b"".join(self._output)
        self._output = None
        self._output_bytes = 0
        self.sending_since = time.monotonic()
        await self._socket.sendall(data)
        self.sending_since = 0.0

    async def linger(self) -> None:
        """Shut down the sending side and read until the client closes its own.

        This lets the client receive the last answer before the socket is closed.
        """
        await self.flush()
        self.closing_since = self.closing_since or time.monotonic()
        await self._socket.shutdown(socket.SHUT_WR)
        while await self._socket.recv(RECEIVE_BYTES):
            continue

    async def close(self) -> None:
        """Close the socket; errors are ignored."""
        try:
            await self._socket.close()
        except OSError:
            return

    # Non-blocking calls from outside the connection's task

    def has_unread_input(self) -> bool:
        """Return whether data has arrived that the connection's task has not read yet."""
        if self.file_number < 0:
            return False
        poll = select.poll()
        poll.register(self.file_number, select.POLLIN)
        return bool(poll.poll(0))

    def send_last(self, data: bytes) -> None:
        """Send the last message of an idle connection, and shut down the sending side."""
        self.closing_since = time.monotonic()
        try:
            with self._socket.blocking() as plain:
                plain.setblocking(False)
                plain.send(data)
                plain.shutdown(socket.SHUT_WR)
        except OSError:
            self.abort()

    def abort(self) -> None:
        """Shut the connection down; its task gets the end of the stream or an error."""
        try:
            with self._socket.blocking() as plain:
                plain.setblocking(False)
                plain.shutdown(socket.SHUT_RDWR)
        except OSError:
            return
