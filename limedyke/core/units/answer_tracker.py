"""Follows the answer to a unit message by message: what to relay, hide and put in between.

Needed only when the proxy answers part of a batch itself, sends messages the
client didn't, or must know which statements completed; other answers pass as
they are.
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
    """A named statement that becomes known to the session when its Parse is answered.

    :param name: the client's name for it
    :param statement: its ``ParsedStatement``; None for a name that is closed
    """

    name: bytes
    statement: object


@dataclass(frozen=True, slots=True)
class AnswerSlot:
    """One expected part of an answer.

    :param completed_by: message types that end it; empty for a part the proxy answers itself
    :param hidden: the part isn't relayed
    :param own_answer: what the proxy answers itself
    :param changes: what takes effect in the session once the part is complete
    :param registration: a statement known from then on
    """

    completed_by: frozenset[int]
    hidden: bool = False
    own_answer: bytes = b""
    changes: tuple[SessionChange, ...] = ()
    registration: Registration | None = None


class AnswerTracker:
    """Follows one answer.

    :param slots: the expected parts in order
    """

    __slots__ = ("_slots", "completed", "failed")

    def __init__(self, slots: list[AnswerSlot]) -> None:
        self._slots = slots
        self.completed = 0
        self.failed = False

    def finish(self) -> bytes:
        """Return the proxy's own answers that are left once the unit ended without an error."""
        return b"" if self.failed else self._take_own_answers()

    def feed(self, data: bytes) -> bytes:
        """Take whole messages of the answer and return those to send to the client."""
        relayed = []
        offset = 0
        while offset < len(data):
            end = offset + 1 + _LENGTH_AT_1.unpack_from(data, offset)[0]
            relayed.append(self._take(data[offset], data[offset:end]))
            offset = end
        return b"".join(relayed)

    def completed_slots(self) -> list[AnswerSlot]:
        """Return the parts that were completed."""
        return self._slots[: self.completed]

    def _take(self, kind: int, message: bytes) -> bytes:
        if kind == _ERROR:
            self.failed = True
            return message
        if self.failed or kind in _ASYNCHRONOUS:
            return message
        # An own answer waits for proof that nothing failed: the next part of the answer.
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
