"""Clients that write, read and run transactions, and record the results."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field

import curio
from curio import socket

from features.support.line_platform.deployment import FRONT_PORT, MAX_STALENESS_MS
from features.support.statement_path import LineClient, summary

DATABASE = "db1"
BATCH_DATABASE = "batch1"
"""The database with the lowest priority."""
BATCH_PRIORITY = 2
OPERATIONS_PER_S = 12
BURST = 12


@dataclass(frozen=True, slots=True)
class SoakTenant:
    """A tenant of the soak.

    :param rate: operations a second, 0 for no limit
    """

    name: str
    key: str
    rate: int

    def to_document(self) -> dict:
        """Return the tenant's declaration in a configuration."""
        burst = BURST if self.rate else 0
        return {"name": self.name, "apiKeys": [self.key], "ratePerS": self.rate, "burst": burst}


TENANTS = (SoakTenant("free", "key-free", 0), SoakTenant("limited", "key-lim", OPERATIONS_PER_S))
MODEST = SoakTenant("modest", "key-modest", OPERATIONS_PER_S)
"""A tenant whose load stays far below its limit."""
MODEST_PAUSE_S = 0.25
NOT_APPLIED_WORDS = frozenset({"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "MAXCONN"})
"""First words of answers that promise that no effect of the statement is kept."""
PAUSE_S = 0.03
RECONNECTING_SHARE = 0.5
"""Share of clients that end a session when its proxy announces that it leaves service; the others
use their connections until the proxy closes them."""
CONNECT_TIMEOUT_S = 2.0
STALENESS_S = MAX_STALENESS_MS / 1_000
UNANSWERED = "closed"
LEAVING_SERVICE_CODE = "LD3006"


@dataclass(frozen=True, slots=True)
class WriteResult:
    """Result of a write, or of the commit of a transaction, as its client received it.

    :param request_id: id under which a member commits it
    :param word: ``done``, or the first word of the answer
    """

    request_id: str
    value: str
    word: str
    at: float


@dataclass(frozen=True, slots=True)
class ReadResult:
    """Value that a client read of its own key, and the values that were allowed."""

    request_id: str
    value: str
    allowed: frozenset[str]
    at: float


@dataclass(frozen=True, slots=True)
class StatementResult:
    """A statement that was sent completely, and its answer.

    :param ip: address of the proxy's machine
    :param words: the answer; only ``UNANSWERED`` when the connection ended before READY
    :param code: label of the result code of a refusal; empty when the statement was served
    """

    request_id: str
    ip: str
    sent_at: float
    ended_at: float
    words: tuple[str, ...]
    code: str = ""

    @property
    def is_answered(self) -> bool:
        """Whether the client received a complete answer."""
        return self.words != (UNANSWERED,)


@dataclass(slots=True)
class ClientRecord:
    """Everything that one client sent and received.

    :param staleness_s: its reads in other sessions may lack writes of this last time; 0 for none
    """

    name: str
    tenant: SoakTenant
    request_ids: set[str] = field(default_factory=set)
    statements: list[StatementResult] = field(default_factory=list)
    writes: list[WriteResult] = field(default_factory=list)
    reads: list[ReadResult] = field(default_factory=list)
    served: list[float] = field(default_factory=list)
    database: str = DATABASE
    staleness_s: float = STALENESS_S

    def allowed_values(self, session: str, now: float) -> frozenset[str]:
        """Return the values that a read sent now may return.

        The oldest allowed value is the latest one that was acknowledged either to the same session,
        or to another session of the client longer ago than the staleness bound. Later writes are
        allowed too, unless their answer promises that they had no effect.

        :param session: prefix of the request ids of the session
        """
        allowed = {"-"}
        for write in self.writes:
            is_seen = write.request_id.startswith(session) or now - write.at > self.staleness_s
            if write.word == "done" and is_seen:
                allowed = {write.value}
            elif write.word not in NOT_APPLIED_WORDS:
                allowed.add(write.value)
        return frozenset(allowed)


class SessionOverError(Exception):
    """The proxy announced the end of the session before a statement was sent."""


class SoakClient:
    """A client with one session at a time, each at a random proxy.

    :param proxies: addresses of the proxies' machines
    :param tenant: whose API key it uses
    :param pause_s: mean pause between two operations
    """

    def __init__(
        self,
        name: str,
        proxies: tuple[str, ...],
        seed: int,
        tenant: SoakTenant,
        database: str = DATABASE,
        pause_s: float = PAUSE_S,
    ) -> None:
        self.record = ClientRecord(name, tenant, database=database)
        self._pause_s = pause_s
        self._proxies = proxies
        self._generator = random.Random(f"{seed}/{name}")
        self._key = name
        self._value_count = 0
        self._session_count = 0
        self._client: LineClient | None = None
        self._ip = ""
        self._reconnects_on_notice = self._generator.random() < RECONNECTING_SHARE

    async def run(self) -> None:
        """Run one operation after the other until cancelled."""
        while True:
            await curio.sleep(self._generator.uniform(0.0, 2 * self._pause_s))
            try:
                await self._run_operation()
            except (OSError, curio.TaskTimeout, SessionOverError):
                await self._drop()

    async def _run_operation(self) -> None:
        if self._client is None:
            await self._connect()
            return
        operation = self._generator.choice(
            (self._write, self._read, self._read, self._transact, self._roll_back)
        )
        await operation()

    async def _connect(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._ip = self._generator.choice(self._proxies)
        async with curio.timeout_after(CONNECT_TIMEOUT_S):
            await sock.connect((self._ip, FRONT_PORT))
        self._session_count += 1
        client = LineClient(sock, f"{self.record.name}-{self._session_count}-")
        await client.send(f"START {self.record.database} {self.record.tenant.key}\r\n")
        if summary([await client.receive()]) == "I":
            self._client = client
        else:
            await client.close()

    async def _drop(self) -> None:
        client, self._client = self._client, None
        if client is not None:
            await client.close()

    async def _ask(self, text: str) -> list[str]:
        """Send a statement; return the words of its answer, ``["closed"]`` when incomplete."""
        client = self._client
        if client.has_unsolicited_data():
            await self._drop()
            raise SessionOverError
        sent_at = time.monotonic()
        try:
            words = (await client.ask(text)).split(" ")
        except (OSError, curio.TaskTimeout):
            words = [UNANSWERED]
        finally:
            self.record.request_ids.add(client.request_id)
        lines = client.last_answer
        if not lines or not lines[-1].startswith("READY"):
            words = [UNANSWERED]
        ended_at = time.monotonic()
        code = _code_in(lines)
        statement = StatementResult(
            client.request_id, self._ip, sent_at, ended_at, tuple(words), code
        )
        self.record.statements.append(statement)
        should_reconnect = self._reconnects_on_notice and any(
            LEAVING_SERVICE_CODE in line for line in lines
        )
        if words[0] == UNANSWERED or (should_reconnect and words[-1] == "I"):
            await self._drop()
        elif "done" in words:
            self.record.served.append(time.monotonic())
        return words

    def _next_value(self) -> str:
        self._value_count += 1
        return f"{self.record.name}v{self._value_count}"

    async def _write(self) -> None:
        await self._record_write(self._next_value(), f"WRITE {self._key} ", "")

    async def _record_write(self, value: str, before: str, commit: str) -> None:
        """Send the statement that commits a value, and record its result."""
        client = self._client
        words = await self._ask(commit or f"{before}{value}")
        word = "done" if "done" in words else words[0]
        self.record.writes.append(WriteResult(client.request_id, value, word, time.monotonic()))

    async def _read(self) -> None:
        client = self._client
        allowed = self.record.allowed_values(client.session, time.monotonic())
        words = await self._ask(f"READ {self._key}")
        if "done" in words:
            result = ReadResult(client.request_id, words[0], allowed, time.monotonic())
            self.record.reads.append(result)

    async def _begin_and_write(self) -> str | None:
        """Begin a transaction and write in it; return the value, or None on failure."""
        value = self._next_value()
        for text in ("BEGIN", f"WRITE {self._key} {value}"):
            words = await self._ask(text)
            if "done" not in words:
                await self._drop()
                return None
        return value

    async def _transact(self) -> None:
        value = await self._begin_and_write()
        if value is not None:
            await self._record_write(value, "", "COMMIT")

    async def _roll_back(self) -> None:
        if await self._begin_and_write() is not None:
            await self._ask("ROLLBACK")


def _code_in(lines: list[str]) -> str:
    """Return the label of the result code in an answer, or an empty string."""
    for line in lines:
        if line.startswith("ERROR "):
            return next((word for word in line.split(" ") if word.startswith("LD")), "")
    return ""
