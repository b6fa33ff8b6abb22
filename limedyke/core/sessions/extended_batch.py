"""Plans one batch of extended-protocol messages.

Unnamed statements are forwarded unchanged.  If one was parsed in an earlier
batch, its Parse is sent again and the answer to it is hidden from the client.
Named statements are renamed to a digest of their text and parameter types, so
that all connections of the tenant can share them.  The proxy answers the
client's Parse itself and lists the statement in ``prepared``; the back end
parses it on each connection that doesn't have it yet.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from limedyke.core.sessions.batch import (
    DUPLICATE_STATEMENT,
    UNKNOWN_STATEMENT,
    BatchError,
    BatchPlan,
    LocalAnswers,
    ParsedStatement,
    StatementNames,
    check_refusal,
    check_statement_limits,
    with_body,
)
from limedyke.core.sessions.extended_messages import (
    may_open_transaction,
    prepared_statement,
    split_target,
)
from limedyke.core.sql.statement import (
    NO_HINTS,
    Effect,
    SessionChange,
    StatementProfile,
    leaves_transaction_open_after_commit,
)
from limedyke.core.sql.statement_commands import BEGIN_AFTER_COMMIT
from limedyke.core.units.answer_tracker import (
    COMPLETES_BIND,
    COMPLETES_CLOSE,
    COMPLETES_DESCRIBE,
    COMPLETES_EXECUTE,
    COMPLETES_PARSE,
    AnswerSlot,
    Registration,
)
from limedyke.messages.work import Access, PreparedStatement
from limedyke.postgres.client_framing import ClientMessage
from limedyke.postgres.client_messages import (
    BIND_COMPLETE,
    CLOSE_COMPLETE,
    NO_PARAMETERS,
    PARSE_COMPLETE,
    SYNC,
    error_response,
)

NO_ROW_LIMIT = b"\0\0\0\0"


class ExtendedPlanner:
    """Plans a batch of extended-protocol messages.

    :param names: the session's names; registered once the answer confirms the statements
    :param profile_of: returns the profile of a statement text
    :param admit: returns the profile that applies in the current transaction state, or raises
        ``BatchError``; its second argument tells whether the batch opens a transaction
    """

    def __init__(
        self,
        names: StatementNames,
        profile_of: Callable[[bytes], StatementProfile],
        admit: Callable[[StatementProfile, Callable[[], bool]], StatementProfile],
        local: LocalAnswers,
    ) -> None:
        self._names = names
        self._profile_of = profile_of
        self._admit = admit
        self._local = local
        self._plan = BatchPlan()
        self._data: list[bytes] = []
        self._slots: list[AnswerSlot] = []
        self._prepared: dict[str, PreparedStatement] = {}
        self._parsed: dict[bytes, ParsedStatement] = {}
        self._closed: set[bytes] = set()
        self._portals = dict(names.portals) if names.portals else {}
        self._unnamed_sent = False
        self._needs_tracker = False
        self._effects: list[Effect] = []
        self._unfinished_portals: set[bytes] = set()
        self._messages: list[ClientMessage] = []
        self._plan.only_queries = True

    def plan(self, messages: list[ClientMessage]) -> BatchPlan:
        """Return the plan of the messages, given without their Sync or Flush.

        :raises BatchError: when the batch is rejected
        :raises ValueError: when a message is malformed
        """
        self._messages = messages
        for message in messages:
            self._plan_message(message)
        plan = self._plan
        if leaves_transaction_open_after_commit(self._effects):
            check_refusal(StatementProfile(Access.WRITE, refusal=BEGIN_AFTER_COMMIT))
        if self._data or self._prepared:
            self._data.append(SYNC)
            plan.data = b"".join(self._data)
        wrote = plan.access is Access.WRITE or bool(self._effects)
        plan.is_partial = bool(self._unfinished_portals) or wrote
        plan.prepared = tuple(self._prepared.values())
        if self._needs_tracker or not plan.data:
            plan.slots = self._slots
        self._names.portals = self._portals
        return plan

    def _opens_transaction(self) -> bool:
        """Tell whether the batch opens a transaction."""
        return any(
            may_open_transaction(message, self._names, self._profile_of)
            for message in self._messages
        )

    def _plan_message(self, message: ClientMessage) -> None:
        match chr(message.kind):
            case "P":
                self._plan_parse(message)
            case "B":
                self._plan_bind(message)
            case "D":
                self._plan_describe(message)
            case "E":
                self._plan_execute(message)
            case "C":
                self._plan_close(message)

    def _forward(
        self,
        data: bytes,
        completed_by: frozenset[int],
        changes: tuple[SessionChange, ...] = (),
        hidden: bool = False,
    ) -> None:
        self._data.append(data)
        self._slots.append(AnswerSlot(completed_by, hidden, b"", changes))
        if changes or hidden:
            self._needs_tracker = True

    def _answer_locally(self, answer: bytes, registration: Registration | None = None) -> None:
        self._slots.append(AnswerSlot(frozenset(), False, answer, (), registration))
        self._needs_tracker = True

    def _plan_parse(self, message: ClientMessage) -> None:
        body = message.body
        name, text, rest = body.split(b"\0", 2)
        if len(rest) < 2:
            raise ValueError("Parse without parameter types")
        profile = self._profile_of(text)
        # The current transaction state affects only this answer: the statement itself may be
        # executed later, in another state.
        is_local = self._admit(profile, self._opens_transaction).local
        check_refusal(profile)
        if any(change.effect in (Effect.PREPARE, Effect.EXECUTE) for _, change in profile.changes):
            check_refusal(StatementProfile(Access.WRITE, refusal="PREPARE in extended protocol"))
        if name:
            self._parse_named(name, text, body, profile, is_local)
            return
        known = ParsedStatement(profile, parse=message.raw)
        self._names.unnamed = known
        if is_local:
            self._unnamed_sent = False
            self._answer_locally(PARSE_COMPLETE)
            return
        self._unnamed_sent = True
        self._forward(message.raw, COMPLETES_PARSE)

    def _parse_named(
        self, name: bytes, text: bytes, body: bytes, profile: StatementProfile, is_local: bool
    ) -> None:
        exists = name in self._parsed or name in self._names.named
        if exists and name not in self._closed:
            shown = name.decode("utf-8", "replace")
            message = f'prepared statement "{shown}" already exists'
            raise BatchError(error_response(DUPLICATE_STATEMENT, message))
        check_statement_limits(self._names, len(self._parsed), len(text))
        if profile.local:
            known = ParsedStatement(profile)
        else:
            known = ParsedStatement(profile, prepared_statement(text, body))
        if not is_local:
            self._prepared[known.prepared.name] = known.prepared
        self._parsed[name] = known
        self._closed.discard(name)
        self._answer_locally(PARSE_COMPLETE, Registration(name, known))

    def _plan_bind(self, message: ClientMessage) -> None:
        portal, name, rest = message.body.split(b"\0", 2)
        known = self._find_statement(name)
        self._portals[portal] = known
        if known.profile.local:
            self._answer_locally(BIND_COMPLETE)
            return
        self._unfinished_portals.add(portal)
        if not name:
            self._ensure_unnamed_sent(known)
            self._forward(message.raw, COMPLETES_BIND)
            return
        body = portal + b"\0" + known.prepared.name.encode() + b"\0" + rest
        self._forward(with_body(message.kind, body), COMPLETES_BIND)

    def _find_statement(self, name: bytes) -> ParsedStatement:
        """Return the statement with this name, and list it for the back end to parse."""
        known = self._names.unnamed
        if name:
            known = self._parsed.get(name)
            if known is None and name not in self._closed:
                known = self._names.named.get(name)
        if known is None:
            shown = name.decode("utf-8", "replace")
            message = f'prepared statement "{shown}" does not exist'
            raise BatchError(error_response(UNKNOWN_STATEMENT, message))
        profile = self._admit(known.profile, self._opens_transaction)
        if profile is not known.profile:
            return replace(known, profile=profile)
        if known.prepared is not None:
            self._prepared[known.prepared.name] = known.prepared
        return known

    def _ensure_unnamed_sent(self, known: ParsedStatement) -> None:
        if not self._unnamed_sent:
            self._forward(known.parse, COMPLETES_PARSE, hidden=True)
            self._unnamed_sent = True

    def _plan_describe(self, message: ClientMessage) -> None:
        kind, name = split_target(message.body)
        if kind == b"S":
            self._describe_statement(message, name)
            return
        known = self._portals.get(name)
        if known is not None and known.profile.local:
            self._answer_locally(self._local.describe(known.profile))
            return
        self._forward(message.raw, COMPLETES_DESCRIBE)

    def _describe_statement(self, message: ClientMessage, name: bytes) -> None:
        known = self._find_statement(name)
        if known.profile.local:
            self._answer_locally(NO_PARAMETERS + self._local.describe(known.profile))
            return
        if not name:
            self._ensure_unnamed_sent(known)
            self._forward(message.raw, COMPLETES_DESCRIBE)
            return
        body = b"S" + known.prepared.name.encode() + b"\0"
        self._forward(with_body(message.kind, body), COMPLETES_DESCRIBE)

    def _plan_execute(self, message: ClientMessage) -> None:
        portal, rest = message.body.split(b"\0", 1)
        if len(rest) != len(NO_ROW_LIMIT):
            raise ValueError("Execute without row limit")
        known = self._portals.get(portal)
        # The portal belongs to a cursor or doesn't exist; the member decides.
        profile = StatementProfile(Access.WRITE) if known is None else known.profile
        if profile.local:
            self._answer_locally(self._local.execute(profile))
            return
        self._add_profile(profile)
        if rest == NO_ROW_LIMIT:
            self._unfinished_portals.discard(portal)
        changes = tuple(change for _, change in profile.changes)
        self._forward(message.raw, COMPLETES_EXECUTE, changes)

    def _add_profile(self, profile: StatementProfile) -> None:
        plan = self._plan
        if profile.access is Access.WRITE:
            plan.access = Access.WRITE
        plan.leaves_state = plan.leaves_state or profile.leaves_state
        plan.may_open_transaction = plan.may_open_transaction or profile.may_open_transaction
        plan.may_commit = plan.may_commit or profile.may_commit
        plan.only_queries = plan.only_queries and profile.only_queries
        self._effects.extend(change.effect for _, change in profile.changes)
        plan.effects.update(self._effects)
        if profile.hints is not NO_HINTS:
            plan.hints = profile.hints

    def _plan_close(self, message: ClientMessage) -> None:
        kind, name = split_target(message.body)
        if kind == b"P":
            known = self._portals.pop(name, None)
            if known is not None and known.profile.local:
                self._answer_locally(CLOSE_COMPLETE)
                return
            self._forward(message.raw, COMPLETES_CLOSE)
            return
        if not name:
            self._names.unnamed = None
            self._answer_locally(CLOSE_COMPLETE)
            return
        self._parsed.pop(name, None)
        self._closed.add(name)
        self._answer_locally(CLOSE_COMPLETE, Registration(name, None))
