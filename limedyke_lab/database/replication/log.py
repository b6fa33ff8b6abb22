"""The replicated log of a member: one checksummed record per committed write transaction.

A record's position is the byte position of its end in the log file; all members of a group
hold identical bytes up to the position they agree on, so positions are comparable across
members.
"""

from __future__ import annotations

import os
from bisect import bisect_left
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from struct import Struct

import google_crc32c
import ormsgpack

_HEADER = Struct("!II")
"""Length and CRC-32C of the payload that follows."""


@dataclass(frozen=True, slots=True)
class LoggedStatement:
    """A statement in SQLite's dialect with its parameters."""

    sql: str
    parameters: tuple[object, ...]


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One committed write transaction; a record without statements only starts a term.

    :param term: the term of the primary that wrote it
    :param origin: name of that primary
    :param transaction: transaction number assigned by the primary
    :param now: value of ``now()`` for its statements
    :param seed: seed of ``random()`` for its statements
    """

    term: int
    origin: str
    transaction: int
    now: str
    seed: int
    statements: tuple[LoggedStatement, ...]

    def encode(self) -> bytes:
        """Return the framed bytes of the record."""
        statements = [[item.sql, list(item.parameters)] for item in self.statements]
        fields = [self.term, self.origin, self.transaction, self.now, self.seed, statements]
        payload = ormsgpack.packb(fields)
        return _HEADER.pack(len(payload), google_crc32c.value(payload)) + payload

    @classmethod
    def decode(cls, payload: bytes) -> LogRecord:
        """Decode a record from its payload (without the header)."""
        term, origin, transaction, now, seed, statements = ormsgpack.unpackb(payload)
        logged = tuple(LoggedStatement(sql, tuple(values)) for sql, values in statements)
        return cls(term, origin, transaction, now, seed, logged)


@dataclass(frozen=True, slots=True)
class PositionedRecord:
    """A record with the byte position of its end."""

    position: int
    record: LogRecord


def split_records(data: bytes, start: int = 0) -> Iterator[PositionedRecord]:
    """Yield intact records from the start of the data; stop at the first torn or corrupt one."""
    offset = 0
    while offset + _HEADER.size <= len(data):
        length, checksum = _HEADER.unpack_from(data, offset)
        payload = data[offset + _HEADER.size : offset + _HEADER.size + length]
        if len(payload) < length or google_crc32c.value(payload) != checksum:
            return
        offset += _HEADER.size + length
        yield PositionedRecord(start + offset, LogRecord.decode(payload))


def read_log(folder: Path) -> list[PositionedRecord]:
    """Return the records in a member's data folder; works for stopped members too."""
    return list(split_records((Path(folder) / RecordLog.FILE_NAME).read_bytes()))


class RecordLog:
    """The log file with an index of record ends and terms."""

    FILE_NAME = "records.log"

    def __init__(self, folder: Path) -> None:
        path = folder / self.FILE_NAME
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        data = path.read_bytes()
        found = list(split_records(data))
        self._ends = [entry.position for entry in found]
        self._terms = [entry.record.term for entry in found]
        self.torn_bytes = len(data) - self.end
        if self.torn_bytes:
            os.ftruncate(self._descriptor, self.end)

    @property
    def end(self) -> int:
        """Byte position after the last record."""
        return self._ends[-1] if self._ends else 0

    @property
    def last_term(self) -> int:
        """Term of the last record, 0 for an empty log."""
        return self._terms[-1] if self._terms else 0

    def term_at(self, position: int) -> int | None:
        """Return the term of the record ending at a position; None when none ends there."""
        if position == 0:
            return 0
        index = bisect_left(self._ends, position)
        if index < len(self._ends) and self._ends[index] == position:
            return self._terms[index]
        return None

    def boundary_before(self, position: int) -> int:
        """Return the last record end that is lower than a position."""
        index = bisect_left(self._ends, position)
        return self._ends[index - 1] if index else 0

    def boundary_within(self, start: int, size: int) -> int:
        """Return the last record end within size bytes of start, after at least one record."""
        index = bisect_left(self._ends, start + size + 1) - 1
        if index >= 0 and self._ends[index] > start:
            return self._ends[index]
        return self._ends[index + 1] if index + 1 < len(self._ends) else start

    def end_of_records(self, start: int, count: int) -> int:
        """Return the end of at most count records after start."""
        index = bisect_left(self._ends, start + 1) + count - 1
        return self._ends[min(index, len(self._ends) - 1)] if self._ends else start

    def append(self, data: bytes, sync_fails: bool = False) -> None:
        """Write whole records at the end and sync them; on OSError the log is left unchanged."""
        start = self.end
        try:
            os.pwrite(self._descriptor, data, start)
            if sync_fails:
                raise OSError("log sync failed")
            os.fdatasync(self._descriptor)
        except OSError:
            os.ftruncate(self._descriptor, start)
            raise
        for entry in split_records(data, start):
            self._ends.append(entry.position)
            self._terms.append(entry.record.term)

    def truncate(self, position: int) -> None:
        """Cut the log back to a record end and sync."""
        keep = bisect_left(self._ends, position + 1)
        del self._ends[keep:]
        del self._terms[keep:]
        os.ftruncate(self._descriptor, position)
        os.fsync(self._descriptor)

    def read(self, start: int, end: int) -> bytes:
        """Return the raw bytes between two record ends."""
        return os.pread(self._descriptor, end - start, start)

    def records(self, start: int, end: int) -> Iterator[PositionedRecord]:
        """Yield the records between two record ends."""
        return split_records(self.read(start, end), start)

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)
