"""Length-prefixed messages between a primary and its replicas."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from struct import Struct

import ormsgpack

REPLICATION_CODE = b"LMDK"
"""Marks a replication connection; sent in place of the startup packet's protocol version."""

STARTUP_PACKET = b"\x00\x00\x00\x08" + REPLICATION_CODE
_LENGTH = Struct("!I")
MAXIMUM_FRAME_BYTES = 256 * 1024 * 1024
_RECEIVE_BYTES = 262144


class Answer(enum.IntEnum):
    """Result of an append on a replica."""

    ACCEPTED = 0
    MISMATCH = 1
    REFUSED = 2


@dataclass(frozen=True, slots=True)
class Append:
    """Records that follow a given position; a message without records is a heartbeat.

    :param term: the primary's term
    :param primary: the primary's name
    :param previous_position: end of the record before the data
    :param previous_term: term of that record
    :param data: whole framed records
    :param committed: position that the primary knows a majority has stored
    """

    term: int
    primary: str
    previous_position: int
    previous_term: int
    data: bytes
    committed: int

    def encode(self) -> bytes:
        """Return the frame."""
        return _frame(
            self.term,
            self.primary,
            self.previous_position,
            self.previous_term,
            self.data,
            self.committed,
        )


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Reply to an append.

    :param term: the highest term the replica promised
    :param position: end of the verified log; on a mismatch, the position to try next
    """

    answer: Answer
    term: int
    position: int

    def encode(self) -> bytes:
        """Return the frame."""
        return _frame(int(self.answer), self.term, self.position)


def _frame(*fields: object) -> bytes:
    payload = ormsgpack.packb(list(fields))
    return _LENGTH.pack(len(payload)) + payload


class FrameReader:
    """Reads frames from a socket."""

    def __init__(self, sock) -> None:
        self._sock = sock
        self._buffer = bytearray()

    async def _fill(self, size: int) -> bytes:
        while len(self._buffer) < size:
            data = await self._sock.recv(_RECEIVE_BYTES)
            if not data:
                raise EOFError
            self._buffer += data
        piece = bytes(self._buffer[:size])
        del self._buffer[:size]
        return piece

    async def _fields(self) -> list[object]:
        (size,) = _LENGTH.unpack(await self._fill(_LENGTH.size))
        if size > MAXIMUM_FRAME_BYTES:
            raise EOFError
        return ormsgpack.unpackb(await self._fill(size))

    async def append(self) -> Append:
        """Return the next append; raises EOFError when the connection is closed."""
        return Append(*await self._fields())

    async def reply(self) -> AppendReply:
        """Return the next reply; raises EOFError when the connection is closed."""
        answer, term, position = await self._fields()
        return AppendReply(Answer(answer), term, position)
