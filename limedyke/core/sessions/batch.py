"""What one batch of a client's messages asks for, and the names they use."""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

from limedyke.core.sql.statement import (
    NO_HINTS,
    Effect,
    SessionChange,
    StatementHints,
    StatementProfile,
)
from limedyke.core.units.answer_tracker import COMPLETES_EXECUTE, AnswerSlot
from limedyke.messages.work import Access, PreparedStatement
from limedyke.postgres.client_framing import ClientMessage
from limedyke.postgres.client_messages import (
    EMPTY_QUERY,
    NO_DATA,
    command_complete,
    error_response,
    failure_response,
    text_row,
    text_row_description,
)
from limedyke.result_codes import Failure, ResultCode

STATEMENT_NAME_PREFIX = "ld_"
STATEMENT_NAME_DIGITS = 32
# SQLSTATEs as PostgreSQL gives them.
UNKNOWN_STATEMENT = "26000"
DUPLICATE_STATEMENT = "42P05"
CONFIGURATION_LIMIT = "53400"
MAXIMUM_PREPARED = 2_000
MAXIMUM_PREPARED_BYTES = 4 * 1024 * 1024
_LENGTH = struct.Struct("!I")


class BatchError(Exception):
    """The batch is refused as a whole; ``answer`` is the ErrorResponse."""

    def __init__(self, answer: bytes) -> None:
        super().__init__("refused")
        self.answer = answer


@dataclass(frozen=True, slots=True)
class ParsedStatement:
    """A statement that a session parsed.

    :param prepared: its form at the back end, for a named one
    :param parse: the client's Parse message, for the unnamed one
    """

    profile: StatementProfile
    prepared: PreparedStatement | None = None
    parse: bytes = b""


@dataclass(slots=True)
class StatementNames:
    """What a session's names stand for; kept between batches."""

    named: dict[bytes, ParsedStatement] = field(default_factory=dict)
    unnamed: ParsedStatement | None = None
    portals: dict[bytes, ParsedStatement] = field(default_factory=dict)

    @property
    def size(self) -> int:
        """Characters of the texts of the named statements."""
        return sum(len(known.prepared.text) for known in self.named.values() if known.prepared)


@dataclass(slots=True)
class BatchPlan:
    """What one batch asks for.

    :param data: messages for the back end, ending in Query or Sync; empty when none is needed
    :param slots: the expected answer, or None when it passes as it is
    :param only_queries: every statement only asks for rows by its first words
    :param is_partial: what follows in the batch belongs to the same implicit transaction: a
        portal is left open, or something was written
    :param local_answer: the whole answer, when no slots are given and nothing is to run
    """

    access: Access = Access.READ
    data: bytes = b""
    slots: list[AnswerSlot] | None = None
    prepared: tuple[PreparedStatement, ...] = ()
    effects: set[Effect] = field(default_factory=set)
    leaves_state: bool = False
    may_open_transaction: bool = False
    may_commit: bool = False
    only_queries: bool = False
    is_partial: bool = False
    hints: StatementHints = NO_HINTS
    local_answer: bytes = b""


class LocalAnswers:
    """Answers of the proxy itself, given by the session.

    :param run: carries out a change and returns the value to show, or raises ``BatchError``
    """

    __slots__ = ("run",)

    def __init__(self, run: Callable[[SessionChange], str]) -> None:
        self.run = run

    def describe(self, profile: StatementProfile) -> bytes:
        """Return what describes the rows of a statement."""
        change = _first_change(profile)
        if change is None or change.effect is not Effect.SHOW:
            return NO_DATA
        return text_row_description(change.name)

    def execute(self, profile: StatementProfile) -> bytes:
        """Carry a statement out and return its answer without a description."""
        change = _first_change(profile)
        if change is None:
            return EMPTY_QUERY
        value = self.run(change)
        complete = command_complete(profile.command)
        if change.effect is Effect.SHOW:
            return text_row(value) + complete
        return complete


def _first_change(profile: StatementProfile) -> SessionChange | None:
    return profile.changes[0][1] if profile.changes else None


def check_refusal(profile: StatementProfile) -> None:
    """Raise ``BatchError`` for a statement the proxy doesn't carry."""
    if profile.refusal:
        failure = Failure(ResultCode.FEATURE_NOT_SUPPORTED, f"Not carried: {profile.refusal}.")
        raise BatchError(failure_response(failure))


def check_room(names: StatementNames, added: int, size: int) -> None:
    """Raise ``BatchError`` when a session has no room for another named statement.

    :param added: statements that the batch added before
    :param size: length of its text
    """
    message = ""
    if len(names.named) + added >= MAXIMUM_PREPARED:
        message = f"more than {MAXIMUM_PREPARED} prepared statements"
    elif names.size + size > MAXIMUM_PREPARED_BYTES:
        message = f"prepared statements above {MAXIMUM_PREPARED_BYTES} bytes"
    if message:
        raise BatchError(error_response(CONFIGURATION_LIMIT, message))


def statement_name(text: bytes, parameter_types: tuple[int, ...]) -> str:
    """Return the name at the back end of a statement with these types."""
    digest = hashlib.sha256(text + b"\0" + repr(parameter_types).encode())
    return STATEMENT_NAME_PREFIX + digest.hexdigest()[:STATEMENT_NAME_DIGITS]


def with_body(kind: int, body: bytes) -> bytes:
    """Return a whole message of this type and body."""
    return bytes((kind,)) + _LENGTH.pack(len(body) + _LENGTH.size) + body


def plan_query(message: ClientMessage, profile: StatementProfile, local: LocalAnswers) -> BatchPlan:
    """Plan a simple query, other than PREPARE and EXECUTE.

    :raises BatchError: when it is refused
    """
    check_refusal(profile)
    if profile.local:
        description = local.describe(profile)
        answer = local.execute(profile)
        if description != NO_DATA:
            answer = description + answer
        return BatchPlan(local_answer=answer)
    plan = BatchPlan(
        access=profile.access,
        data=message.raw,
        leaves_state=profile.leaves_state,
        may_open_transaction=profile.may_open_transaction,
        may_commit=profile.may_commit,
        only_queries=profile.only_queries,
        hints=profile.hints,
    )
    if profile.changes:
        plan.effects = {change.effect for _, change in profile.changes}
        plan.slots = _query_slots(profile)
    return plan


def _query_slots(profile: StatementProfile) -> list[AnswerSlot]:
    by_statement: dict[int, list[SessionChange]] = {}
    for index, change in profile.changes:
        by_statement.setdefault(index, []).append(change)
    return [
        AnswerSlot(COMPLETES_EXECUTE, changes=tuple(by_statement.get(index, ())))
        for index in range(profile.statements)
    ]
