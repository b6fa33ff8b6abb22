"""Network model of the relay: nodes, delays, cuts, and one direction of a connection."""

from __future__ import annotations

import json
import time
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path

import curio
from curio import socket

RECEIVE_BYTES = 64 * 1024
QUEUE_LIMIT_BYTES = 1024 * 1024
"""Bytes queued in one direction above which the relay stops reading from the sender."""
TIMER_SLACK_S = 0.0005
"""Half the event loop's timer resolution; items due within this time are sent immediately."""
ANYWHERE = "*"


@dataclass(frozen=True, slots=True)
class RelayNode:
    """A server process behind the relay.

    :param ip: its real address, from which it also connects
    :param ports: ports it listens on, identical at its real and advertised address
    """

    name: str
    zone: str
    ip: str
    advertised_ip: str
    ports: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Settings of one relay process.

    :param zone: only destinations of this zone are served; empty for all
    :param delays_ms: one-way delay by ``source destination`` place names
    """

    control: str
    zone: str
    nodes: tuple[RelayNode, ...]
    delays_ms: dict[str, float]

    @classmethod
    def load(cls, path: Path) -> RelaySettings:
        """Read the JSON settings that the fleet wrote."""
        values = json.loads(path.read_text())
        nodes = tuple(
            RelayNode(**{**node, "ports": tuple(node["ports"])}) for node in values["nodes"]
        )
        return cls(values["control"], values["zone"], nodes, values["delays_ms"])


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One end of a connection: the node's name (or ``CLIENT``) and its zone (or ``CLIENT``)."""

    node: str
    zone: str

    def matches(self, place: str) -> bool:
        """Return whether a place (a node, a zone or ``*``) includes this endpoint."""
        return place in (ANYWHERE, self.node, self.zone)


@dataclass(slots=True)
class Network:
    """Current delays and cuts; a change wakes all waiting directions."""

    delays_ms: dict[str, float]
    cuts: set[tuple[str, str]] = field(default_factory=set)
    changed: curio.Event = field(default_factory=curio.Event)

    def delay_s(self, source: Endpoint, destination: Endpoint) -> float:
        """Return the one-way delay in seconds."""
        return self.delays_ms.get(f"{source.zone} {destination.zone}", 0.0) / 1_000

    def is_cut(self, source: Endpoint, destination: Endpoint) -> bool:
        """Return whether traffic from ``source`` to ``destination`` is cut."""
        return any(source.matches(a) and destination.matches(b) for a, b in self.cuts)

    async def wait_until_open(self, source: Endpoint, destination: Endpoint) -> None:
        """Return once the direction is not cut."""
        while self.is_cut(source, destination):
            await self.changed.wait()

    async def notify_change(self) -> None:
        """Wake all directions that wait for a change."""
        changed, self.changed = self.changed, curio.Event()
        await changed.set()


class Direction:
    """One direction of a relayed connection: a bounded, ordered delay queue."""

    def __init__(self, network: Network, source: Endpoint, destination: Endpoint) -> None:
        self._network = network
        self._source = source
        self._destination = destination
        self._queue: deque[tuple[float, bytes | None]] = deque()
        self._queued_bytes = 0
        self._filled = curio.Event()
        self._drained = curio.Event()

    async def fill(self, reader: socket.socket) -> None:
        """Queue received data until the sender closes (empty bytes) or resets (None)."""
        while True:
            try:
                data = await reader.recv(RECEIVE_BYTES)
            except OSError:
                data = None
            due = time.monotonic() + self._network.delay_s(self._source, self._destination)
            self._queue.append((due, data))
            await self._filled.set()
            if not data:
                return
            self._queued_bytes += len(data)
            while self._queued_bytes > QUEUE_LIMIT_BYTES:
                self._drained.clear()
                await self._drained.wait()

    async def drain(self, writer: socket.socket) -> OSError | None:
        """Forward due data in order until the sender closes.

        :returns: the error that broke the connection: a reset by the sender, or a receiver error
        """
        try:
            await self._forward(writer)
        except OSError as error:
            return error
        return None

    async def _forward(self, writer: socket.socket) -> None:
        while True:
            data = await self._next()
            if data is None:
                raise ConnectionResetError("reset by the sender")
            if not data:
                await writer.shutdown(socket.SHUT_WR)
                return
            await writer.sendall(data)
            self._queued_bytes -= len(data)
            await self._drained.set()

    async def _next(self) -> bytes | None:
        """Return the next item once it is due and the direction is open."""
        while not self._queue:
            self._filled.clear()
            await self._filled.wait()
        due, data = self._queue[0]
        wait_s = due - time.monotonic() - TIMER_SLACK_S
        if wait_s > 0:
            await curio.sleep(wait_s)
        if self._network.cuts:
            await self._network.wait_until_open(self._source, self._destination)
        self._queue.popleft()
        return data
