"""Databases that clients name, and members that announce themselves.  Kinds 200-209."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedyke.messages.registry import message


class Consistency(enum.StrEnum):
    """Which commits a read of a database must see.

    ``PRIMARY``: every acknowledged one.  ``BOUNDED``: those acknowledged longer ago than the
    database's bound.  ``SESSION``: those, and all of the reading session itself.
    """

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


class MemberState(enum.StrEnum):
    """Whether an announced member takes new work.

    ``UNKNOWN``: a later version's state, read from its records; the member is not used.
    """

    READY = "ready"
    DRAINING = "draining"
    UNKNOWN = "unknown"

    @classmethod
    def _missing_(cls, value: object) -> MemberState | None:
        """Read a name that this version lacks as ``UNKNOWN``; what is no name stays an error."""
        return cls.UNKNOWN if isinstance(value, str) else None


@message(200)
@dataclass(frozen=True, slots=True)
class Database:
    """A name that clients open sessions for, and how their statements are served.

    :param statement_timeout_ms: longest time for one statement
    :param target_latency_ms: time within which an operation should be done
    :param priority: 0 goes first
    :param max_staleness_ms: for ``BOUNDED`` and ``SESSION``: age up to which commits may be missed
    :param maximum_attempts: how often a read may be run
    :param is_public: clients need no access key, and speak for no tenant
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
    """Limits of the sessions of all databases; times in milliseconds, 0 for none."""

    idle_in_transaction_ms: int = 0


NO_SESSION_LIMITS = SessionLimits()


@message(202)
@dataclass(frozen=True, slots=True)
class AnnouncedMember:
    """What a member of a group last said of itself.

    :param identity: unique; an address may pass to another member
    :param address: ``ip:port``
    :param capacity: statements it executes at once
    :param is_primary: how it sees itself
    :param started_at_ms: when it started, Unix milliseconds by its own clock: a member that starts
        again under its identity is another incarnation, which holds nothing of the one before; 0
        where members do not tell it
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
