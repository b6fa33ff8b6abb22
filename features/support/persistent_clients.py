"""Clients that use one proxy until it has exited, and record the answer to each statement."""

from __future__ import annotations

import enum
import time
from collections.abc import Callable
from dataclasses import dataclass

import curio
from curio import socket

from features.support.line_platform.deployment import FRONT_PORT
from features.support.statement_path import LineClient, summary

DATABASE = "db1"
CONNECT_LIMIT_S = 1.0
RETURN_PAUSE_S = 0.02
"""Seconds between a refused or ended session and the next one."""
IDLE_STEP_S = 0.07
"""Seconds by which idle times differ, so that sessions become active at any moment of the proxy's
checks."""
INCOMPLETE = "closed"
LEAVES_SERVICE = "LD3006"


class Habit(enum.StrEnum):
    """What a client does repeatedly."""

    READ = "read"
    WRITE = "write"
    TRANSACT = "run transactions"
    REST = "rest between reads"
    REST_INSIDE = "rest inside transactions"


@dataclass(frozen=True, slots=True)
class Told:
    """A statement that was sent completely, and its answer.

    :param words: summary of the answer; ``INCOMPLETE`` when the connection ended before READY
    """

    request_id: str
    text: str
    sent_at: float
    ended_at: float
    words: str

    @property
    def is_whole(self) -> bool:
        """Whether the client got a complete answer."""
        return self.words != INCOMPLETE


class SessionOverError(Exception):
    """The session ended or gave no answer."""


class PersistentClient:
    """One client of one proxy.

    :param ip: of the proxy's machine
    :param habit: what it does
    :param heeds: it ends a session when it is told that the proxy leaves service; otherwise it uses
        its connection until that ends
    :ivar unanswered_sessions: times of session requests that got no answer
    """

    def __init__(self, name: str, ip: str, habit: Habit, heeds: bool = True) -> None:
        self.told: list[Told] = []
        self.unanswered_sessions: list[float] = []
        self._name = name
        self._heeds = heeds
        self._ip = ip
        self._habit = habit
        self._sessions = 0
        self._idle_periods = 0
        self._client: LineClient | None = None
        self._socket: socket.socket | None = None

    async def run(self, is_gone: Callable[[], bool]) -> None:
        """Use the proxy until it has exited."""
        while not is_gone():
            try:
                await self._open_session()
                while not is_gone():
                    await self._operate(is_gone)
            except (OSError, curio.TaskTimeout, SessionOverError):
                await self._close()
                await curio.sleep(RETURN_PAUSE_S)

    async def _open_session(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        async with curio.timeout_after(CONNECT_LIMIT_S):
            await self._socket.connect((self._ip, FRONT_PORT))
        self._sessions += 1
        self._client = LineClient(self._socket, f"{self._name}-{self._sessions}-")
        if summary([await self._ask_for_session()]) != "I":
            raise SessionOverError

    async def _ask_for_session(self) -> str:
        """Return the answer; record a connection that was established and got none."""
        asked_at = time.monotonic()
        try:
            await self._client.send(f"START {DATABASE} key\r\n")
            line = await self._client.receive()
        except (OSError, curio.TaskTimeout):
            line = ""
        if not line:
            self.unanswered_sessions.append(asked_at)
            raise SessionOverError
        return line

    async def _close(self) -> None:
        sock, self._socket = self._socket, None
        if sock is not None:
            await sock.close()

    async def _operate(self, is_gone: Callable[[], bool]) -> None:
        match self._habit:
            case Habit.READ:
                await self._ask(f"READ {self._name}")
            case Habit.WRITE:
                await self._ask(f"WRITE {self._name} {len(self.told)}")
            case Habit.REST:
                self._idle_periods += 1
                await curio.sleep(self._idle_periods % 10 * IDLE_STEP_S)
                await self._ask(f"READ {self._name}")
            case Habit.TRANSACT:
                await self._transact()
            case Habit.REST_INSIDE:
                await self._ask("BEGIN")
                await self._ask(f"WRITE {self._name} 1")
                await self._idle_until_told(is_gone)

    async def _idle_until_told(self, is_gone: Callable[[], bool]) -> None:
        """Stay idle until the session is over."""
        while not self._client.has_unsolicited_data() and not is_gone():
            await curio.sleep(RETURN_PAUSE_S)
        raise SessionOverError

    async def _transact(self) -> None:
        for text in ("BEGIN", f"WRITE {self._name} 1", f"WRITE {self._name} 2", "COMMIT"):
            words = await self._ask(text)
            if words.endswith(" E"):
                await self._ask("ROLLBACK")
            if "done" not in words:
                return
            await curio.sleep(RETURN_PAUSE_S)

    def _is_sent_elsewhere(self, lines: list[str]) -> bool:
        """Tell whether the client was told to use another proxy and heeds it."""
        return self._heeds and any(LEAVES_SERVICE in line for line in lines)

    async def _ask(self, text: str) -> str:
        """Send a statement; record and return its answer."""
        if self._client.has_unsolicited_data():
            raise SessionOverError
        sent_at = time.monotonic()
        try:
            words = await self._client.ask(text)
        except (OSError, curio.TaskTimeout):
            words = INCOMPLETE
        lines = self._client.last_answer
        if not lines or not lines[-1].startswith("READY"):
            words = INCOMPLETE
        told = Told(self._client.request_id, text, sent_at, time.monotonic(), words)
        self.told.append(told)
        if not told.is_whole or self._is_sent_elsewhere(lines):
            raise SessionOverError
        return words
