"""Client statements and their answers, independent of the client protocol.  Kinds 210-219."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedyke.messages.databases import Database
from limedyke.messages.registry import message
from limedyke.messages.work import LogPosition, SessionSetting, TransactionStatus


class StatementKind(enum.StrEnum):
    """The kind of a statement."""

    BEGIN = "begin"
    BEGIN_READ = "begin-read"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"


@message(210)
@dataclass(frozen=True, slots=True)
class Statement:
    """A statement as a client sent it.

    :param request_id: the client's identifier of this attempt
    :param text: the raw statement, decoded as Latin-1
    :param name: name of the setting or prepared statement
    :param value: value of the setting, shape of the prepared statement, or execution arguments
    :param writes: for ``PREPARE``, whether the prepared statement writes
    """

    request_id: str
    kind: StatementKind
    text: str
    name: str = ""
    value: str = ""
    writes: bool = False


@message(211)
@dataclass(frozen=True, slots=True)
class StatementAnswer:
    """The answer to a client.

    :param code: number of a result code; 0 on success
    :param detail: details of this occurrence, without secrets
    :param retry_after_ms: delay before a retry; 0 if unknown
    :param signature: the member's signature, or ``-`` if the proxy itself answers
    """

    code: int = 0
    detail: str = ""
    retry_after_ms: int = 0
    rows: tuple[str, ...] = ()
    signature: str = "-"


class AnswerKind(enum.StrEnum):
    """The outcome of a statement at a member.

    ``LOST``: the connection broke after sending.  ``NOT_SENT``: it broke before sending.
    ``TOO_LATE``: the statement's time was over before it could be sent.  ``OUTDATED``: a read of
    the primary ran on a log that lacks an acknowledged commit, so its rows are not delivered.
    """

    DONE = "done"
    BUSY = "busy"
    NO_CONNECTION = "no-connection"
    WRONG_MEMBER = "wrong-member"
    NOT_PRIMARY = "not-primary"
    BEHIND = "behind"
    UNKNOWN_NAME = "unknown-name"
    MALFORMED = "malformed"
    ABORTED = "aborted"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    TOO_LATE = "too-late"
    LOST = "lost"
    NOT_SENT = "not-sent"
    OUTDATED = "outdated"


NOT_RUN = frozenset(
    {
        AnswerKind.BUSY,
        AnswerKind.NO_CONNECTION,
        AnswerKind.WRONG_MEMBER,
        AnswerKind.NOT_PRIMARY,
        AnswerKind.BEHIND,
        AnswerKind.UNKNOWN_NAME,
        AnswerKind.MALFORMED,
        AnswerKind.ABORTED,
        AnswerKind.NOT_SENT,
        AnswerKind.TOO_LATE,
    }
)
"""Outcomes that prove that the statement did not run."""


@message(212)
@dataclass(frozen=True, slots=True)
class MemberAnswer:
    """A member's complete answer to one statement.

    :param status: state of the connection's transaction afterwards
    :param position: position of the member's log; None if not reported
    """

    kind: AnswerKind
    rows: tuple[str, ...] = ()
    signature: str = ""
    detail: str = ""
    status: TransactionStatus = TransactionStatus.IDLE
    position: LogPosition | None = None


@message(213)
@dataclass(frozen=True, slots=True)
class MemberStatus:
    """A member's report on itself.

    :param position: last log position received
    :param held_term: term in which it was told to stop receiving; 0 for none
    """

    is_primary: bool
    term: int
    position: LogPosition
    held_term: int
    lag_ms: int
    busy: int
    connections: int

    @property
    def is_held(self) -> bool:
        """Whether it receives nothing more: no later term than that of the hold has begun."""
        return self.held_term > self.position.term


@message(214)
@dataclass(frozen=True, slots=True)
class PreparedShape:
    """The shape of a prepared statement."""

    shape: str
    writes: bool


@message(215)
@dataclass(frozen=True, slots=True)
class StatementUnit:
    """A statement forwarded to a home proxy of the group.

    :param stream: identifies the unit on its link
    :param transaction: number of the client's open transaction, unique on the sending proxy; 0
        outside a transaction
    :param database: the database as known to the sending proxy
    :param begin: the statement that began the transaction; only with its first statement
    :param writes: whether it must run at the primary
    :param prepared: the prepared statement that an execution runs
    :param settings: the session's settings
    :param written: position of the session's last commit; None before its first one
    :param deadline_ms: time left for waiting and running
    :param tenant: the client's tenant; empty for a public database
    :param may_decline: whether the home proxy may decline it if its queue is long
    :param sent_ms: when it was sent, by the sender's monotonic clock; 0 if not stated
    """

    stream: int
    transaction: int
    database: Database
    statement: Statement
    begin: Statement | None
    writes: bool
    prepared: PreparedShape | None
    settings: tuple[SessionSetting, ...]
    written: LogPosition | None
    deadline_ms: int
    tenant: str = ""
    may_decline: bool = False
    sent_ms: int = 0


@message(217)
@dataclass(frozen=True, slots=True)
class HomeLoad:
    """Expected waiting times for a connection at a home proxy, for units of a group.

    Both are listed by priority, 0 first; the last value applies to all lower priorities.

    :param writes_ms: for units that need the primary
    :param reads_ms: for units that a replica may serve
    """

    writes_ms: tuple[int, ...] = ()
    reads_ms: tuple[int, ...] = ()


@message(216)
@dataclass(frozen=True, slots=True)
class StatementUnitEnd:
    """The complete answer to a forwarded statement.

    :param status: state of the client's transaction afterwards
    :param written: position of the session's last commit
    :param load: load of the home proxy; None if nothing waits or it is not reported
    """

    stream: int
    answer: StatementAnswer
    status: TransactionStatus
    written: LogPosition | None = None
    load: HomeLoad | None = None
