"""Databases that clients connect to, and members that announce themselves.  Kinds 200-209."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedyke.messages.registry import message


class Consistency(enum.StrEnum):
    """Which commits a read of a database must see.

    ``PRIMARY``: every acknowledged commit.  ``BOUNDED``: commits acknowledged longer ago than the
    database's staleness bound.  ``SESSION``: those, and all commits of the reading session.
    """

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


class MemberState(enum.StrEnum):
    """Whether an announced member accepts new work.

    ``UNKNOWN``: a state introduced by a later version; the member is not used.
    """

    READY = "ready"
    DRAINING = "draining"
    UNKNOWN = "unknown"

    @classmethod
    def _missing_(cls, value: object) -> MemberState | None:
        """Read a name that this version lacks as ``UNKNOWN``; non-string values remain errors."""
        return cls.UNKNOWN if isinstance(value, str) else None


@message(200)
@dataclass(frozen=True, slots=True)
class Database:
    """A database that clients open sessions for, and how its statements are served.

    :param statement_timeout_ms: timeout of one statement
    :param target_latency_ms: target for the duration of an operation
    :param priority: 0 is the most urgent
    :param max_staleness_ms: for ``BOUNDED`` and ``SESSION``, the age up to which commits may be
        missed
    :param maximum_attempts: maximum number of executions of a read
    :param is_public: clients need no access key and belong to no tenant
    """

    name: str
    group: str
    consistency: Consistency
    statement_timeout_ms: int
    target_latency_ms: int
    priority: int
    max_staleness_ms: int = 0
    maximum_attempts: int = 2
    is_public: bool = False


@message(201)
@dataclass(frozen=True, slots=True)
class SessionLimits:
    """Session limits for all databases; times in milliseconds, 0 for no limit."""

    idle_in_transaction_ms: int = 0


NO_SESSION_LIMITS = SessionLimits()


@message(202)
@dataclass(frozen=True, slots=True)
class AnnouncedMember:
    """The last announcement of a group member.

    :param identity: unique, unlike the address, which may pass to another member
    :param address: ``ip:port``
    :param capacity: maximum number of concurrent statements
    :param is_primary: whether it considers itself the primary
    :param started_at_ms: start time in Unix milliseconds by the member's clock. A member that
        restarts under its identity is a new incarnation with an empty log; 0 if members do not
        report it
    """

    identity: str
    group: str
    address: str
    zone: str
    software_version: str
    capacity: int
    state: MemberState
    is_primary: bool
    started_at_ms: int = 0
