"""A back end for tests of the client side: the words of a statement select its answer.

``fail`` answers with an error, ``pause(NAME)`` waits for a file, ``refuse(CODE)``
ends the unit with a result code, ``replica-error`` answers a read like a read-only
member, and ``on-primary`` marks a read as served by the primary.  Any other SELECT
answers with one row that holds its own text.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import curio
from postgresql.protocol.buffer import pq_message_stream

from limedyke.messages.work import (
    AbandonWork,
    Access,
    AnswerChunk,
    AnswerEnd,
    LogPosition,
    TransactionStatus,
    WorkUnit,
)
from limedyke.postgres.client_messages import (
    BIND_COMPLETE,
    CLOSE_COMPLETE,
    NO_DATA,
    NO_PARAMETERS,
    PARSE_COMPLETE,
    command_complete,
    error_response,
    text_row,
    text_row_description,
)
from limedyke.proxy.executor import Relay, refusal
from limedyke.result_codes import CODE_BY_NUMBER

TERM = 3
ROWS = ("SELECT", "EXECUTE", "SHOW")
POLL_S = 0.005


class RefusedError(Exception):
    """Ends the unit with a result code."""

    def __init__(self, number: int) -> None:
        super().__init__(str(number))
        self.number = number


@dataclass(slots=True)
class _Answer:
    messages: list[bytes] = field(default_factory=list)
    status: TransactionStatus = TransactionStatus.IDLE
    failed: bool = False


class ScriptedBackEnd:
    """Runs units without any member.

    :param folder: the folder of the files that pauses wait for
    :param report: called with each unit and abandoned work item; by default, prints it as JSON
    """

    def __init__(
        self, folder: Path, report: Callable[[WorkUnit | AbandonWork], None] | None = None
    ) -> None:
        self._folder = folder
        self._report = report or print_work
        self._status: dict[int, TransactionStatus] = {}
        self._abandoned: set[int] = set()
        self._position = 100

    @property
    def position(self) -> LogPosition:
        """The position of the last write."""
        return LogPosition(TERM, self._position)

    async def run(self, unit: WorkUnit, relay: Relay) -> AnswerEnd:
        """Answer a unit."""
        self._report(unit)
        status = self._status.get(unit.transaction, TransactionStatus.IDLE)
        answer = _Answer(status=status)
        try:
            await self._answer(unit, answer)
        except RefusedError as error:
            self._status.pop(unit.transaction, None)
            return refusal(unit, CODE_BY_NUMBER[error.number], "by script", 250)
        if unit.transaction:
            self._status[unit.transaction] = answer.status
        if answer.messages:
            await relay(AnswerChunk(unit.stream, b"".join(answer.messages)))
        if unit.access is Access.WRITE and not answer.failed:
            self._position += 1
        by_replica = unit.access is Access.READ and b"on-primary" not in unit.data
        return AnswerEnd(unit.stream, answer.status, self.position, "a", by_replica)

    async def abandon(self, work: AbandonWork) -> None:
        """Record abandoned work; a paused unit continues."""
        self._report(work)
        self._abandoned.add(work.stream)
        if not work.cancel_only:
            self._status.pop(work.transaction, None)

    def refuse_new_work(self) -> None:
        """Do nothing; no other proxy sends work."""

    async def drain(self) -> None:
        """Do nothing; there are no connections to members."""

    async def _answer(self, unit: WorkUnit, answer: _Answer) -> None:
        for statement in unit.prepared:
            if "fail" in statement.text:
                answer.messages.append(error_response("42601", "by script"))
                answer.failed = True
                return
        texts = {item.name.encode(): item.text.encode() for item in unit.prepared}
        for kind, body in _messages(unit.data):
            if answer.failed:
                return
            await self._answer_message(kind, body, texts, unit, answer)

    async def _answer_message(
        self, kind: bytes, body: bytes, texts: dict[bytes, bytes], unit: WorkUnit, answer: _Answer
    ) -> None:
        match kind:
            case b"Q":
                for text in body[:-1].split(b";"):
                    if text.strip() and not answer.failed:
                        await self._execute(text.decode(), unit, answer, describe=True)
            case b"P":
                name, text, _ = body.split(b"\0", 2)
                texts[name] = text
                answer.messages.append(PARSE_COMPLETE)
            case b"B":
                portal, name, _ = body.split(b"\0", 2)
                texts[b"portal " + portal] = texts[name]
                answer.messages.append(BIND_COMPLETE)
            case b"D":
                key = body[1:-1] if body[:1] == b"S" else b"portal " + body[1:-1]
                text = texts[key].decode()
                rows = text_row_description("text") if _gives_rows(text) else NO_DATA
                answer.messages.append(NO_PARAMETERS + rows if body[:1] == b"S" else rows)
            case b"E":
                portal = body.split(b"\0", 1)[0]
                if b"portal " + portal not in texts:
                    answer.messages.append(error_response("34000", "portal does not exist"))
                    answer.failed = True
                    return
                text = texts[b"portal " + portal].decode()
                await self._execute(text, unit, answer, describe=False)
            case b"C":
                answer.messages.append(CLOSE_COMPLETE)

    async def _execute(self, text: str, unit: WorkUnit, answer: _Answer, describe: bool) -> None:
        await self._pause(text, unit)
        refused = re.search(r"refuse\((\d+)\)", text)
        if refused is not None:
            raise RefusedError(int(refused[1]))
        if "replica-error" in text and unit.access is Access.READ:
            self._answer_error(text, answer, "25006")
            return
        word = text.split(maxsplit=1)[0].upper().strip("()")
        aborted = answer.status is TransactionStatus.FAILED and word not in ("ROLLBACK", "COMMIT")
        if aborted or "fail" in text or unit.stream in self._abandoned:
            cancelled = "57014" if unit.stream in self._abandoned else "22012"
            self._answer_error(text, answer, "25P02" if aborted else cancelled)
            return
        if _gives_rows(text):
            if describe:
                answer.messages.append(text_row_description("text"))
            answer.messages.append(text_row(text) + command_complete("SELECT 1"))
            return
        if word in ("BEGIN", "START"):
            answer.status = TransactionStatus.IN_TRANSACTION
        goes_on = " TO " in text.upper() or text.upper().endswith("AND CHAIN")
        if word in ("COMMIT", "ROLLBACK", "END") and not goes_on:
            answer.status = TransactionStatus.IDLE
        tag = f"INSERT 0 {1}" if word == "INSERT" else word
        answer.messages.append(command_complete(tag))

    def _answer_error(self, text: str, answer: _Answer, code: str) -> None:
        answer.failed = True
        if answer.status is TransactionStatus.IN_TRANSACTION:
            answer.status = TransactionStatus.FAILED
        answer.messages.append(error_response(code, f"by script: {text}"))

    async def _pause(self, text: str, unit: WorkUnit) -> None:
        paused = re.search(r"pause\((\w+)\)", text)
        if paused is None:
            return
        path = self._folder / paused[1]
        while not path.exists() and unit.stream not in self._abandoned:
            await curio.sleep(POLL_S)


def _gives_rows(text: str) -> bool:
    return text.split(maxsplit=1)[0].upper().strip("()") in ROWS


def _messages(data: bytes) -> Iterator[tuple[bytes, bytes]]:
    stream = pq_message_stream()
    stream.write(data)
    return iter(stream.read())


def print_work(item: WorkUnit | AbandonWork) -> None:
    """Print a unit or an abandoned work item as one line of JSON."""
    values: dict[str, object] = {"stream": item.stream, "transaction": item.transaction}
    if isinstance(item, WorkUnit):
        values.update(kind="unit", access=item.access.value, data=item.data.decode("latin1"))
    else:
        values.update(kind="abandon", cancel_only=item.cancel_only)
    print(json.dumps(values), flush=True)
