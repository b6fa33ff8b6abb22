"""Statements of simulated clients and proxies, and their results at a member.

A request keeps one name from the client to the member's log, so that checkers can trace it;
each attempt to send it has its own name.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Begin:
    """Open a transaction."""


@dataclass(frozen=True, slots=True)
class Commit:
    """Commit the open transaction."""


@dataclass(frozen=True, slots=True)
class Rollback:
    """Roll the open transaction back."""


@dataclass(frozen=True, slots=True)
class Put:
    """Write ``request`` as the value of a key of a tenant.

    :param attempt: names one sending of the request
    """

    request: str
    attempt: str
    tenant: str
    caller: str
    key: str


@dataclass(frozen=True, slots=True)
class Get:
    """Read a key.

    :param attempt: names one sending of the request
    :param must_hold: the caller's own last acknowledged write of the key, for the checker only
    """

    request: str
    attempt: str
    tenant: str
    caller: str
    key: str
    must_hold: str


@dataclass(frozen=True, slots=True)
class OnceRow:
    """Insert the row of a once-key, after waiting for uncommitted rows with the same key.

    :param skip_if_known: if the key was used before, insert nothing instead of failing
    """

    key: str
    digest: str
    skip_if_known: bool = False


@dataclass(frozen=True, slots=True)
class OnceTag:
    """Set the command tag in the row of a once-key; None rewrites the row unchanged."""

    key: str
    tag: str | None


@dataclass(frozen=True, slots=True)
class OnceQuery:
    """Read the row of a once-key."""

    key: str


@dataclass(frozen=True, slots=True)
class PositionQuery:
    """Query the member's verified term, role and log position.

    :param mark: value echoed as the last column; empty for no such column
    """

    mark: str = ""


@dataclass(frozen=True, slots=True)
class PromiseTerm:
    """Ask a member to promise a term."""

    term: int
    promoter: str


@dataclass(frozen=True, slots=True)
class PromoteTerm:
    """Ask a member to become primary in a term that it promised."""

    term: int


@dataclass(frozen=True, slots=True)
class SessionCommand:
    """A command that affects only the connection, such as SET or DISCARD ALL."""

    tag: str


Statement = (
    Begin
    | Commit
    | Rollback
    | Put
    | Get
    | OnceRow
    | OnceTag
    | OnceQuery
    | PositionQuery
    | PromiseTerm
    | PromoteTerm
    | SessionCommand
)


@dataclass(frozen=True, slots=True)
class Done:
    """A statement succeeded.

    :param tag: command tag
    :param attempt: the request's attempt that it belongs to, or empty
    """

    tag: str
    attempt: str = ""


@dataclass(frozen=True, slots=True)
class Value:
    """The value read: the request that wrote it, or empty.

    :param holds_own_write: whether the member had applied the write named in ``must_hold``
    """

    attempt: str
    value: str
    holds_own_write: bool
    member: str


@dataclass(frozen=True, slots=True)
class Position:
    """Answer to the position query."""

    mark: str
    term: int
    is_replica: bool
    position: int


@dataclass(frozen=True, slots=True)
class Promised:
    """Answer to a promise."""

    last_term: int
    position: int


@dataclass(frozen=True, slots=True)
class StatementError:
    """A statement failed with an SQLSTATE; the rest of the batch is skipped."""

    sqlstate: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class OnceValue:
    """The row of a once-key, if there is one."""

    digest: str
    tag: str
    found: bool


Write = Put | OnceRow | OnceTag
StatementResult = Done | Value | OnceValue | Position | Promised | StatementError

READ_ONLY = "25006"
NOT_IN_PREREQUISITE_STATE = "55000"
OUTCOME_UNKNOWN = "40003"
UNIQUE_VIOLATION = "23505"
TOO_MANY_CONNECTIONS = "53300"
IN_FAILED_TRANSACTION = "25P02"
