"""Sessions that stay open at a proxy and read again and again, also once their route is removed."""

from __future__ import annotations

import contextlib
import random
import time
from collections.abc import Callable

import curio
from curio import socket

from features.soak.configuration.history import ConfigurationHistory, Probe
from features.soak.configuration.observers import NOT_DECLARED, RECEIVE_BYTES, RECENT_MARKERS
from features.support.line_platform.deployment import FRONT_PORT

READ_INTERVAL_S = 0.2
RETRY_INTERVAL_S = 0.3
ANSWER_TIMEOUT_S = 2.5
READS_AFTER_REMOVAL = 10
END_OF_ANSWER = b"READY"
SERVED = b"DATAROW"


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
        self._reads = 0

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
            async with curio.timeout_after(ANSWER_TIMEOUT_S):
                await sock.connect((self._ip, FRONT_PORT))
                opened = await self._ask(sock, f"START {marker} u1\r\n")
            reads_left = READS_AFTER_REMOVAL
            while opened and reads_left:
                read = await self._read(sock, marker, process)
                if read is not None and not read.is_served:
                    reads_left -= 1
                await curio.sleep(READ_INTERVAL_S)

    async def _read(self, sock: socket.socket, marker: str, process: int) -> Probe | None:
        """Read once; record and return the answer, None if it says neither yes nor no."""
        self._reads += 1
        sent_at = time.monotonic()
        async with curio.timeout_after(ANSWER_TIMEOUT_S):
            answer = await self._ask(sock, f"QUERY {self._name}-{self._reads} READ 1\r\n")
        if not answer.startswith((SERVED, NOT_DECLARED)):
            return None
        is_served = answer.startswith(SERVED)
        probe = Probe(self._ip, process, marker, sent_at, time.monotonic(), is_served, True)
        self._history.probes.append(probe)
        return probe

    async def _ask(self, sock: socket.socket, line: str) -> bytes:
        """Send a line and return the whole answer; empty if the session was not opened.

        :raises OSError: when the connection ends
        """
        await sock.sendall(line.encode())
        answer = b""
        while not _is_whole(answer):
            received = await sock.recv(RECEIVE_BYTES)
            if not received and not answer:
                raise ConnectionResetError(f"{self._ip} closed the session")
            if not received:
                return b""
            answer += received
        return answer


def _is_whole(answer: bytes) -> bool:
    """Tell whether an answer has come to its end, the line that says that the session is ready."""
    lines = answer.split(b"\r\n")
    return len(lines) > 1 and lines[-2].startswith(END_OF_ANSWER)
