"""Stand-in for the platform's list of live and leaving machines, served with a lag.

``GET /machines`` returns ``[{"name": ..., "state": "live" | "leaving"}, ...]`` as of the lag ago;
``POST /machines`` with such a list replaces the current state.
"""

from __future__ import annotations

import json
import time
from collections import deque
from dataclasses import dataclass

import curio
import h11
from curio import socket

from limedyke.addresses import split_address
from limedyke.event_log import EventLog, start_logging

RECEIVE_BYTES = 4_096
MAXIMUM_BODY_BYTES = 1_000_000
LIVE = "live"
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404

_log = EventLog("platform")


@dataclass(frozen=True, slots=True)
class MachineList:
    """A version of the list, valid from ``since_s`` on."""

    since_s: float
    machines: tuple[dict[str, str], ...]


class LaggedMachineList:
    """Keeps versions of the list and returns the one that was current one lag ago."""

    def __init__(self, lag_s: float, machines: tuple[dict[str, str], ...], now_s: float) -> None:
        self._lag_s = lag_s
        self._versions = deque([MachineList(now_s - lag_s, machines)])

    def replace(self, machines: tuple[dict[str, str], ...], now_s: float) -> None:
        """Replace the current list; readers see it after the lag."""
        self._versions.append(MachineList(now_s, machines))

    def visible(self, now_s: float) -> tuple[dict[str, str], ...]:
        """Return the list as it was one lag ago."""
        while len(self._versions) > 1 and self._versions[1].since_s <= now_s - self._lag_s:
            self._versions.popleft()
        return self._versions[0].machines


@dataclass(frozen=True, slots=True)
class _Request:
    method: str
    path: str
    body: bytes


class PlatformServer:
    """Serves the list over HTTP/1.1."""

    def __init__(self, machines: LaggedMachineList) -> None:
        self._machines = machines

    async def run(self, address: str) -> None:
        """Serve until cancelled."""
        _log.info("platform-ready", listen=address)
        await curio.tcp_server(*split_address(address), self._serve, reuse_address=True)

    async def _serve(self, client: socket.socket, _address: tuple[str, int]) -> None:
        connection = h11.Connection(h11.SERVER)
        try:
            while True:
                request = await self._receive(client, connection)
                if request is None:
                    return
                status, body = self._answer(request)
                await client.sendall(_encode(connection, status, body))
                if connection.our_state is not h11.DONE:
                    return
                connection.start_next_cycle()
        except (OSError, h11.ProtocolError) as error:
            _log.info("connection-closed", reason=error)

    async def _receive(self, client: socket.socket, connection: h11.Connection) -> _Request | None:
        head = None
        body = b""
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await client.recv(RECEIVE_BYTES))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data) and len(body) < MAXIMUM_BODY_BYTES:
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return _Request(head.method.decode(), head.target.decode(), body)
            else:
                return None

    def _answer(self, request: _Request) -> tuple[int, bytes]:
        now_s = time.monotonic()
        if request.path != "/machines":
            return STATUS_NOT_FOUND, b"not found\n"
        if request.method == "GET":
            return STATUS_OK, json.dumps(self._machines.visible(now_s)).encode()
        try:
            machines = tuple(json.loads(request.body))
        except ValueError:
            return STATUS_BAD_REQUEST, b"expected a JSON list\n"
        self._machines.replace(machines, now_s)
        return STATUS_OK, b"{}"


def _encode(connection: h11.Connection, status: int, body: bytes) -> bytes:
    headers = [("content-type", "application/json"), ("content-length", str(len(body)))]
    head = connection.send(h11.Response(status_code=status, headers=headers))
    return head + connection.send(h11.Data(data=body)) + connection.send(h11.EndOfMessage())


def run_platform(listen: str, machines: tuple[str, ...], lag_s: float) -> None:
    """Serve a list of live machines until terminated by a signal."""
    start_logging("INFO")
    first = tuple({"name": name, "state": LIVE} for name in machines)
    server = PlatformServer(LaggedMachineList(lag_s, first, time.monotonic()))
    curio.run(server.run, listen)
