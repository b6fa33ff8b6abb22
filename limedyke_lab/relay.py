"""TCP relay that simulates the lab's network: delays, cuts and connection resets.

For each server process the relay listens on the advertised address and forwards
to the real one. It identifies the source by the peer's IP address; an address that
belongs to no node is a client. Each direction of a connection is a FIFO queue whose
items are forwarded after the one-way delay between the zones. While a direction is cut, its
items are held, as TCP does during packet loss, and forwarded once the cut is healed.

The control protocol is JSON lines over TCP: one response object per command object.
"""

from __future__ import annotations

import json
import struct
from dataclasses import dataclass
from pathlib import Path

import curio
from curio import socket

from limedyke.addresses import split_address
from limedyke.event_log import EventLog, start_logging
from limedyke_lab.geography import CLIENT
from limedyke_lab.relay_network import Direction, Endpoint, Network, RelayNode, RelaySettings

LISTEN_BACKLOG = 1_024

_log = EventLog("relay")


@dataclass(eq=False, slots=True)
class Connection:
    """A relayed connection, registered so that a command can kill it."""

    source: Endpoint
    destination: Endpoint
    sockets: list[socket.socket]
    task: curio.Task | None = None


def _reset_on_close(sock: socket.socket) -> None:
    """Make closing the socket send a TCP reset, as when the peer process is killed."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


class Relay:
    """Listeners, connections and control port of one relay process."""

    def __init__(self, settings: RelaySettings) -> None:
        self._settings = settings
        self._network = Network(dict(settings.delays_ms))
        self._connections: set[Connection] = set()
        self._endpoint_by_ip = {node.ip: Endpoint(node.name, node.zone) for node in settings.nodes}

    async def run(self) -> None:
        """Serve until cancelled."""
        async with curio.TaskGroup(wait=any) as tasks:
            for node in self._settings.nodes:
                if self._settings.zone not in ("", node.zone):
                    continue
                for port in node.ports:
                    listener = _listen(f"{node.advertised_ip}:{port}")
                    await tasks.spawn(self._accept, listener, node, port)
            control = _listen(self._settings.control)
            _log.info("relay-ready", zone=self._settings.zone or "all")
            await tasks.spawn(self._accept_control, control)

    async def _accept(self, listener: socket.socket, node: RelayNode, port: int) -> None:
        while True:
            client, address = await listener.accept()
            source = self._endpoint_by_ip.get(address[0], Endpoint(CLIENT, CLIENT))
            connection = Connection(source, Endpoint(node.name, node.zone), [client])
            self._connections.add(connection)
            connection.task = await curio.spawn(
                self._serve, connection, (node.ip, port), daemon=True
            )

    async def _serve(self, connection: Connection, address: tuple[str, int]) -> None:
        try:
            server = await self._connect(connection, address)
            await self._forward(connection, server)
        except OSError:
            for sock in connection.sockets:
                _reset_on_close(sock)
        finally:
            self._connections.discard(connection)
            for sock in connection.sockets:
                await sock.close()

    async def _connect(self, connection: Connection, address: tuple[str, int]) -> socket.socket:
        """Connect to the real address, applying delays and cuts in both directions."""
        source, destination = connection.source, connection.destination
        await curio.sleep(self._network.delay_s(source, destination))
        await self._network.wait_until_open(source, destination)
        server = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection.sockets.append(server)
        await server.connect(address)
        await curio.sleep(self._network.delay_s(destination, source))
        await self._network.wait_until_open(destination, source)
        return server

    async def _forward(self, connection: Connection, server: socket.socket) -> None:
        client = connection.sockets[0]
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        outward = Direction(self._network, connection.source, connection.destination)
        inward = Direction(self._network, connection.destination, connection.source)
        async with curio.TaskGroup(wait=object) as tasks:
            await tasks.spawn(outward.fill, client)
            await tasks.spawn(outward.drain, server)
            await tasks.spawn(inward.fill, server)
            await tasks.spawn(inward.drain, client)
        if tasks.completed is not None:
            raise tasks.completed.result

    async def _accept_control(self, listener: socket.socket) -> None:
        while True:
            client, _ = await listener.accept()
            await curio.spawn(self._serve_control, client, daemon=True)

    async def _serve_control(self, client: socket.socket) -> None:
        stream = client.as_stream()
        try:
            async for line in stream:
                answer = await self._execute(json.loads(line))
                await stream.write(json.dumps(answer).encode() + b"\n")
        except (OSError, ValueError) as error:
            _log.warning("control-closed", reason=error)
        finally:
            await client.close()

    async def _execute(self, command: dict) -> dict:
        """Execute one control command and return its response."""
        match command:
            case {"do": "cut", "source": source, "destination": destination}:
                self._network.cuts.add((source, destination))
            case {"do": "heal", "source": source, "destination": destination}:
                self._network.cuts.discard((source, destination))
            case {"do": "heal-all"}:
                self._network.cuts.clear()
            case {"do": "delay", "source": source, "destination": destination, "ms": ms}:
                self._network.delays_ms[f"{source} {destination}"] = float(ms)
            case {"do": "kill", "source": source, "destination": destination}:
                return {"ok": True, "killed": await self._kill(source, destination)}
            case {"do": "status"}:
                cuts = sorted(self._network.cuts)
                return {"ok": True, "connections": len(self._connections), "cuts": cuts}
            case _:
                return {"ok": False, "reason": "unknown command"}
        await self._network.notify_change()
        _log.info("network-changed", **command)
        return {"ok": True}

    async def _kill(self, source: str, destination: str) -> int:
        matching = [
            connection
            for connection in self._connections
            if connection.source.matches(source) and connection.destination.matches(destination)
        ]
        for connection in matching:
            for sock in connection.sockets:
                _reset_on_close(sock)
            await connection.task.cancel(blocking=False)
        return len(matching)


def _listen(address: str) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(split_address(address))
    sock.listen(LISTEN_BACKLOG)
    return sock


def run_relay(settings_file: str) -> None:
    """Run one relay process until terminated by a signal."""
    start_logging("INFO")
    settings = RelaySettings.load(Path(settings_file))
    curio.run(Relay(settings).run)
