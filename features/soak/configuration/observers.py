"""Reads the configuration of every controller, and asks every proxy for databases, all the time."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

import curio
from curio import socket

from features.soak.configuration.history import HTTP_OK, ConfigurationHistory, Probe, Read
from features.soak.configuration.http_calls import get_configuration
from features.support.line_platform.deployment import FRONT_PORT

READ_INTERVAL_S = 0.25
PROBE_INTERVAL_S = 0.12
PROBE_TIMEOUT_S = 2.5
RECENT_MARKERS = 6
OPENED = b"READY"
NOT_DECLARED = b"ERROR NODB"
RECEIVE_BYTES = 4_096


class ControllerReader:
    """Reads the configuration from one controller again and again."""

    def __init__(self, ip: str, history: ConfigurationHistory) -> None:
        self._ip = ip
        self._history = history

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            await self.read()
            await curio.sleep(READ_INTERVAL_S)

    async def read(self) -> Read:
        """Read once and record the answer."""
        sent_at = time.monotonic()
        reply = await get_configuration(self._ip)
        document = reply.body if reply.status == HTTP_OK else b""
        read = Read(self._ip, sent_at, time.monotonic(), document)
        self._history.reads.append(read)
        return read


class ProxyProber:
    """Asks one proxy for the markers of recent configurations.

    :param process: returns the number of the proxy's process among all of the run
    """

    def __init__(
        self, ip: str, history: ConfigurationHistory, process: Callable[[], int], seed: int
    ) -> None:
        self._ip = ip
        self._history = history
        self._process = process
        self._generator = random.Random(f"probes {ip} {seed}")

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            markers = list(self._history.contents)[-RECENT_MARKERS:]
            if markers:
                await self.probe(self._generator.choice(markers))
            await curio.sleep(PROBE_INTERVAL_S)

    async def probe(self, marker: str) -> Probe | None:
        """Ask for one marker; record and return the answer, None if it says neither yes nor no."""
        process = self._process()
        sent_at = time.monotonic()
        answer = await open_session(self._ip, marker)
        if process != self._process() or not answer.startswith((OPENED, NOT_DECLARED)):
            return None
        is_served = answer.startswith(OPENED)
        probe = Probe(self._ip, process, marker, sent_at, time.monotonic(), is_served)
        self._history.probes.append(probe)
        return probe


async def open_session(ip: str, database: str) -> bytes:
    """Ask a proxy for a session of a database; return its answer, empty without one."""
    try:
        async with curio.timeout_after(PROBE_TIMEOUT_S):
            return await _exchange(ip, f"START {database} u1\r\n".encode())
    except (OSError, curio.TaskTimeout):
        return b""


async def _exchange(ip: str, request: bytes) -> bytes:
    async with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        await sock.connect((ip, FRONT_PORT))
        await sock.sendall(request)
        return await sock.recv(RECEIVE_BYTES)
