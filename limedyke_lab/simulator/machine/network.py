"""The simulated network: delays by geography, one-way or two-way cuts, and broken streams.

Streams are ordered and reliable until they break, as with TCP; there is no order between
streams.  Data sent in a direction that is cut arrives late, after the cut, or the stream
breaks.  On a lossy network some stream data is retransmitted and arrives late.  Datagrams are
lost during a cut and may be lost on a lossy network.
"""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from typing import Any, Protocol

from limedyke_lab.geography import Geography
from limedyke_lab.simulator.machine.kernel import Future, Kernel, Process, Queue

JITTER = 0.5
"""Largest random addition to a delay, as a share of it."""
LOCAL_DELAY_S = 0.0002
"""One-way delay within a zone, and the minimum for all zones."""
RETRANSMISSION_S = 0.2
"""Seconds after the end of a cut until the delayed data is sent again."""
BREAK_AFTER_CUT = 0.5
"""Probability that a message sent during a cut breaks its stream after the cut."""
LOSS_SHARE = 0.2
"""Share of the messages lost while one of the two processes has a lossy network."""
KILLED_SILENTLY = 0.3
"""Share of a crashed process's streams whose peer notices only by sending or keepalive."""

Address = tuple[str, int]
Accept = Callable[["Endpoint"], None]


class StreamClosed(Exception):  # noqa: N818 - a state of a stream, as in the product's links
    """The peer closed the stream, or it broke.

    :param by_peer: whether the peer closed it on purpose
    """

    def __init__(self, by_peer: bool) -> None:
        super().__init__("closed by peer" if by_peer else "broken")
        self.by_peer = by_peer


class Sink(Protocol):
    """Receives the data that arrives at one end of a stream."""

    def put(self, item: Any) -> None:
        """Take a message."""

    def end(self, error: Exception) -> None:
        """Handle the end of the stream."""


class Endpoint:
    """One end of a stream.

    :ivar address: the ``(ip, port)`` that the connection was opened to
    """

    __slots__ = (
        "_last_due",
        "address",
        "closed",
        "finished",
        "inbox",
        "life",
        "network",
        "peer",
        "process",
    )

    def __init__(self, network: Network, process: Process, address: Address) -> None:
        self.network = network
        self.process = process
        self.life = process.life
        self.address = address
        self.peer: Endpoint = self
        self.inbox: Sink = Queue()
        self.closed = False
        self.finished = False
        self._last_due = 0.0

    def send(self, message: Any) -> None:
        """Send a message; no effect on a closed stream."""
        if not self.closed and not self.finished:
            self.network.transmit(self, message)

    def finish(self) -> None:
        """Close the sending direction; the peer still gets earlier data and may keep sending."""
        if not self.closed and not self.finished:
            self.finished = True
            self.network.transmit(self, StreamClosed(by_peer=True))

    def receive(self) -> Future:
        """Return a future of the next message; it fails with :class:`StreamClosed`."""
        return self.inbox.get()

    def close(self) -> None:
        """Close on purpose; the peer still receives data sent before."""
        if not self.closed:
            self.finish()
            self.closed = True
            self.inbox.end(StreamClosed(by_peer=False))

    def arrive(self, message: Any) -> None:
        """Handle a message from the network."""
        if self.closed:
            return
        if isinstance(message, StreamClosed):
            self.closed = not message.by_peer
            self.inbox.end(message)
        else:
            self.inbox.put(message)

    def set_sink(self, sink: Sink) -> None:
        """Pass all queued and future messages to another sink."""
        earlier = self.inbox
        self.inbox = sink
        if isinstance(earlier, Queue):
            for item in earlier.take_all():
                sink.put(item)
            if earlier.closed is not None:
                sink.end(earlier.closed)

    def next_due(self, due: float) -> float:
        """Return the arrival time of a message, no earlier than that of the one before."""
        self._last_due = max(self._last_due + 1e-9, due)
        return self._last_due


class Network:
    """Carries streams and datagrams between processes."""

    def __init__(self, kernel: Kernel, geography: Geography) -> None:
        self.kernel = kernel
        self._rng = kernel.rng
        self._geography = geography
        self._delays: dict[tuple[str, str], float] = {}
        self._cut_until: dict[tuple[str, str], float] = {}
        self._lossy_until: dict[str, float] = {}
        self._listeners: dict[Address, tuple[Process, int, Accept]] = {}
        self._processes: dict[str, Process] = {}
        self._process_by_ip: dict[str, Process] = {}
        self._endpoints: dict[str, list[Endpoint]] = {}
        self._datagram_due: dict[tuple[str, str], float] = {}

    def attach(self, process: Process, ip: str = "") -> None:
        """Register a process under its IP address."""
        self._processes[process.name] = process
        self._endpoints[process.name] = []
        if ip:
            self._process_by_ip[ip] = process

    def listen(self, process: Process, address: Address, accept: Accept) -> None:
        """Call ``accept`` with each stream opened to an address, until the process stops.

        :raises OSError: when the address is taken
        """
        taken = self._listeners.get(address)
        if taken is not None and taken[1] == taken[0].life:
            raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
        self._listeners[address] = (process, process.life, accept)

    def stop_listening(self, address: Address) -> None:
        """Stop accepting streams to an address."""
        self._listeners.pop(address, None)

    def cut(self, source: str, destination: str, seconds: float) -> None:
        """Cut the direction from one process to another for a time."""
        pair = (source, destination)
        until = self.kernel.now + seconds
        self._cut_until[pair] = max(until, self._cut_until.get(pair, 0.0))

    def is_cut(self, source: str, destination: str) -> bool:
        """Tell whether the direction is cut now."""
        return self._cut_until.get((source, destination), 0.0) > self.kernel.now

    def lose(self, process: str, seconds: float) -> None:
        """Make the network of a process lossy, in both directions, for a time."""
        until = self.kernel.now + seconds
        self._lossy_until[process] = max(until, self._lossy_until.get(process, 0.0))

    def _loses(self, source: Process, destination: Process) -> bool:
        lossy = self._lossy_until
        until = max(lossy.get(source.name, 0.0), lossy.get(destination.name, 0.0))
        return until > self.kernel.now and self._rng.random() < LOSS_SHARE

    def delay(self, source: Process, destination: Process) -> float:
        """Draw a one-way delay."""
        pair = (source.zone, destination.zone)
        base = self._delays.get(pair)
        if base is None:
            base = max(self._geography.delay_ms(*pair) / 1000.0, LOCAL_DELAY_S)
            self._delays[pair] = base
        return base * (1.0 + JITTER * self._rng.random())

    def send_datagram(
        self, source: Process, name: str, deliver: Callable[..., None], *arguments: Any
    ) -> None:
        """Deliver to another process unless the direction is cut; order per pair is kept."""
        destination = self._processes[name]
        if self.is_cut(source.name, name) or self._loses(source, destination):
            return
        pair = (source.name, name)
        due = self.kernel.now + self.delay(source, destination)
        due = max(self._datagram_due.get(pair, 0.0) + 1e-9, due)
        self._datagram_due[pair] = due
        arrive = self._deliver_datagram
        self.kernel.call_later(due - self.kernel.now, arrive, destination, deliver, arguments)

    def _deliver_datagram(
        self, destination: Process, deliver: Callable[..., None], arguments: tuple
    ) -> None:
        if destination.running:
            destination.deliver(deliver, *arguments)

    def connect(self, source: Process, address: Address) -> Future:
        """Open a stream; the future yields the local endpoint or fails with StreamClosed."""
        opened = Future()
        destination = self._process_by_ip.get(address[0])
        if destination is None:
            opened.fail(StreamClosed(by_peer=False))
        else:
            self._connect_step(source, source.life, destination, address, opened)
        return opened

    def _connect_step(
        self, source: Process, life: int, destination: Process, address: Address, opened: Future
    ) -> None:
        if source.life != life or opened.done:
            return
        arguments = (source, life, destination, address, opened)
        pair = (source.name, destination.name)
        if self.is_cut(*pair) or self.is_cut(pair[1], pair[0]):
            self.kernel.call_later(RETRANSMISSION_S, self._connect_step, *arguments)
            return
        self.kernel.call_later(self.delay(source, destination), self._accept, *arguments)

    def _accept(
        self, source: Process, life: int, destination: Process, address: Address, opened: Future
    ) -> None:
        if source.life != life or opened.done:
            return
        back = self.delay(destination, source)
        listener = self._listeners.get(address)
        if listener is None or listener[1] != destination.life:
            self.kernel.call_later(back, opened.fail, StreamClosed(by_peer=False))
            return
        near = Endpoint(self, source, address)
        far = Endpoint(self, destination, address)
        near.peer, far.peer = far, near
        self._register(near)
        self._register(far)
        destination.deliver(listener[2], far)
        self.kernel.call_later(back, self._opened, near, opened)

    def _opened(self, near: Endpoint, opened: Future) -> None:
        if opened.done:
            near.close()
        else:
            near.process.deliver(opened.set, near)

    def _register(self, endpoint: Endpoint) -> None:
        known = self._endpoints[endpoint.process.name]
        if len(known) > 64:
            known[:] = [other for other in known if not other.closed]
        known.append(endpoint)

    def transmit(self, source: Endpoint, message: Any) -> None:
        """Send over a stream; a cut or a loss delays the message."""
        target = source.peer
        pair = (source.process.name, target.process.name)
        cut_left = self._cut_until.get(pair, 0.0) - self.kernel.now
        delay = self.delay(source.process, target.process)
        if cut_left > 0.0:
            if self._rng.random() < BREAK_AFTER_CUT:
                late = cut_left + RETRANSMISSION_S
                self.kernel.call_later(late, self.break_stream, source)
            delay += cut_left + RETRANSMISSION_S
        if self._loses(source.process, target.process):
            delay += RETRANSMISSION_S
        due = target.next_due(self.kernel.now + delay)
        self.kernel.call_later(due - self.kernel.now, self._arrive, source, target, message)

    def _arrive(self, source: Endpoint, target: Endpoint, message: Any) -> None:
        process = target.process
        if process.life != target.life:
            self._reset(source)
            return
        if target.closed:
            if not isinstance(message, StreamClosed):
                self._reset(source)
            return
        process.deliver(target.arrive, message)

    def _reset(self, endpoint: Endpoint) -> None:
        """Report to an endpoint that its stream broke."""
        if endpoint.closed or endpoint.process.life != endpoint.life:
            return
        endpoint.process.deliver(endpoint.arrive, StreamClosed(by_peer=False))

    def break_stream(self, endpoint: Endpoint) -> None:
        """Break a stream: both ends are notified, and data in flight may be lost."""
        peer = endpoint.peer
        self._reset(endpoint)
        self._reset(peer)

    def process_crashed(self, process: Process) -> None:
        """Close the streams of a crashed process; some peers notice only when they send."""
        endpoints, self._endpoints[process.name] = self._endpoints[process.name], []
        for endpoint in endpoints:
            if endpoint.closed:
                continue
            endpoint.closed = True
            peer = endpoint.peer
            if self._rng.random() >= KILLED_SILENTLY:
                delay = self.delay(process, peer.process)
                self.kernel.call_later(delay, self._reset, peer)
            elif peer.process.keepalive_s is not None:
                self.kernel.call_later(peer.process.keepalive_s, self._reset, peer)

    def break_some_streams(self, process: Process, share: float) -> None:
        """Break a share of the open streams of a process."""
        for endpoint in list(self._endpoints[process.name]):
            if not endpoint.closed and self._rng.random() < share:
                self.break_stream(endpoint)
