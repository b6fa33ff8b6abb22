"""Sockets on the simulated network, with the calls that curio makes on a real one."""

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
    """The selector of one simulated process, as curio's kernel uses it.

    :param wake: called when a socket that is waited for became ready
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
        """Forget a closed socket."""
        self._sockets.pop(descriptor, None)

    def changed(self, descriptor: int) -> None:
        """Note that a socket may have become ready."""
        self._changed[descriptor] = None
        if descriptor in self._keys:
            self._wake()

    def register(self, fileobj: Any, events: int, data: Any = None) -> SelectorKey:
        """Wait for events of a file object."""
        descriptor = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        key = SelectorKey(fileobj, descriptor, events, data)
        self._keys[descriptor] = key
        self._changed[descriptor] = None
        return key

    def unregister(self, fileobj: Any) -> SelectorKey:
        """Wait no more."""
        descriptor = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        return self._keys.pop(descriptor)

    def modify(self, fileobj: Any, events: int, data: Any = None) -> SelectorKey:
        """Change what is waited for."""
        return self.register(fileobj, events, data)

    def get_key(self, fileobj: Any) -> SelectorKey:
        """Return the registration of a file object.

        :raises KeyError: when there is none
        """
        descriptor = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        return self._keys[descriptor]

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """Return what is ready now; never waits."""
        changed, self._changed = self._changed, {}
        ready = []
        for descriptor in changed:
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
        """Whether a socket that is waited for may be ready."""
        return any(descriptor in self._keys for descriptor in self._changed)

    def hung_up(self, descriptor: int) -> bool:
        """Tell whether the peer of a socket sends no more."""
        sock = self._sockets.get(descriptor)
        return sock is None or sock.hung_up

    def close(self) -> None:
        """Nothing to release."""


class VirtualPoll:
    """Stands for ``select.poll``; knows hang-ups only."""

    def __init__(self, selector: VirtualSelector) -> None:
        self._selector = selector
        self._descriptors: dict[int, int] = {}

    def register(self, descriptor: int, mask: int) -> None:
        """Ask about a socket."""
        self._descriptors[descriptor] = mask

    def poll(self, timeout: float | None = None) -> list[tuple[int, int]]:
        """Return the sockets whose peer hung up; never waits."""
        return [
            (descriptor, mask)
            for descriptor, mask in self._descriptors.items()
            if self._selector.hung_up(descriptor)
        ]


class VirtualSocket:
    """A non-blocking TCP socket of a simulated process.

    :param selector: learns whenever reading or writing may have become possible
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
        self._shut = False
        self._sending_ended = False
        if endpoint is not None:
            endpoint.hand_over(self)

    # ----- what curio's selector asks -----

    def fileno(self) -> int:
        """Return the descriptor."""
        return self._descriptor

    @property
    def readable(self) -> bool:
        """Whether ``recv`` or ``accept`` would not block."""
        return bool(self._buffer or self._pending) or self._end is not None or self._shut

    @property
    def writable(self) -> bool:
        """Whether ``send`` would not block, and a connection attempt has ended."""
        return self._connecting is None or self._connecting.done

    @property
    def hung_up(self) -> bool:
        """Whether the peer sends no more."""
        return self._end is not None

    # ----- what arrives -----

    def put(self, data: bytes) -> None:
        """Take bytes from the network."""
        self._buffer.append(data)
        self._selector.changed(self._descriptor)

    def end(self, error: StreamClosed) -> None:
        """Take the end of the stream."""
        self._end = self._end or error
        self._selector.changed(self._descriptor)

    # ----- the socket interface -----

    def setblocking(self, flag: bool) -> None:
        """Only non-blocking use is possible."""

    def setsockopt(self, *arguments: Any) -> None:
        """Options have no effect."""

    def getsockopt(self, level: int, option: int, size: int = 0) -> int | bytes:
        """Return the pending error; nothing is known of what is asked for as bytes."""
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
        """Return the peer's address; the port says nothing."""
        if self._endpoint is None:
            raise OSError(errno.ENOTCONN, os.strerror(errno.ENOTCONN))
        return (self._endpoint.peer.process.name, EPHEMERAL_PORT)

    def bind(self, address: Address) -> None:
        """Set the local address."""
        self._local = address

    def listen(self, backlog: int = 0) -> None:
        """Accept streams towards the local address."""
        self._network.listen(self._process, self._local, self._incoming)
        self._listening = True

    def _incoming(self, endpoint: Endpoint) -> None:
        self._pending.append(endpoint)
        self._selector.changed(self._descriptor)

    def accept(self) -> tuple[VirtualSocket, Address]:
        """Return the next stream."""
        if self._shut:
            raise OSError(errno.EBADF, os.strerror(errno.EBADF))
        if not self._pending:
            raise BlockingIOError
        endpoint = self._pending.popleft()
        accepted = VirtualSocket(self._selector, self._network, self._process, endpoint)
        return accepted, (endpoint.peer.process.name, EPHEMERAL_PORT)

    def connect(self, address: Address) -> None:
        """Start to connect."""
        self._connecting = self._network.connect(self._process, address)
        self._connecting.when_done(self._connected)
        raise BlockingIOError

    def _connected(self) -> None:
        if self._connecting.error is not None:
            self._error = errno.ECONNREFUSED
        elif self._shut:
            self._connecting.value.close()
        else:
            self._endpoint = self._connecting.value
            self._endpoint.hand_over(self)
        self._selector.changed(self._descriptor)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Return bytes that have arrived; none at the end of the stream."""
        if self._buffer:
            return self._take(size)
        if self._shut:
            return b""
        if self._end is None:
            raise BlockingIOError
        if self._end.by_peer:
            return b""
        raise ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET))

    def _take(self, size: int) -> bytes:
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
        if endpoint is None or self._shut or self._sending_ended or broken:
            raise BrokenPipeError(errno.EPIPE, os.strerror(errno.EPIPE))
        endpoint.send(bytes(data))
        return len(data)

    def shutdown(self, how: int) -> None:
        """End the stream, in the sending direction or in both."""
        if self._endpoint is None:
            raise OSError(errno.ENOTCONN, os.strerror(errno.ENOTCONN))
        self._sending_ended = True
        if how == socket.SHUT_WR:
            self._endpoint.finish()
        else:
            self._finish()
        self._selector.changed(self._descriptor)

    def close(self) -> None:
        """Close the socket; safe to call twice."""
        self._finish()
        self._selector.remove_socket(self._descriptor)
        if self._listening:
            self._listening = False
            self._network.stop_listening(self._local)

    def _finish(self) -> None:
        if self._shut:
            return
        self._shut = True
        if self._connecting is not None and not self._connecting.done:
            self._connecting.fail(StreamClosed(by_peer=False))
        if self._endpoint is not None:
            self._endpoint.hand_over(_Ignore())
            self._endpoint.close()

    def __enter__(self) -> VirtualSocket:
        return self

    def __exit__(self, *arguments: object) -> None:
        self.close()


class _Ignore:
    """Takes what arrives at a closed socket."""

    def put(self, item: Any) -> None:
        """Drop it."""

    def end(self, error: Exception) -> None:
        """Nothing waits."""
