"""Sessions that stay open at a proxy and read again and again, also once their route is removed."""

from __future__ import annotations

import contextlib
import random
import time
from collections.abc import Callable

import curio
from curio import socket

from features.soak.configuration.history import ConfigurationHistory, Probe
from features.soak.configuration.observers import NOT_DECLARED, OPENED, RECENT_MARKERS
from features.support.line_platform.deployment import FRONT_PORT
from features.support.statement_path import LineClient

READ_INTERVAL_S = 0.2
RETRY_INTERVAL_S = 0.3
ANSWER_TIMEOUT_S = 2.5
READS_AFTER_REMOVAL = 10
READY = OPENED.decode()
NO_DATABASE = NOT_DECLARED.decode()
SERVED = "DATAROW"


class OpenSession:
    """Keeps a session at one proxy until the connection ends, then opens another one.

    :param process: returns the number of the proxy's process among all of the run
    :param number: number of the session among those of its proxy
    """

    def __init__(
        self,
        ip: str,
        history: ConfigurationHistory,
        process: Callable[[], int],
        number: int,
        seed: int,
    ) -> None:
        self._ip = ip
        self._history = history
        self._process = process
        self._name = f"{ip}-{number}"
        self._generator = random.Random(f"session {self._name} {seed}")
        self._sessions = 0

    async def run(self) -> None:
        """Use sessions until cancelled."""
        while True:
            markers = list(self._history.contents)[-RECENT_MARKERS:]
            if markers:
                # The process may be gone, or stand still.
                with contextlib.suppress(OSError, curio.TaskTimeout):
                    await self._use(self._generator.choice(markers))
            await curio.sleep(RETRY_INTERVAL_S)

    async def _use(self, marker: str) -> None:
        """Read until the connection ends, or for some time after the marker was removed.

        :raises OSError: when the connection is lost
        :raises curio.TaskTimeout: without an answer in time
        """
        process = self._process()
        async with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
            self._sessions += 1
            client = LineClient(sock, f"{self._name}-{self._sessions}-")
            async with curio.timeout_after(ANSWER_TIMEOUT_S):
                await sock.connect((self._ip, FRONT_PORT))
                await client.send(f"START {marker} u1\r\n")
                is_opened = (await client.receive()).startswith(READY)
            reads_left = READS_AFTER_REMOVAL
            while is_opened and reads_left:
                read = await self._read(client, marker, process)
                if read is not None and not read.is_served:
                    reads_left -= 1
                await curio.sleep(READ_INTERVAL_S)

    async def _read(self, client: LineClient, marker: str, process: int) -> Probe | None:
        """Read once; record and return the answer, None if it says neither yes nor no.

        :raises ConnectionResetError: when the connection ends before the answer does
        """
        sent_at = time.monotonic()
        async with curio.timeout_after(ANSWER_TIMEOUT_S):
            await client.ask("READ 1")
        lines = client.last_answer
        if not lines or not lines[-1].startswith(READY):
            raise ConnectionResetError(f"{self._ip} closed the session")
        if not lines[0].startswith((SERVED, NO_DATABASE)):
            return None
        is_served = lines[0].startswith(SERVED)
        probe = Probe(self._ip, process, marker, sent_at, time.monotonic(), is_served, True)
        self._history.probes.append(probe)
        return probe
