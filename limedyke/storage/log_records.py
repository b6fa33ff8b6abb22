"""Records of the durable log; each frame holds a batch of them."""

from __future__ import annotations

import enum
from dataclasses import dataclass

import ormsgpack

from limedyke.core.agreement.records import HardState, decode_hard_state, encode_hard_state
from limedyke.messages.agreement import ControllerIdentity, LogEntry


class RecordKind(enum.IntEnum):
    """Kind numbers on disk; a number is never reused."""

    ENTRY = 1
    TRUNCATE = 2
    HARD_STATE = 3
    RESET = 4


@dataclass(frozen=True, slots=True)
class TruncateRecord:
    """Removes all entries after ``index``."""

    index: int


@dataclass(frozen=True, slots=True)
class ResetRecord:
    """Removes all entries; the log continues after ``index``, which a snapshot covers."""

    index: int
    term: int


LogRecord = LogEntry | TruncateRecord | HardState | ResetRecord


@dataclass(frozen=True, slots=True)
class SegmentHeader:
    """The first frame of a segment.

    :param number: the segment's number, as in its file name
    :param base_index: the last entry before this segment
    :param hard_state: the term and vote at the start of the segment
    """

    number: int
    base_index: int
    hard_state: HardState


@dataclass(frozen=True, slots=True)
class Manifest:
    """Identifies the log in a folder.

    :param first_segment: the oldest segment that is still needed
    :param last_segment: the newest segment that may hold valid records
    """

    identity: ControllerIdentity
    first_segment: int
    last_segment: int


def _pack_record(record: LogRecord) -> list[object]:
    match record:
        case LogEntry():
            payload = [record.kind, record.payload]
            return [int(RecordKind.ENTRY), record.index, record.term, payload]
        case TruncateRecord():
            return [int(RecordKind.TRUNCATE), record.index, 0, None]
        case HardState():
            return [int(RecordKind.HARD_STATE), 0, record.term, encode_hard_state(record)]
        case ResetRecord():
            return [int(RecordKind.RESET), record.index, record.term, None]
    raise TypeError(f"{type(record).__name__} is not a log record")


def _unpack_record(packed: list) -> LogRecord:
    kind, index, term, payload = packed
    match RecordKind(kind):
        case RecordKind.ENTRY:
            return LogEntry(index, term, payload[0], payload[1])
        case RecordKind.TRUNCATE:
            return TruncateRecord(index)
        case RecordKind.HARD_STATE:
            return decode_hard_state(payload)
        case RecordKind.RESET:
            return ResetRecord(index, term)


def encode_batch(records: tuple[LogRecord, ...]) -> bytes:
    """Return the payload of a frame with these records."""
    return ormsgpack.packb([_pack_record(record) for record in records])


def decode_batch(payload: bytes) -> tuple[LogRecord, ...]:
    """Return the records of a frame.

    :raises ValueError: if the payload is not a batch of records
    """
    return tuple(_unpack_record(packed) for packed in ormsgpack.unpackb(payload))


def encode_header(header: SegmentHeader) -> bytes:
    """Return the payload of a segment's first frame."""
    hard_state = encode_hard_state(header.hard_state)
    return ormsgpack.packb([header.number, header.base_index, hard_state])


def decode_header(payload: bytes) -> SegmentHeader:
    """Return the header from a segment's first frame.

    :raises ValueError: if the payload is not a header
    """
    number, base_index, hard_state = ormsgpack.unpackb(payload)
    return SegmentHeader(number, base_index, decode_hard_state(hard_state))


def encode_manifest(manifest: Manifest) -> bytes:
    """Return the content of a manifest file."""
    identity = manifest.identity
    return ormsgpack.packb(
        [identity.name, identity.incarnation, manifest.first_segment, manifest.last_segment]
    )


def decode_manifest(data: bytes) -> Manifest:
    """Return the manifest from its file's content."""
    name, incarnation, first_segment, last_segment = ormsgpack.unpackb(data)
    return Manifest(ControllerIdentity(name, incarnation), first_segment, last_segment)
