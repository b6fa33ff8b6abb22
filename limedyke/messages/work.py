"""Units of work and their answers, inside a proxy and between proxies.  Kinds 90-99.

The client side of a proxy turns each batch of PostgreSQL messages (a simple query, or extended
messages up to Sync) into a ``WorkUnit``.  The back-end side runs it on a member, locally or at a
home proxy over a link, and answers with ``AnswerChunk`` messages and one ``AnswerEnd``.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedyke.messages.declaration import Priority
from limedyke.messages.registry import message


class Access(enum.StrEnum):
    """Whether the statements of a unit may write."""

    READ = "read"
    WRITE = "write"


class TransactionStatus(enum.StrEnum):
    """Transaction state after a batch, as in PostgreSQL's ReadyForQuery."""

    IDLE = "I"
    IN_TRANSACTION = "T"
    FAILED = "E"


@message(90)
@dataclass(frozen=True, slots=True, order=True)
class LogPosition:
    """A position in a group's log, ordered by term, then by position in bytes.

    A replica satisfies a required position only if both its term and its position are at least the
    required ones; this differs from the ordering of the pair.
    """

    term: int = 0
    position: int = 0

    def satisfies(self, required: LogPosition) -> bool:
        """Return whether data at this position includes all commits up to ``required``."""
        return self.term >= required.term and self.position >= required.position


FIRST_POSITION = LogPosition()
"""The position of an empty log."""


@message(91)
@dataclass(frozen=True, slots=True)
class PreparedStatement:
    """A named statement that the batch uses, and that may not be prepared on the connection yet.

    :param name: the proxy's name for the statement at the back end
    """

    name: str
    text: str
    parameter_types: tuple[int, ...] = ()


@message(92)
@dataclass(frozen=True, slots=True)
class SessionSetting:
    """A setting that the client made with SET, applied to the connection before its work.

    :param value: as for ``set_config(name, value, false)``; lists are comma-separated
    """

    name: str
    value: str


@message(93)
@dataclass(frozen=True, slots=True)
class WorkUnit:
    """One batch to run on one member.

    :param stream: identifies the unit on its link; unique per link
    :param transaction: number of the open transaction that the batch belongs to, or 0; the unit
        that opens a transaction carries the number too, and the transaction stays on one connection
    :param required: the position that a replica must have reached
    :param barrier: the session's position is unknown; read at the primary, or at a replica that has
        reached the primary's current position
    :param repeatable: the unit may run again elsewhere until part of its answer has been relayed
    :param once_key: key of a request that must run at most once, or empty
    :param staleness_ms: maximum age of data on a replica; 0 for no bound
    :param deadline_ms: time left for waiting and running
    :param prepared: named statements that the batch uses. They are parsed before ``data`` if the
        connection does not know them; the answers are not relayed, except that an error becomes the
        answer to the unit.  A client's Parse of a named statement is not in ``data``
    :param settings: the session's settings at the start of the transaction. They are set before
        ``data`` if the connection has others, and the answers are not relayed; empty for units
        inside an open transaction
    :param data: the PostgreSQL messages, ending in one Query or Sync; all answers to them
        except ReadyForQuery are relayed
    :param leaves_state: the batch may change settings or other state of its connection; once the
        transaction has ended, discard that state before the connection serves another unit
    :param sent_ms: when it was sent, by the sender's monotonic clock; 0 if not stated
    """

    stream: int
    tenant: str
    group: str
    access: Access
    priority: Priority
    transaction: int
    required: LogPosition
    barrier: bool
    repeatable: bool
    once_key: str
    staleness_ms: int
    deadline_ms: int
    prepared: tuple[PreparedStatement, ...]
    settings: tuple[SessionSetting, ...]
    data: bytes
    leaves_state: bool = False
    sent_ms: int = 0


@message(94)
@dataclass(frozen=True, slots=True)
class AnswerChunk:
    """PostgreSQL messages for the client, whole messages only, without ReadyForQuery."""

    stream: int
    data: bytes


@message(95)
@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The end of the answer to a unit.

    :param status: transaction state after the batch
    :param position: for writes, a position at or after the commit; for reads, the position read at
    :param member: the member that served it, or empty
    :param by_replica: whether a replica served it
    :param code: number of a result code if the proxy refuses or fails the unit, otherwise 0
    :param detail: detail of that code
    :param retry_after_ms: delay before a retry; 0 if unknown
    """

    stream: int
    status: TransactionStatus
    position: LogPosition
    member: str
    by_replica: bool
    code: int = 0
    detail: str = ""
    retry_after_ms: int = 0


@message(96)
@dataclass(frozen=True, slots=True)
class AbandonWork:
    """Stop the unit and roll back its transaction: the client disconnected or cancelled."""

    stream: int
    transaction: int
    cancel_only: bool


@message(97)
@dataclass(frozen=True, slots=True)
class AnswerCredit:
    """Flow control: the receiver has relayed ``size`` bytes of an answer, and accepts more."""

    stream: int
    size: int


@message(98)
@dataclass(frozen=True, slots=True)
class LinkProbe:
    """Probes the other end of a forwarding link, or answers a probe."""

    sequence: int
    is_answer: bool
