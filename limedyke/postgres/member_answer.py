"""Reads a member's answer to one exchange and separates the caller's answer from position checks.

An exchange has up to three stages, pipelined in one send: a position check,
the caller's batch, and a second position check.  Each stage is answered up to
its own ReadyForQuery.  Each check carries a mark that its answer repeats, so a
duplicated or reordered answer is never mistaken for the caller's.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

from result import Err

from limedyke.messages.work import TransactionStatus
from limedyke.postgres import member_frames as frames
from limedyke.postgres.member_frames import Frame, PositionAnswer
from limedyke.result_codes import ResultCode

FAILED_TRANSACTION_SQLSTATE = "25P02"
SESSION_CHANGING_TAGS = (
    b"SET",
    b"RESET",
    b"PREPARE",
    b"DEALLOCATE",
    b"DISCARD",
    b"LISTEN",
    b"UNLISTEN",
    b"DECLARE",
    b"LOAD",
    b"CREATE",
    b"SELECT INTO",
    b"DO",
    b"CALL",
)
COMMIT_TAGS = (b"COMMIT", b"PREPARE TRANSACTION", b"COMMIT PREPARED")

_PASSED = frozenset(
    {
        frames.DATA_ROW,
        frames.ROW_DESCRIPTION,
        frames.COMMAND_COMPLETE,
        frames.PARSE_COMPLETE,
        frames.NOTICE,
        frames.PARAMETER_STATUS,
        b"2",
        b"3",
        b"n",
        b"t",
        b"I",
        b"s",
        b"V",
    }
)
_COPY = frozenset({frames.COPY_IN, frames.COPY_OUT, frames.COPY_BOTH})


class AnswerViolationError(Exception):
    """The answer does not match the request; the connection must be closed."""

    def __init__(self, detail: str, code: ResultCode = ResultCode.PROTOCOL_VIOLATION) -> None:
        super().__init__(detail)
        self.code = code


class _Stage(enum.Enum):
    CHECK_BEFORE = "check-before"
    CALLER = "caller"
    CHECK_AFTER = "check-behind"
    DONE = "done"


class AnswerReader:
    """Processes the frames of one exchange until ``done``.

    :param mark_before: mark of the position check sent before the batch, or None
    :param mark_after: mark of the position check sent after the batch, or None
    :param parses: number of Parse messages that the proxy sent before the caller's messages;
        their answers are dropped
    """

    def __init__(
        self, mark_before: int | None = None, mark_after: int | None = None, parses: int = 0
    ) -> None:
        self._mark_before = mark_before
        self._mark_after = mark_after
        self._parses = parses
        self._stage = _Stage.CALLER if mark_before is None else _Stage.CHECK_BEFORE
        self._check: PositionAnswer | None = None
        self._check_frame_kinds = b""
        self._pending: list[bytes] = []
        self._last_completion: int | None = None
        self.pending_bytes = 0
        self.done = False
        self.position_before: PositionAnswer | None = None
        self.position_after: PositionAnswer | None = None
        self.status = TransactionStatus.IDLE
        self.sqlstate = ""
        self.tag = b""
        self.session_changed = False
        self.committed = False

    @property
    def checked_before(self) -> bool:
        """Whether the check sent before the batch has been answered."""
        return self._stage is not _Stage.CHECK_BEFORE

    @property
    def caller_answered(self) -> bool:
        """Whether the caller's batch has been answered completely."""
        return self._stage in (_Stage.CHECK_AFTER, _Stage.DONE)

    def feed(self, received: Iterable[Frame]) -> None:
        """Process received frames.

        :raises AnswerViolationError: on a frame that can't belong to the expected answer
        """
        for frame in received:
            stage = self._stage
            if stage is _Stage.CALLER:
                self._process_caller_frame(frame)
            elif stage is _Stage.DONE:
                self._process_stray_frame(frame)
            else:
                self._process_check_frame(frame)

    def take(self) -> bytes:
        """Return and clear all buffered answer bytes."""
        data = b"".join(self._pending)
        self._pending.clear()
        self._last_completion = None
        self.pending_bytes = 0
        return data

    def take_buffered_before_completion(self) -> bytes:
        """Return and clear the buffered answer bytes before the last CommandComplete."""
        if self._last_completion is None:
            return self.take()
        held = self._pending[self._last_completion :]
        data = b"".join(self._pending[: self._last_completion])
        self._pending = held
        self._last_completion = 0
        self.pending_bytes = sum(map(len, held))
        return data

    def _process_caller_frame(self, frame: Frame) -> None:
        kind, body = frame
        if kind == frames.READY:
            self.status = TransactionStatus(body.decode())
            self._enter_next_stage(self._mark_after)
            return
        if kind == frames.COMMAND_COMPLETE:
            self._record_completion(body)
        elif kind == frames.ERROR:
            self.sqlstate = self.sqlstate or frames.error_sqlstate(body)
        elif kind == frames.PARSE_COMPLETE and self._parses > 0:
            self._parses -= 1
            return
        elif kind == frames.NOTIFICATION:
            return
        elif kind in _COPY:
            raise AnswerViolationError("COPY is not supported", ResultCode.FEATURE_NOT_SUPPORTED)
        elif kind not in _PASSED:
            raise AnswerViolationError(f"unexpected message {kind!r}")
        data = frames.encode_frame(frame)
        self._pending.append(data)
        self.pending_bytes += len(data)

    def _record_completion(self, body: bytes) -> None:
        self.tag = body.rstrip(b"\0")
        self._last_completion = len(self._pending)
        if self.tag.startswith(SESSION_CHANGING_TAGS):
            self.session_changed = True
        if self.tag.startswith(COMMIT_TAGS):
            self.committed = True

    def _enter_next_stage(self, mark_after: int | None) -> None:
        if mark_after is None:
            self._stage = _Stage.DONE
            self.done = True
        else:
            self._stage = _Stage.CHECK_AFTER

    def _process_check_frame(self, frame: Frame) -> None:
        kind, body = frame
        if kind in (frames.NOTICE, frames.PARAMETER_STATUS, frames.NOTIFICATION):
            return
        self._check_frame_kinds += kind
        if kind == frames.DATA_ROW:
            self._parse_check_row(body)
        elif kind == frames.ERROR:
            self._verify_check_error(body)
        elif kind == frames.READY:
            self._finish_check(body)

    def _parse_check_row(self, body: bytes) -> None:
        before = self._stage is _Stage.CHECK_BEFORE
        mark = self._mark_before if before else self._mark_after
        answer = frames.read_position_row(body, mark or 0)
        if isinstance(answer, Err):
            raise AnswerViolationError(answer.err_value.detail)
        self._check = answer.ok_value

    def _verify_check_error(self, body: bytes) -> None:
        sqlstate = frames.error_sqlstate(body)
        in_failed_transaction = (
            self._stage is _Stage.CHECK_AFTER
            and self.status is TransactionStatus.FAILED
            and sqlstate == FAILED_TRANSACTION_SQLSTATE
        )
        if not in_failed_transaction:
            raise AnswerViolationError(f"position check failed with {sqlstate}")

    def _finish_check(self, body: bytes) -> None:
        shape, self._check_frame_kinds = self._check_frame_kinds, b""
        if shape not in (b"TDCZ", b"EZ"):
            raise AnswerViolationError(f"position check answered by {shape!r}")
        if self._stage is _Stage.CHECK_BEFORE:
            self.position_before = self._check
            self._stage = _Stage.CALLER
        else:
            if body != self.status.value.encode():
                raise AnswerViolationError("transaction state changed after the batch")
            self.position_after = self._check
            self._stage = _Stage.DONE
            self.done = True
        self._check = None

    def _process_stray_frame(self, frame: Frame) -> None:
        if frame[0] not in (frames.NOTICE, frames.PARAMETER_STATUS, frames.NOTIFICATION):
            raise AnswerViolationError(f"message {frame[0]!r} after the end of the answer")
