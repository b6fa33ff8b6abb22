"""Recorded history of client operations, events and member activity, as JSON lines.

Times are CLOCK_MONOTONIC nanoseconds, comparable across the processes of one machine.
"""

from __future__ import annotations

import dataclasses
import enum
import json
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import IO


class Kind(enum.StrEnum):
    """Kind of an operation on the lab's tables."""

    READ = "read"
    WRITE = "write"
    MARK = "mark"
    TRANSACTION = "transaction"


class ClientOutcome(enum.StrEnum):
    """Outcome of an operation as known to the client.

    ``FAILED`` means that the client received an error and the operation had no effect.
    """

    DONE = "done"
    FAILED = "failed"
    DID_NOT_RUN = "did-not-run"
    UNKNOWN = "unknown"


class NoAnswer(enum.StrEnum):
    """Why a client received no response."""

    NONE = ""
    CONNECTION_LOST = "connection-lost"
    TIMED_OUT = "timed-out"


@dataclass(frozen=True, slots=True)
class Operation:
    """One operation of one session, recorded when its outcome is known.

    :param number: unique request number, sent in the statement and echoed in the response
    :param attempt: attempt number; above 1 when a keyed request was retried
    :param owner: owner of the register read or written; the session itself for writes
    :param value: value read: the number in the register, or the row count of a transaction
    :param echo: request number in the response, None without one
    :param by_replica: whether the responding member reported that it was a replica
    :param term: term reported by the responding member
    :param sqlstate: SQLSTATE of the error; empty without an error or without a response
    :param code: result code of the product, such as LD3004, or empty
    :param traceable: whether the members' histories show the number in the statement text
    :param no_answer: reason for a missing response
    :param repeated: whether the response was marked as a repetition of an earlier one; such a
        response has the original command tag but no rows
    """

    number: int
    session: str
    tenant: str
    group: str
    proxy: str
    kind: Kind
    start_ns: int
    end_ns: int
    outcome: ClientOutcome
    attempt: int = 1
    owner: str = ""
    value: int | None = None
    echo: int | None = None
    by_replica: bool | None = None
    term: int | None = None
    once_key: str = ""
    sqlstate: str = ""
    code: str = ""
    detail: str = ""
    traceable: bool = False
    no_answer: NoAnswer = NoAnswer.NONE
    repeated: bool = False

    @property
    def acknowledged_write(self) -> bool:
        """Whether the operation wrote data and was acknowledged."""
        return self.kind is not Kind.READ and self.outcome is ClientOutcome.DONE


@dataclass(frozen=True, slots=True)
class Event:
    """An event during the load, such as a kill or a failed connection.

    :param name: such as ``kill``, ``freeze``, ``cut``, ``drain-start``, ``drain-end``, ``revision``
    :param target: the process or group that the event concerns
    :param value: numeric detail, such as an exit code or a revision
    """

    time_ns: int
    name: str
    target: str = ""
    value: int = 0
    detail: str = ""


@dataclass(frozen=True, slots=True)
class GroupRows:
    """Rows of a group after the load, read directly from its primary.

    :param registers: number in each session's register
    :param marks: number of rows by mark
    :param ledger: number of rows by transaction
    """

    group: str
    registers: dict[str, int]
    marks: dict[int, int]
    ledger: dict[int, int]


@dataclass(frozen=True, slots=True)
class MemberEntry:
    """One line of a member's history; see ``limedyke_lab.database.history``."""

    time_ns: int
    member: str
    connection: int
    user: str
    application: str
    statement: str
    transaction: int
    outcome: str
    term: int
    position: str


@dataclass(frozen=True, slots=True)
class History:
    """Input of the checkers."""

    operations: tuple[Operation, ...] = ()
    events: tuple[Event, ...] = ()
    rows: tuple[GroupRows, ...] = ()
    members: tuple[MemberEntry, ...] = ()


_CLASS_BY_TAG = {
    "operation": Operation,
    "event": Event,
    "rows": GroupRows,
    "member": MemberEntry,
}
_TAG_BY_CLASS = {cls: tag for tag, cls in _CLASS_BY_TAG.items()}


def encode_record(record: Operation | Event | GroupRows | MemberEntry) -> str:
    """Return the JSON line of a record; fields with default values are omitted."""
    values: dict[str, object] = {"record": _TAG_BY_CLASS[type(record)]}
    for field in dataclasses.fields(record):
        value = getattr(record, field.name)
        if value != field.default:
            values[field.name] = value
    return json.dumps(values, separators=(",", ":"))


def decode_record(line: str) -> Operation | Event | GroupRows | MemberEntry:
    """Return the record of a JSON line.

    :raises ValueError: when the line is not a record
    """
    values = json.loads(line)
    cls = _CLASS_BY_TAG.get(values.pop("record", "member"))
    if cls is None:
        raise ValueError(f"unknown record: {line[:80]}")
    if cls is Operation:
        values["kind"] = Kind(values["kind"])
        values["outcome"] = ClientOutcome(values["outcome"])
        values["no_answer"] = NoAnswer(values.get("no_answer", ""))
    if cls is GroupRows:
        for name in ("marks", "ledger"):
            values[name] = {int(number): count for number, count in values[name].items()}
    return cls(**values)


class HistoryWriter:
    """Appends records to a file; used by one process."""

    def __init__(self, path: Path) -> None:
        self._file: IO[str] = path.open("a", encoding="utf-8")

    def add(self, record: Operation | Event | GroupRows | MemberEntry) -> None:
        """Append one record."""
        self._file.write(encode_record(record) + "\n")

    def close(self) -> None:
        """Flush and close the file."""
        self._file.close()


def read_records(paths: Iterable[Path]) -> History:
    """Read a history from files; operations, events and member entries are sorted by time."""
    by_class: dict[type, list] = {cls: [] for cls in _TAG_BY_CLASS}
    for path in paths:
        with path.open(encoding="utf-8") as lines:
            for line in lines:
                if line.strip():
                    record = decode_record(line)
                    by_class[type(record)].append(record)
    return History(
        operations=tuple(sorted(by_class[Operation], key=lambda operation: operation.start_ns)),
        events=tuple(sorted(by_class[Event], key=lambda event: event.time_ns)),
        rows=tuple(by_class[GroupRows]),
        members=tuple(sorted(by_class[MemberEntry], key=lambda entry: entry.time_ns)),
    )
