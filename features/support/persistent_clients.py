"""Clients that use one proxy until it is gone, and keep what became of each statement."""

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
"""Between a refused or ended session and the next one."""
REST_STEP_S = 0.07
"""Rests differ by so much: sessions return all the time while the proxy looks at them."""
NOT_WHOLE = "closed"
LEAVES_SERVICE = "LD3006"


class Habit(enum.StrEnum):
    """What a client does again and again."""

    READ = "read"
    WRITE = "write"
    TRANSACT = "run transactions"
    REST = "rest between reads"
    REST_INSIDE = "rest inside transactions"


@dataclass(frozen=True, slots=True)
class Told:
    """A statement that was sent whole, and what the client was told of it.

    :param words: its answer in few words; ``NOT_WHOLE`` when the connection ended before READY
    """

    request_id: str
    text: str
    sent_at: float
    ended_at: float
    words: str

    @property
    def is_whole(self) -> bool:
        """Whether the client got a whole answer."""
        return self.words != NOT_WHOLE


class SessionOverError(Exception):
    """The session ended, or nothing was told on it any more."""


class PersistentClient:
    """One client at one proxy.

    :ivar unheard: when it asked for sessions of which it was told nothing
    :param ip: of the proxy's machine
    :param habit: what it does
    :param heeds: it ends a session when it is told that the proxy leaves service; else it uses its
        connection until that ends
    """

    def __init__(self, name: str, ip: str, habit: Habit, heeds: bool = True) -> None:
        self.told: list[Told] = []
        self.unheard: list[float] = []
        self._name = name
        self._heeds = heeds
        self._ip = ip
        self._habit = habit
        self._sessions = 0
        self._rests = 0
        self._client: LineClient | None = None
        self._socket: socket.socket | None = None

    async def run(self, is_gone: Callable[[], bool]) -> None:
        """Use the proxy until it is gone."""
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
        """Return the answer; keep note of a connection that stood and brought none."""
        asked_at = time.monotonic()
        try:
            await self._client.send(f"START {DATABASE} key\r\n")
            line = await self._client.receive()
        except (OSError, curio.TaskTimeout):
            line = ""
        if not line:
            self.unheard.append(asked_at)
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
                self._rests += 1
                await curio.sleep(self._rests % 10 * REST_STEP_S)
                await self._ask(f"READ {self._name}")
            case Habit.TRANSACT:
                await self._transact()
            case Habit.REST_INSIDE:
                await self._ask("BEGIN")
                await self._ask(f"WRITE {self._name} 1")
                await self._rest_until_told(is_gone)

    async def _rest_until_told(self, is_gone: Callable[[], bool]) -> None:
        """Ask nothing more until the session is over."""
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
        """Tell whether the client was told to connect to another proxy, and does."""
        return self._heeds and any(LEAVES_SERVICE in line for line in lines)

    async def _ask(self, text: str) -> str:
        """Ask a statement; keep and return what was told of it."""
        if self._client.has_unsolicited_data():
            raise SessionOverError
        sent_at = time.monotonic()
        try:
            words = await self._client.ask(text)
        except (OSError, curio.TaskTimeout):
            words = NOT_WHOLE
        lines = self._client.last_answer
        if not lines or not lines[-1].startswith("READY"):
            words = NOT_WHOLE
        told = Told(self._client.request_id, text, sent_at, time.monotonic(), words)
        self.told.append(told)
        if not told.is_whole or self._is_sent_elsewhere(lines):
            raise SessionOverError
        return words
