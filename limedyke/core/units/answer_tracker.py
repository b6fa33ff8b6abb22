"""Tracks the answer to a unit message by message: what to relay, hide and insert.

Needed only if the proxy answers part of a batch itself, sends messages that the client did not
send, or must know which statements completed; other answers are relayed unchanged.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

from limedyke.core.sql.statement import SessionChange

_LENGTH_AT_1 = struct.Struct("!xI")
_ASYNCHRONOUS = frozenset(b"NSA")
_ERROR = ord("E")
COMPLETES_PARSE = frozenset(b"1")
COMPLETES_BIND = frozenset(b"2")
COMPLETES_CLOSE = frozenset(b"3")
COMPLETES_DESCRIBE = frozenset(b"Tn")
COMPLETES_EXECUTE = frozenset(b"CIs")
NEVER = frozenset()


@dataclass(frozen=True, slots=True)
class Registration:
    """A named statement that the session knows once its Parse is answered.

    :param name: the client's name for it
    :param statement: its ``ParsedStatement``; None for a name that is closed
    """

    name: bytes
    statement: object


@dataclass(frozen=True, slots=True)
class AnswerSlot:
    """One expected part of an answer.

    :param completed_by: message types that end it; empty for a part that the proxy answers itself
    :param hidden: whether the part is not relayed
    :param own_answer: the proxy's own answer
    :param changes: changes of the session once the part is complete
    :param registration: a statement known from then on
    """

    completed_by: frozenset[int]
    hidden: bool = False
    own_answer: bytes = b""
    changes: tuple[SessionChange, ...] = ()
    registration: Registration | None = None


class AnswerTracker:
    """Tracks one answer.

    :param slots: the expected parts in order
    """

    __slots__ = ("_slots", "completed", "failed")

    def __init__(self, slots: list[AnswerSlot]) -> None:
        self._slots = slots
        self.completed = 0
        self.failed = False

    def finish(self) -> bytes:
        """Return the proxy's own answers left when the unit has ended without an error."""
        return b"" if self.failed else self._take_own_answers()

    def feed(self, data: bytes) -> bytes:
        """Process whole messages of the answer; return the messages for the client."""
        relayed = []
        offset = 0
        while offset < len(data):
            end = offset + 1 + _LENGTH_AT_1.unpack_from(data, offset)[0]
            relayed.append(self._take(data[offset], data[offset:end]))
            offset = end
        return b"".join(relayed)

    def completed_slots(self) -> list[AnswerSlot]:
        """Return the completed parts."""
        return self._slots[: self.completed]

    def _take(self, kind: int, message: bytes) -> bytes:
        if kind == _ERROR:
            self.failed = True
            return message
        if self.failed or kind in _ASYNCHRONOUS:
            return message
        # An own answer is sent only once the next part of the answer proves that nothing failed.
        answers = self._take_own_answers()
        if self.completed >= len(self._slots):
            return answers + message
        slot = self._slots[self.completed]
        if kind in slot.completed_by:
            self.completed += 1
        return answers if slot.hidden else answers + message

    def _take_own_answers(self) -> bytes:
        answers = b""
        while self.completed < len(self._slots):
            slot = self._slots[self.completed]
            if slot.completed_by:
                break
            answers += slot.own_answer
            self.completed += 1
        return answers
