"""Stand-ins for clients: sessions of single statements, retried as the pages allow."""

from __future__ import annotations

import asyncio
import random
import secrets
from dataclasses import dataclass

from standins.deployment import Deployment, Machine
from standins.record import Record

PROMISES = frozenset({"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "MAXCONN"})
ANSWER_LIMIT_S = 4.0
READY_LIMIT_S = 2.0


@dataclass(frozen=True, slots=True)
class Statement:
    """One client attempt.

    :ivar answer: the signature if it succeeded, otherwise the error's word; empty without an answer
    """

    request_id: str
    text: str
    sent_at: float
    answered_at: float
    succeeded: bool
    answer: str


class Client:
    """One session after the other, each with single statements and pauses between them.

    :param writes: share of the statements that write
    """

    def __init__(
        self,
        name: str,
        database: str,
        machine: Machine,
        deployment: Deployment,
        record: Record,
        writes: float,
        pause_s: float,
    ) -> None:
        self.name = name
        self.machine = machine
        self.statements: list[Statement] = []
        self.database = database
        self._deployment = deployment
        self._record = record
        self._writes = writes
        self._pause_s = pause_s

    async def run(self) -> None:
        """Send statements until cancelled."""
        while True:
            try:
                await self._session()
            except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
                self._record.note(f"client {self.name}: session ended: {error!r}")
            await asyncio.sleep(0.1)

    async def _session(self) -> None:
        host, _, port = self._deployment.front_address(self.machine).rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=2**21)
        try:
            writer.write(f"START {self.database} {self.name}\r\n".encode())
            async with asyncio.timeout(READY_LIMIT_S):
                opened = await self._line(reader)
            if not opened.startswith("READY"):
                self._record.note(f"client {self.name}: START answered {opened}")
                return
            while True:
                await asyncio.sleep(self._pause_s * random.uniform(0.5, 1.5))
                if not await self._operation(reader, writer):
                    return
        finally:
            writer.close()

    async def _line(self, reader: asyncio.StreamReader) -> str:
        return (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")

    async def _operation(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send one statement; tell whether the session can go on."""
        request_id = secrets.token_hex(8)
        thing = f"{random.randrange(2000):x}"
        data = secrets.token_hex(6)
        text = f"READ {thing}" if random.random() >= self._writes else f"WRITE {thing} {data}"
        sent_at = self._record.now()
        self._record.note(f"send {request_id} by {self.name} to {self.machine.name}: {text}")
        answer, state = "", ""
        try:
            writer.write(f"QUERY {request_id} {text}\r\n".encode())
            async with asyncio.timeout(ANSWER_LIMIT_S):
                answer, state = await self._answer(reader)
        finally:
            is_success = answer.startswith("COMPLETE ")
            found = answer.partition(" ")[2]
            word = found if is_success else found.partition(" ")[0]
            now = self._record.now()
            self.statements.append(Statement(request_id, text, sent_at, now, is_success, word))
            self._record.note(f"answer {request_id}: {answer or 'none'}")
        return state == "I"

    async def _answer(self, reader: asyncio.StreamReader) -> tuple[str, str]:
        outcome = ""
        while True:
            line = await self._line(reader)
            word, _, rest = line.partition(" ")
            if word == "READY":
                return outcome, rest.partition(" ")[0]
            if word in ("COMPLETE", "ERROR"):
                outcome = line
