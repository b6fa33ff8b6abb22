"""Replays the durable log; finds torn tails and corruption."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from result import Err, Ok, Result

from limedyke.core.agreement.records import HardState
from limedyke.messages.agreement import LogEntry
from limedyke.result_codes import Failure, ResultCode
from limedyke.storage.frame import Frame, decode_frame, find_later_frame
from limedyke.storage.log_records import (
    LogRecord,
    ResetRecord,
    SegmentHeader,
    TruncateRecord,
    decode_batch,
    decode_header,
)


@dataclass(frozen=True, slots=True)
class TornTailCut:
    """An incomplete write at the end of the log was cut off; it was never acknowledged.

    :param offset: where the file was cut
    :param cut_bytes: number of bytes cut off
    """

    file: str
    offset: int
    cut_bytes: int


class CorruptLogError(Exception):
    """The log cannot be replayed."""

    def __init__(self, path: Path, offset: int, reason: str) -> None:
        super().__init__(f"file {path} offset {offset}: {reason}")

    def failure(self) -> Failure:
        """Return the error as a failure with a result code."""
        return Failure(ResultCode.LOG_CORRUPT, str(self))


@dataclass(slots=True)
class SegmentSummary:
    """Summary of a segment that the open log keeps in memory.

    :param last_index: the highest entry that the segment holds or follows
    """

    number: int
    last_index: int


@dataclass(slots=True)
class ReplayedLog:
    """The replayed log.

    :param base_index: the entry before the first one in ``entries``
    :param next_sequence: the sequence number of the next frame
    :param active_content: the valid bytes of the newest segment
    """

    hard_state: HardState = field(default_factory=HardState)
    base_index: int = 0
    entries: list[LogEntry] = field(default_factory=list)
    segments: list[SegmentSummary] = field(default_factory=list)
    next_sequence: int = 0
    active_content: bytes = b""
    torn_tail: TornTailCut | None = None

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    def apply(self, record: LogRecord) -> None:
        """Apply one record.

        :raises ValueError: if it does not follow the previous records
        """
        match record:
            case LogEntry():
                self._append(record)
            case TruncateRecord():
                self._truncate(record.index)
            case HardState():
                self.hard_state = record
            case ResetRecord():
                self.base_index = record.index
                self.entries = []

    def _append(self, entry: LogEntry) -> None:
        if entry.index != self.last_index + 1:
            raise ValueError(f"entry {entry.index} does not follow entry {self.last_index}")
        self.entries.append(entry)

    def _truncate(self, index: int) -> None:
        if index > self.last_index:
            raise ValueError(f"truncation after {index} of {self.base_index}..{self.last_index}")
        if index < self.base_index:
            # The truncated entries were in a segment that was removed because a snapshot covers it.
            self.base_index = index
        del self.entries[index - self.base_index :]


class LogReplay:
    """Replays segments in order.

    :param salt: the incarnation under which the frames were written
    """

    def __init__(self, salt: bytes) -> None:
        self._salt = salt
        self._log = ReplayedLog()

    def replay(self, segments: list[tuple[int, Path, bytes]]) -> Result[ReplayedLog, Failure]:
        """Replay the (number, path, content) of all segments, oldest first."""
        last_position = len(segments) - 1
        try:
            for position, (number, path, content) in enumerate(segments):
                self._read_segment(number, path, content, is_last=position == last_position)
        except CorruptLogError as error:
            return Err(error.failure())
        return Ok(self._log)

    def _read_segment(self, number: int, path: Path, content: bytes, is_last: bool) -> None:
        header_frame = decode_frame(self._salt, content, 0)
        if header_frame is None:
            raise CorruptLogError(path, 0, "the segment header is damaged")
        self._begin_segment(number, path, header_frame)
        offset = header_frame.end
        while offset < len(content):
            frame = decode_frame(self._salt, content, offset)
            if frame is None:
                self._cut_tail(path, content, offset, is_last)
                break
            self._apply_frame(path, frame)
            offset = frame.end
        self._log.active_content = content[:offset]

    def _begin_segment(self, number: int, path: Path, frame: Frame) -> None:
        log = self._log
        try:
            header = decode_header(frame.payload)
        except (ValueError, TypeError) as error:
            raise CorruptLogError(path, 0, str(error)) from error
        is_first = not log.segments
        if is_first:
            self._apply_first_header(header, frame)
        if header.number != number:
            raise CorruptLogError(path, 0, f"the header names segment {header.number}")
        if header.base_index != log.last_index:
            reason = f"the segment follows entry {header.base_index}, not entry {log.last_index}"
            raise CorruptLogError(path, 0, reason)
        self._check_sequence(path, frame)
        log.segments.append(SegmentSummary(number, log.last_index))

    def _apply_first_header(self, header: SegmentHeader, frame: Frame) -> None:
        self._log.base_index = header.base_index
        self._log.hard_state = header.hard_state
        self._log.next_sequence = frame.sequence

    def _check_sequence(self, path: Path, frame: Frame) -> None:
        expected = self._log.next_sequence
        if frame.sequence != expected:
            reason = f"found frame {frame.sequence}, expected frame {expected}"
            raise CorruptLogError(path, frame.offset, reason)
        self._log.next_sequence = expected + 1

    def _apply_frame(self, path: Path, frame: Frame) -> None:
        self._check_sequence(path, frame)
        log = self._log
        try:
            for record in decode_batch(frame.payload):
                log.apply(record)
                log.segments[-1].last_index = max(log.segments[-1].last_index, log.last_index)
        except (ValueError, TypeError) as error:
            raise CorruptLogError(path, frame.offset, str(error)) from error

    def _cut_tail(self, path: Path, content: bytes, offset: int, is_last: bool) -> None:
        if not is_last:
            raise CorruptLogError(path, offset, "a frame is damaged and later segments exist")
        later = find_later_frame(self._salt, content, offset, self._log.next_sequence - 1)
        if later is not None:
            reason = f"a frame is damaged and a valid one follows at {later.offset}"
            raise CorruptLogError(path, offset, reason)
        self._log.torn_tail = TornTailCut(str(path), offset, len(content) - offset)
