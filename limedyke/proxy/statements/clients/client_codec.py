"""What a proxy needs of a client protocol; sans-IO."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from limedyke.messages.statements import Statement, StatementAnswer
from limedyke.messages.work import TransactionStatus


@dataclass(frozen=True, slots=True)
class SessionRequested:
    """The client opens its session.

    :param access_key: what it shows to be known by; empty when it shows nothing
    """

    database: str
    access_key: str = field(repr=False)


@dataclass(frozen=True, slots=True)
class StatementReceived:
    """The client sent a statement."""

    statement: Statement


@dataclass(frozen=True, slots=True)
class MalformedStatement:
    """The client sent what is no statement; it is refused and the session goes on."""

    reason: str


@dataclass(frozen=True, slots=True)
class SessionEnded:
    """The client ends its session; ``reason`` is empty for an orderly end."""

    reason: str = ""


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """The proxy itself wants the session to end: its client asks nothing."""


ClientEvent = (
    SessionRequested | StatementReceived | MalformedStatement | SessionEnded | LeaveRequested
)


class ClientCodec(Protocol):
    """One client connection's codec."""

    def feed(self, data: bytes) -> list[ClientEvent]:
        """Take received bytes; return the events now whole."""

    def ready(self) -> bytes:
        """Say that the session is open."""

    def answer(self, answer: StatementAnswer, status: TransactionStatus) -> bytes:
        """Return the whole answer to a statement."""

    def refuse_session(self, answer: StatementAnswer) -> bytes:
        """Say why no session is opened; the connection is closed behind it."""

    def session_over(self, reason: StatementAnswer) -> bytes:
        """Tell a client that asks nothing that its session is over.

        To a client whose statement is on its way this begins the answer to it.
        """

    def end_of_answer(self, status: TransactionStatus) -> bytes:
        """Return what is missing of an answer that ``session_over`` has begun."""
