"""State of one client's session of statements: what is allowed next and what it has set; sans-IO.

The session answers statements that need no member by itself.  A transaction begins at a member only
with its first statement, so that an empty transaction costs nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from limedyke.messages.databases import Consistency, Database
from limedyke.messages.statements import (
    PreparedShape,
    Statement,
    StatementAnswer,
    StatementKind,
)
from limedyke.messages.work import LogPosition, TransactionStatus
from limedyke.result_codes import ResultCode

MS_PER_S = 1_000.0


@dataclass(frozen=True, slots=True)
class RunOnMember:
    """The statement needs a member.

    :param begin: the statement that began the transaction; None outside a transaction, and once
        the transaction is open at a member
    :param writes: whether it must run at the primary
    :param prepared: the prepared statement that an execution runs
    """

    statement: Statement
    begin: Statement | None
    writes: bool
    prepared: PreparedShape | None = None


@dataclass(frozen=True, slots=True)
class EndTransaction:
    """The transaction must be rolled back at its member; the client is answered at once."""

    answer: StatementAnswer


Plan = StatementAnswer | RunOnMember | EndTransaction


def refusal(code: ResultCode, detail: str = "", retry_after_ms: int = 0) -> StatementAnswer:
    """Return a refusal or failure as an answer."""
    return StatementAnswer(code.value.number, detail or code.value.meaning, retry_after_ms)


@dataclass(slots=True)
class OpenTransaction:
    """A transaction that a client began.

    :param begin: the statement that began it
    :param at_member: whether its first statement was sent to a member
    """

    begin: Statement
    at_member: bool = False
    wrote: bool = False

    @property
    def reads_only(self) -> bool:
        """Whether the client declared it read-only."""
        return self.begin.kind is StatementKind.BEGIN_READ


@dataclass(slots=True)
class StatementSession:
    """The state of one client's session.

    :ivar database: settings for serving its statements; refreshed at the start of each operation
    :ivar written: position of the session's last write; None before its first commit
    :ivar tenant: tenant of the client, refreshed likewise because its key may pass to another
        tenant; empty at a public database
    :ivar access_key: digest of the client's key
    :ivar answer_by: latest time to answer statements, seconds of the monotonic clock
    :ivar tries_under_way: attempts of the current statement at a member or home proxy that may
        have run
    :ivar may_run_elsewhere: whether another proxy forwarded the statement, and may ask another home
        proxy
    :ivar unreported_failure: why its transaction was ended while the client was idle, until the
        client is informed
    """

    database: Database
    settings: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedShape] = field(default_factory=dict)
    status: TransactionStatus = TransactionStatus.IDLE
    transaction: OpenTransaction | None = None
    written: LogPosition | None = None
    tenant: str = ""
    access_key: bytes = b""
    answer_by: float = float("inf")
    tries_under_way: int = 0
    may_run_elsewhere: bool = False
    unreported_failure: ResultCode | None = None

    @property
    def was_sent(self) -> bool:
        """Whether the current statement may have run."""
        return self.tries_under_way > 0

    def begin_statement(self, answer_by: float) -> None:
        """Begin the next statement.

        :param answer_by: when the proxy stops answering, seconds of the monotonic clock
        """
        self.answer_by = answer_by
        self.tries_under_way = 0

    def statement_time_s(self, now: float) -> float:
        """Return the time limit of a statement that begins now."""
        return max(0.0, min(self.database.statement_timeout_ms / MS_PER_S, self.answer_by - now))

    def plan(self, statement: Statement) -> Plan:
        """Return what to do with the next statement."""
        if self.status is TransactionStatus.FAILED:
            return self._plan_after_failure(statement)
        match statement.kind:
            case StatementKind.BEGIN | StatementKind.BEGIN_READ:
                return self._begin(statement)
            case StatementKind.COMMIT:
                return self._commit(statement)
            case StatementKind.ROLLBACK:
                return self._rollback()
            case StatementKind.SET:
                self.settings[statement.name] = statement.value
                return StatementAnswer()
            case StatementKind.PREPARE:
                shape = PreparedShape(statement.value, statement.writes)
                self.prepared[statement.name] = shape
                return StatementAnswer()
            case StatementKind.DEALLOCATE:
                return self._deallocate(statement.name)
            case StatementKind.EXECUTE:
                return self._execute(statement)
        return self._run(statement, writes=statement.kind is StatementKind.WRITE)

    def needs_primary(self, run: RunOnMember) -> bool:
        """Return whether a statement outside an open transaction must go to the primary."""
        if run.begin is not None and run.begin.kind is StatementKind.BEGIN:
            return True
        return run.writes or self.database.consistency is Consistency.PRIMARY

    def ran(self, run: RunOnMember) -> None:
        """Record that a member answered a statement successfully."""
        transaction = self.transaction
        if run.statement.kind is StatementKind.COMMIT:
            self.close_transaction()
        elif transaction is not None:
            transaction.at_member = True
            transaction.wrote = transaction.wrote or run.writes

    def wrote_up_to(self, position: LogPosition | None) -> None:
        """Record the position after a commit of this session."""
        if position is not None and (self.written is None or position > self.written):
            self.written = position

    def fail_transaction(self) -> None:
        """Record that the transaction cannot continue; the client has to end it."""
        if self.transaction is not None:
            self.transaction = None
            self.status = TransactionStatus.FAILED

    def lose_transaction(self, reason: ResultCode) -> None:
        """Record that the transaction was ended while its client was idle.

        The client believes that it is open; the next statement reports that nothing was kept.
        """
        self.fail_transaction()
        self.unreported_failure = reason

    def close_transaction(self) -> None:
        """Return to the state outside a transaction."""
        self.transaction = None
        self.status = TransactionStatus.IDLE

    def _begin(self, statement: Statement) -> Plan:
        if self.transaction is not None:
            return refusal(ResultCode.PROTOCOL_VIOLATION, "A transaction is open already.")
        self.transaction = OpenTransaction(statement)
        self.status = TransactionStatus.IN_TRANSACTION
        return StatementAnswer()

    def _commit(self, statement: Statement) -> Plan:
        if self.transaction is None:
            return refusal(ResultCode.PROTOCOL_VIOLATION, "No transaction is open.")
        return self._run(statement, writes=self.transaction.wrote)

    def _rollback(self) -> Plan:
        if self.transaction is None:
            return refusal(ResultCode.PROTOCOL_VIOLATION, "No transaction is open.")
        was_at_member = self.transaction.at_member
        self.close_transaction()
        return EndTransaction(StatementAnswer()) if was_at_member else StatementAnswer()

    def _plan_after_failure(self, statement: Statement) -> Plan:
        failure, self.unreported_failure = self.unreported_failure, None
        if statement.kind is StatementKind.ROLLBACK:
            self.close_transaction()
            return StatementAnswer()
        if statement.kind is StatementKind.COMMIT:
            self.close_transaction()
            return refusal(failure or ResultCode.TRANSACTION_LOST)
        if failure is not None:
            return refusal(failure)
        return refusal(ResultCode.PROTOCOL_VIOLATION, "The transaction failed: end it first.")

    def _deallocate(self, name: str) -> Plan:
        if self.prepared.pop(name, None) is None:
            return refusal(ResultCode.UNKNOWN_STATEMENT_NAME, name)
        return StatementAnswer()

    def _execute(self, statement: Statement) -> Plan:
        prepared = self.prepared.get(statement.name)
        if prepared is None:
            return refusal(ResultCode.UNKNOWN_STATEMENT_NAME, statement.name)
        return self._run(statement, prepared.writes, prepared)

    def _run(
        self, statement: Statement, writes: bool, prepared: PreparedShape | None = None
    ) -> RunOnMember:
        transaction = self.transaction
        begins = transaction is not None and not transaction.at_member
        begin = transaction.begin if begins else None
        return RunOnMember(statement, begin, writes, prepared)
