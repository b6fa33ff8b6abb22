"""The interface that a client protocol implements, without I/O, and its events."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from limedyke.messages.statements import Statement, StatementAnswer
from limedyke.messages.work import TransactionStatus


@dataclass(frozen=True, slots=True)
class SessionRequested:
    """The client asks to open a session.

    :param access_key: the key that it presents; empty for none
    """

    database: str
    access_key: str = field(repr=False)


@dataclass(frozen=True, slots=True)
class StatementReceived:
    """The client sent a statement."""

    statement: Statement


@dataclass(frozen=True, slots=True)
class MalformedStatement:
    """The client sent something that is no statement; it is refused and the session goes on."""

    reason: str


@dataclass(frozen=True, slots=True)
class SessionEnded:
    """The client ends its session; ``reason`` is empty for an orderly end."""

    reason: str = ""


@dataclass(frozen=True, slots=True)
class SessionEndRequested:
    """The proxy ends the session while its client is idle."""


ClientEvent = (
    SessionRequested | StatementReceived | MalformedStatement | SessionEnded | SessionEndRequested
)


class ClientCodec(Protocol):
    """The codec of one client connection."""

    def feed(self, data: bytes) -> list[ClientEvent]:
        """Parse received bytes; return the events that are complete."""

    def ready(self) -> bytes:
        """Encode that the session is open."""

    def answer(self, answer: StatementAnswer, status: TransactionStatus) -> bytes:
        """Encode the whole answer to a statement."""

    def refuse_session(self, answer: StatementAnswer) -> bytes:
        """Encode why no session is opened; the connection is closed after it."""

    def session_over(self, reason: StatementAnswer) -> bytes:
        """Encode that the session is over, for a client that is idle.

        A client whose statement is in flight reads this as the start of the answer to it.
        """

    def end_of_answer(self, status: TransactionStatus) -> bytes:
        """Encode the rest of an answer that ``session_over`` started."""
