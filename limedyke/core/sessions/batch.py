"""The plan of one batch of client messages, and the statement and portal names of a session."""

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
# SQLSTATE codes that PostgreSQL uses for the same errors.
UNKNOWN_STATEMENT = "26000"
DUPLICATE_STATEMENT = "42P05"
CONFIGURATION_LIMIT = "53400"
MAXIMUM_PREPARED_STATEMENTS = 2_000
MAXIMUM_PREPARED_BYTES = 4 * 1024 * 1024
_LENGTH = struct.Struct("!I")


class BatchError(Exception):
    """The whole batch is rejected; ``answer`` is the ErrorResponse to send."""

    def __init__(self, answer: bytes) -> None:
        super().__init__("refused")
        self.answer = answer


@dataclass(frozen=True, slots=True)
class ParsedStatement:
    """A statement that a session parsed.

    :param prepared: the statement as sent to the back end; set for named statements
    :param parse: the client's Parse message; set for the unnamed statement
    """

    profile: StatementProfile
    prepared: PreparedStatement | None = None
    parse: bytes = b""


@dataclass(slots=True)
class StatementNames:
    """The prepared statements and portals of a session by name; kept between batches."""

    named: dict[bytes, ParsedStatement] = field(default_factory=dict)
    unnamed: ParsedStatement | None = None
    portals: dict[bytes, ParsedStatement] = field(default_factory=dict)

    @property
    def size(self) -> int:
        """Total length of the texts of the named statements, in characters."""
        return sum(len(known.prepared.text) for known in self.named.values() if known.prepared)


@dataclass(slots=True)
class BatchPlan:
    """What one batch asks for.

    :param data: messages for the back end, ending in Query or Sync; empty when none is needed
    :param slots: the expected answer, or None to relay the answer unchanged
    :param only_queries: every statement is a query, judged by its first words
    :param is_partial: the rest of the batch belongs to the same implicit transaction, because a
        portal is still open or something was written
    :param local_answer: the complete answer, if no slots are given and nothing has to run
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
    """Builds the answers to statements that the proxy executes itself.

    :param run: applies a session change and returns the value to show, or raises ``BatchError``
    """

    __slots__ = ("run",)

    def __init__(self, run: Callable[[SessionChange], str]) -> None:
        self.run = run

    def describe(self, profile: StatementProfile) -> bytes:
        """Return the RowDescription or NoData of a statement."""
        change = _first_change(profile)
        if change is None or change.effect is not Effect.SHOW:
            return NO_DATA
        return text_row_description(change.name)

    def execute(self, profile: StatementProfile) -> bytes:
        """Execute a statement and return its answer without the row description."""
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
    """Raise ``BatchError`` for a statement that the proxy doesn't support."""
    if profile.refusal:
        failure = Failure(ResultCode.FEATURE_NOT_SUPPORTED, f"Not supported: {profile.refusal}.")
        raise BatchError(failure_response(failure))


def check_statement_limits(names: StatementNames, added: int, size: int) -> None:
    """Raise ``BatchError`` if one more named statement would exceed the limits of the session.

    :param added: number of statements that the batch has added already
    :param size: length of the text of the new statement
    """
    message = ""
    if len(names.named) + added >= MAXIMUM_PREPARED_STATEMENTS:
        message = f"more than {MAXIMUM_PREPARED_STATEMENTS} prepared statements"
    elif names.size + size > MAXIMUM_PREPARED_BYTES:
        message = f"prepared statements above {MAXIMUM_PREPARED_BYTES} bytes"
    if message:
        raise BatchError(error_response(CONFIGURATION_LIMIT, message))


def statement_name(text: bytes, parameter_types: tuple[int, ...]) -> str:
    """Return the name under which the back end knows a statement with these parameter types."""
    digest = hashlib.sha256(text + b"\0" + repr(parameter_types).encode())
    return STATEMENT_NAME_PREFIX + digest.hexdigest()[:STATEMENT_NAME_DIGITS]


def with_body(kind: int, body: bytes) -> bytes:
    """Return the encoded message with this type and body."""
    return bytes((kind,)) + _LENGTH.pack(len(body) + _LENGTH.size) + body


def plan_query(message: ClientMessage, profile: StatementProfile, local: LocalAnswers) -> BatchPlan:
    """Plan a simple query other than PREPARE and EXECUTE.

    :raises BatchError: when the query is rejected
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
