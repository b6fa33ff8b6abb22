"""Reads a member's answer to one exchange: which frames belong to the caller, and is it whole.

An exchange is up to three pieces sent in one go, each answered up to its own
ReadyForQuery: a position check, the caller's batch, and a position check
behind it.  Each check carries a mark that its answer repeats, so a duplicated
or swapped answer never passes for the caller's.
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
    """The answer does not fit what was sent; the connection must be closed."""

    def __init__(self, detail: str, code: ResultCode = ResultCode.PROTOCOL_VIOLATION) -> None:
        super().__init__(detail)
        self.code = code


class _Piece(enum.Enum):
    CHECK_BEFORE = "check-before"
    CALLER = "caller"
    CHECK_BEHIND = "check-behind"
    DONE = "done"


class AnswerReader:
    """Takes the frames of one exchange until ``done``.

    :param mark_before: mark of the position check sent before the batch, or None
    :param mark_after: mark of the position check sent behind it, or None
    :param parses: Parse messages the proxy put before the caller's; their answers are dropped
    """

    def __init__(
        self, mark_before: int | None = None, mark_after: int | None = None, parses: int = 0
    ) -> None:
        self._mark_before = mark_before
        self._mark_behind = mark_after
        self._parses = parses
        self._piece = _Piece.CALLER if mark_before is None else _Piece.CHECK_BEFORE
        self._check: PositionAnswer | None = None
        self._check_shape = b""
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
        return self._piece is not _Piece.CHECK_BEFORE

    @property
    def caller_answered(self) -> bool:
        """Whether the answer to the caller's batch has come to its end."""
        return self._piece in (_Piece.CHECK_BEHIND, _Piece.DONE)

    def feed(self, received: Iterable[Frame]) -> None:
        """Take received frames.

        :raises AnswerViolationError: on a frame that cannot belong to the expected answer
        """
        for frame in received:
            piece = self._piece
            if piece is _Piece.CALLER:
                self._caller_frame(frame)
            elif piece is _Piece.DONE:
                self._stray_frame(frame)
            else:
                self._check_frame(frame)

    def take(self) -> bytes:
        """Return all of the answer that waits to be relayed."""
        data = b"".join(self._pending)
        self._pending.clear()
        self._last_completion = None
        self.pending_bytes = 0
        return data

    def take_buffered_before_completion(self) -> bytes:
        """Return what waits to be relayed ahead of the last CommandComplete."""
        if self._last_completion is None:
            return self.take()
        held = self._pending[self._last_completion :]
        data = b"".join(self._pending[: self._last_completion])
        self._pending = held
        self._last_completion = 0
        self.pending_bytes = sum(map(len, held))
        return data

    def _caller_frame(self, frame: Frame) -> None:
        kind, body = frame
        if kind == frames.READY:
            self.status = TransactionStatus(body.decode())
            self._next_piece(self._mark_behind)
            return
        if kind == frames.COMMAND_COMPLETE:
            self._completion(body)
        elif kind == frames.ERROR:
            self.sqlstate = self.sqlstate or frames.error_sqlstate(body)
        elif kind == frames.PARSE_COMPLETE and self._parses > 0:
            self._parses -= 1
            return
        elif kind == frames.NOTIFICATION:
            return
        elif kind in _COPY:
            raise AnswerViolationError("COPY is not carried", ResultCode.FEATURE_NOT_SUPPORTED)
        elif kind not in _PASSED:
            raise AnswerViolationError(f"unexpected message {kind!r}")
        data = frames.encode_frame(frame)
        self._pending.append(data)
        self.pending_bytes += len(data)

    def _completion(self, body: bytes) -> None:
        self.tag = body.rstrip(b"\0")
        self._last_completion = len(self._pending)
        if self.tag.startswith(SESSION_CHANGING_TAGS):
            self.session_changed = True
        if self.tag.startswith(COMMIT_TAGS):
            self.committed = True

    def _next_piece(self, mark_after: int | None) -> None:
        if mark_after is None:
            self._piece = _Piece.DONE
            self.done = True
        else:
            self._piece = _Piece.CHECK_BEHIND

    def _check_frame(self, frame: Frame) -> None:
        kind, body = frame
        if kind in (frames.NOTICE, frames.PARAMETER_STATUS, frames.NOTIFICATION):
            return
        self._check_shape += kind
        if kind == frames.DATA_ROW:
            self._check_row(body)
        elif kind == frames.ERROR:
            self._check_error(body)
        elif kind == frames.READY:
            self._check_end(body)

    def _check_row(self, body: bytes) -> None:
        before = self._piece is _Piece.CHECK_BEFORE
        mark = self._mark_before if before else self._mark_behind
        answer = frames.read_position_row(body, mark or 0)
        if isinstance(answer, Err):
            raise AnswerViolationError(answer.err_value.detail)
        self._check = answer.ok_value

    def _check_error(self, body: bytes) -> None:
        sqlstate = frames.error_sqlstate(body)
        in_failed_transaction = (
            self._piece is _Piece.CHECK_BEHIND
            and self.status is TransactionStatus.FAILED
            and sqlstate == FAILED_TRANSACTION_SQLSTATE
        )
        if not in_failed_transaction:
            raise AnswerViolationError(f"position check failed with {sqlstate}")

    def _check_end(self, body: bytes) -> None:
        shape, self._check_shape = self._check_shape, b""
        if shape not in (b"TDCZ", b"EZ"):
            raise AnswerViolationError(f"position check answered by {shape!r}")
        if self._piece is _Piece.CHECK_BEFORE:
            self.position_before = self._check
            self._piece = _Piece.CALLER
        else:
            if body != self.status.value.encode():
                raise AnswerViolationError("transaction state changed behind the batch")
            self.position_after = self._check
            self._piece = _Piece.DONE
            self.done = True
        self._check = None

    def _stray_frame(self, frame: Frame) -> None:
        if frame[0] not in (frames.NOTICE, frames.PARAMETER_STATUS, frames.NOTIFICATION):
            raise AnswerViolationError(f"message {frame[0]!r} after the end of the answer")
