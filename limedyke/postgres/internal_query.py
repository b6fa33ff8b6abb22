"""Collects the result of a query that the proxy itself runs, frame by frame."""

from __future__ import annotations

from dataclasses import dataclass

from limedyke.postgres import member_frames as frames
from limedyke.postgres.member_frames import Frame


@dataclass(frozen=True, slots=True)
class InternalQueryResult:
    """The result of a query that the proxy itself runs.

    :param rows: column values of all rows
    :param tags: command tags in order
    :param sqlstate: SQLSTATE of the first error, or empty
    :param status: transaction status of the ReadyForQuery
    """

    rows: tuple[tuple[bytes | None, ...], ...]
    tags: tuple[bytes, ...]
    sqlstate: str
    message: str
    status: bytes

    @property
    def tag(self) -> bytes:
        """The last command tag, or empty."""
        return self.tags[-1] if self.tags else b""


class InternalQueryReader:
    """Processes frames up to ReadyForQuery."""

    def __init__(self) -> None:
        self._rows: list[tuple[bytes | None, ...]] = []
        self._tags: list[bytes] = []
        self._error: bytes | None = None

    def feed(self, frame: Frame) -> InternalQueryResult | None:
        """Process a frame; return the result if this frame was the last one."""
        kind, body = frame
        if kind == frames.DATA_ROW:
            self._rows.append(frames.row_values(body))
        elif kind == frames.COMMAND_COMPLETE:
            self._tags.append(body.rstrip(b"\0"))
        elif kind == frames.ERROR and self._error is None:
            self._error = body
        elif kind == frames.READY:
            return self._answer(body)
        return None

    def _answer(self, status: bytes) -> InternalQueryResult:
        fields = frames.error_fields(self._error) if self._error is not None else {}
        return InternalQueryResult(
            tuple(self._rows),
            tuple(self._tags),
            fields.get(b"C", b"").decode(errors="replace"),
            fields.get(b"M", b"").decode(errors="replace"),
            status,
        )
