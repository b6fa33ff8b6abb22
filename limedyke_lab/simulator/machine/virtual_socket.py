"""Sockets on the simulated network, with the interface that curio uses."""

from __future__ import annotations

import errno
import os
import socket
from collections import deque
from collections.abc import Callable
from selectors import EVENT_READ, EVENT_WRITE, SelectorKey
from typing import Any

from limedyke_lab.simulator.machine.kernel import Future, Process
from limedyke_lab.simulator.machine.network import Address, Endpoint, Network, StreamClosed

FIRST_DESCRIPTOR = 100_000
EPHEMERAL_PORT = 40_000


class VirtualSelector:
    """The selector of one simulated process, with the interface that curio's kernel uses.

    :param wake: called when a registered socket may have become ready
    """

    def __init__(self, wake: Callable[[], None]) -> None:
        self._wake = wake
        self._sockets: dict[int, VirtualSocket] = {}
        self._keys: dict[int, SelectorKey] = {}
        self._changed: dict[int, None] = {}
        self._next_descriptor = FIRST_DESCRIPTOR

    def add_socket(self, sock: VirtualSocket) -> int:
        """Return a new descriptor for a socket."""
        self._next_descriptor += 1
        self._sockets[self._next_descriptor] = sock
        return self._next_descriptor

    def remove_socket(self, descriptor: int) -> None:
        """Remove a closed socket."""
        self._sockets.pop(descriptor, None)

    def mark_changed(self, descriptor: int) -> None:
        """Note that a socket may have become ready."""
        self._changed[descriptor] = None
        if descriptor in self._keys:
            self._wake()

    def register(self, fileobj: Any, events: int, data: Any = None) -> SelectorKey:
        """Register a file object for events."""
        descriptor = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        key = SelectorKey(fileobj, descriptor, events, data)
        self._keys[descriptor] = key
        self._changed[descriptor] = None
        return key

    def unregister(self, fileobj: Any) -> SelectorKey:
        """Remove the registration of a file object."""
        descriptor = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        return self._keys.pop(descriptor)

    def modify(self, fileobj: Any, events: int, data: Any = None) -> SelectorKey:
        """Change the events of a registered file object."""
        return self.register(fileobj, events, data)

    def get_key(self, fileobj: Any) -> SelectorKey:
        """Return the registration of a file object.

        :raises KeyError: if it is not registered
        """
        descriptor = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        return self._keys[descriptor]

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """Return the sockets that are ready now; never blocks."""
        mark_changed, self._changed = self._changed, {}
        ready = []
        for descriptor in mark_changed:
            key = self._keys.get(descriptor)
            sock = self._sockets.get(descriptor)
            if key is None or sock is None:
                continue
            mask = 0
            if key.events & EVENT_READ and sock.readable:
                mask |= EVENT_READ
            if key.events & EVENT_WRITE and sock.writable:
                mask |= EVENT_WRITE
            if mask:
                ready.append((key, mask))
        return ready

    @property
    def has_changes(self) -> bool:
        """Whether a registered socket may have become ready."""
        return any(descriptor in self._keys for descriptor in self._changed)

    def peer_closed(self, descriptor: int) -> bool:
        """Tell whether the peer of a socket has closed its sending direction."""
        sock = self._sockets.get(descriptor)
        return sock is None or sock.peer_closed

    def close(self) -> None:
        """Nothing to release."""


class VirtualPoll:
    """Replaces ``select.poll``; detects hang-ups only."""

    def __init__(self, selector: VirtualSelector) -> None:
        self._selector = selector
        self._descriptors: dict[int, int] = {}

    def register(self, descriptor: int, mask: int) -> None:
        """Register a socket."""
        self._descriptors[descriptor] = mask

    def poll(self, timeout: float | None = None) -> list[tuple[int, int]]:
        """Return the sockets whose peer hung up; never blocks."""
        return [
            (descriptor, mask)
            for descriptor, mask in self._descriptors.items()
            if self._selector.peer_closed(descriptor)
        ]


class VirtualSocket:
    """A non-blocking TCP socket of a simulated process.

    :param selector: notified when reading or writing may have become possible
    :param endpoint: the stream of an accepted socket
    """

    def __init__(
        self,
        selector: VirtualSelector,
        network: Network,
        process: Process,
        endpoint: Endpoint | None = None,
    ) -> None:
        self._selector = selector
        self._network = network
        self._process = process
        self._descriptor = selector.add_socket(self)
        self._endpoint = endpoint
        self._buffer: deque[bytes] = deque()
        self._end: StreamClosed | None = None
        self._pending: deque[Endpoint] = deque()
        self._local: Address = ("", 0)
        self._listening = False
        self._connecting: Future | None = None
        self._error = 0
        self._closed = False
        self._send_closed = False
        if endpoint is not None:
            endpoint.set_sink(self)

    # ----- readiness, used by the selector -----

    def fileno(self) -> int:
        """Return the descriptor."""
        return self._descriptor

    @property
    def readable(self) -> bool:
        """Whether ``recv`` or ``accept`` would not block."""
        return bool(self._buffer or self._pending) or self._end is not None or self._closed

    @property
    def writable(self) -> bool:
        """Whether ``send`` would not block: no connection attempt is in progress."""
        return self._connecting is None or self._connecting.done

    @property
    def peer_closed(self) -> bool:
        """Whether the peer has closed its sending direction or the stream broke."""
        return self._end is not None

    # ----- the sink of the stream -----

    def put(self, data: bytes) -> None:
        """Buffer bytes from the network."""
        self._buffer.append(data)
        self._selector.mark_changed(self._descriptor)

    def end(self, error: StreamClosed) -> None:
        """Record the end of the stream."""
        self._end = self._end or error
        self._selector.mark_changed(self._descriptor)

    # ----- the socket interface -----

    def setblocking(self, flag: bool) -> None:
        """No effect; the socket is always non-blocking."""

    def setsockopt(self, *arguments: Any) -> None:
        """No effect; options are ignored."""

    def getsockopt(self, level: int, option: int, size: int = 0) -> int | bytes:
        """Return the pending error for ``SO_ERROR``, else zero or no bytes."""
        if size:
            return b""
        error, self._error = self._error, 0
        return error if option == socket.SO_ERROR else 0

    def getsockname(self) -> Address:
        """Return the local address."""
        if self._endpoint is not None and not self._local[0]:
            return self._endpoint.address
        return self._local

    def getpeername(self) -> Address:
        """Return the peer's process name and a placeholder port."""
        if self._endpoint is None:
            raise OSError(errno.ENOTCONN, os.strerror(errno.ENOTCONN))
        return (self._endpoint.peer.process.name, EPHEMERAL_PORT)

    def bind(self, address: Address) -> None:
        """Set the local address."""
        self._local = address

    def listen(self, backlog: int = 0) -> None:
        """Accept streams to the local address."""
        self._network.listen(self._process, self._local, self._on_incoming_stream)
        self._listening = True

    def _on_incoming_stream(self, endpoint: Endpoint) -> None:
        self._pending.append(endpoint)
        self._selector.mark_changed(self._descriptor)

    def accept(self) -> tuple[VirtualSocket, Address]:
        """Return a socket for the next incoming stream."""
        if self._closed:
            raise OSError(errno.EBADF, os.strerror(errno.EBADF))
        if not self._pending:
            raise BlockingIOError
        endpoint = self._pending.popleft()
        accepted = VirtualSocket(self._selector, self._network, self._process, endpoint)
        return accepted, (endpoint.peer.process.name, EPHEMERAL_PORT)

    def connect(self, address: Address) -> None:
        """Start to connect; always raises BlockingIOError."""
        self._connecting = self._network.connect(self._process, address)
        self._connecting.when_done(self._on_connect_done)
        raise BlockingIOError

    def _on_connect_done(self) -> None:
        if self._connecting.error is not None:
            self._error = errno.ECONNREFUSED
        elif self._closed:
            self._connecting.value.close()
        else:
            self._endpoint = self._connecting.value
            self._endpoint.set_sink(self)
        self._selector.mark_changed(self._descriptor)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Return received bytes; empty at the end of the stream."""
        if self._buffer:
            return self._read_buffer(size)
        if self._closed:
            return b""
        if self._end is None:
            raise BlockingIOError
        if self._end.by_peer:
            return b""
        raise ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET))

    def _read_buffer(self, size: int) -> bytes:
        data = self._buffer.popleft()
        if len(data) > size:
            self._buffer.appendleft(data[size:])
            data = data[:size]
        while self._buffer and len(data) + len(self._buffer[0]) <= size:
            data += self._buffer.popleft()
        return data

    def send(self, data: bytes | memoryview, flags: int = 0) -> int:
        """Send all bytes."""
        endpoint = self._endpoint
        broken = self._end is not None and not self._end.by_peer
        if endpoint is None or self._closed or self._send_closed or broken:
            raise BrokenPipeError(errno.EPIPE, os.strerror(errno.EPIPE))
        endpoint.send(bytes(data))
        return len(data)

    def shutdown(self, how: int) -> None:
        """Close the stream in the sending direction, or in both."""
        if self._endpoint is None:
            raise OSError(errno.ENOTCONN, os.strerror(errno.ENOTCONN))
        self._send_closed = True
        if how == socket.SHUT_WR:
            self._endpoint.finish()
        else:
            self._close_stream()
        self._selector.mark_changed(self._descriptor)

    def close(self) -> None:
        """Close the socket; has no effect the second time."""
        self._close_stream()
        self._selector.remove_socket(self._descriptor)
        if self._listening:
            self._listening = False
            self._network.stop_listening(self._local)

    def _close_stream(self) -> None:
        if self._closed:
            return
        self._closed = True
        if self._connecting is not None and not self._connecting.done:
            self._connecting.fail(StreamClosed(by_peer=False))
        if self._endpoint is not None:
            self._endpoint.set_sink(_DiscardingSink())
            self._endpoint.close()

    def __enter__(self) -> VirtualSocket:
        return self

    def __exit__(self, *arguments: object) -> None:
        self.close()


class _DiscardingSink:
    """A sink that discards what arrives at a closed socket."""

    def put(self, item: Any) -> None:
        """Discard it."""

    def end(self, error: Exception) -> None:
        """No effect."""
