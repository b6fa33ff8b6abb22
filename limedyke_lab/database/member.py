"""State of one member: role, term, log, promises, commits and their acknowledgement."""

from __future__ import annotations

import enum
from collections.abc import Callable

from limedyke.event_log import EventLog
from limedyke_lab.database.errors import SqlError, outcome_unknown, read_only
from limedyke_lab.database.history import History
from limedyke_lab.database.member_session import MemberSession
from limedyke_lab.database.options import DatabaseOptions
from limedyke_lab.database.replication.log import LogRecord, RecordLog
from limedyke_lab.database.replication.positions import format_position
from limedyke_lab.database.replication.promise import Promise, PromiseFile
from limedyke_lab.database.sql.engine import Engine
from limedyke_lab.database.sql.functions import timestamp_now
from limedyke_lab.database.switches import Switches
from limedyke_lab.database.waits import FairLock, Outcome, Slots, Waiter

_events = EventLog("database")


class Role(enum.Enum):
    """Role of a member in its group."""

    REPLICA = "replica"
    PROMISED = "promised"
    PROMOTING = "promoting"
    PRIMARY = "primary"


class Member:
    """One member of a group.

    Changes of term, role and log do not await in between, so no other task sees a partial change.

    :ivar verified_term: term under whose primary the applied log was last verified
    :ivar committed: position known to be stored by a majority
    :ivar applied: log position up to which SQLite has applied records
    """

    def __init__(self, options: DatabaseOptions) -> None:
        options.data.mkdir(parents=True, exist_ok=True)
        self.options = options
        self.switches = Switches(
            lag_ms=options.lag_ms,
            execute_ms=options.execute_ms,
            connect_delay_ms=options.connect_delay_ms,
            slots=options.slots,
            connection_limit=options.connection_limit,
        )
        self.is_new = not (options.data / RecordLog.FILE_NAME).exists()
        self.log = RecordLog(options.data)
        self.promise_file = PromiseFile(options.data)
        self.engine = Engine(options.data)
        self.history = History(options.name, options.history)
        self.slots = Slots(options.slots)
        self.write_lock = FairLock()
        self.advisory_locks: dict[tuple[int, ...], FairLock] = {}
        self.sessions: dict[int, MemberSession] = {}
        self.role = Role.REPLICA
        self.verified_term = 0
        self.committed = 0
        self.applied = self.engine.stored_position()
        self.term_start = 0
        self.matched: dict[str, int] = {}
        self.last_transaction = 0
        self._commit_waiters: list[tuple[int, Waiter]] = []
        self._role_waiters: list[Waiter] = []
        self.on_lead: Callable[[], object] | None = None
        self.on_log_change: Callable[[], object] | None = None
        self._recover()

    def _recover(self) -> None:
        """Restore the role and SQLite from the data folder."""
        if self.log.torn_bytes:
            _events.warning("log.torn_tail_cut", bytes=self.log.torn_bytes)
        promise = self.promise_file.current
        if promise.term and not promise.primary:
            self.role = Role.PROMISED
        if self.log.term_at(self.applied) is None:
            self.engine.rebuild(())
            self.applied = 0

    # ----- state shown by SQL functions -----

    @property
    def name(self) -> str:
        """Name of the member."""
        return self.options.name

    @property
    def promised_term(self) -> int:
        """Highest term the member promised; it rejects lower terms."""
        return self.promise_file.current.term

    @property
    def is_leading(self) -> bool:
        """Whether the member sends its log to the others."""
        return self.role in (Role.PRIMARY, Role.PROMOTING)

    def group_term(self) -> int:
        """Return the term under whose primary the applied log was last verified."""
        return self.verified_term

    def group_role(self) -> str:
        """Return the role by its SQL name."""
        if self.switches.removed:
            return "removed"
        if self.role is Role.PROMOTING:
            return Role.PROMISED.value
        return self.role.value

    def is_in_recovery(self) -> bool:
        """Return whether the member rejects writes."""
        return self.role is not Role.PRIMARY

    def current_lsn(self) -> str:
        """Return the position of the last local commit; 55000 on a replica."""
        if self.is_in_recovery():
            raise SqlError("55000", "recovery is in progress")
        return format_position(self.applied)

    def replay_lsn(self) -> str | None:
        """Return the position a replica has applied; None on a primary."""
        if not self.is_in_recovery():
            return None
        return format_position(self.applied)

    def position_row(self) -> tuple[int, bool, str]:
        """Return the row of the position query."""
        return self.verified_term, self.role is not Role.PRIMARY, format_position(self.applied)

    # ----- writing -----

    def require_writable(self) -> None:
        """Raise 25006 unless the member is an open primary."""
        if self.role is not Role.PRIMARY or self.switches.removed:
            raise read_only()

    def next_transaction(self) -> int:
        """Return a new transaction number."""
        self.last_transaction += 1
        return self.last_transaction

    def append_record(self, record: LogRecord) -> int:
        """Append a record and sync; returns its position. Raises 58030 when syncing fails."""
        try:
            self.log.append(record.encode(), sync_fails=self.switches.fail_fsync)
        except OSError as error:
            raise SqlError("58030", f"could not sync the log: {error}") from error
        return self.log.end

    async def notify_log_appended(self) -> None:
        """Notify the senders of new records; a group of one reaches its majority here."""
        if self.on_log_change is not None:
            await self.on_log_change()
        await self.count_majority()

    async def wait_acknowledged(self, position: int, term: int, session) -> None:
        """Wait until a majority stores the record; raises 40003 when it cannot be confirmed."""
        if self.switches.lose_acknowledged:
            return
        if self.is_leading and self.promised_term == term and self.committed >= position:
            return
        if self.promised_term != term or not self.is_leading:
            raise outcome_unknown()
        waiter = Waiter()
        entry = (position, waiter)
        self._commit_waiters.append(entry)
        try:
            outcome = await session.wait(waiter, raises=False)
        finally:
            if entry in self._commit_waiters:
                self._commit_waiters.remove(entry)
        if outcome is not Outcome.DONE:
            raise outcome_unknown()

    async def count_majority(self) -> None:
        """Advance the committed position to the position stored by a majority."""
        if not self.is_leading:
            return
        held = sorted([self.log.end, *self.matched.values()], reverse=True)
        majority_position = held[len(held) // 2]
        if majority_position < self.term_start or majority_position <= self.committed:
            return
        self.committed = majority_position
        if self.role is Role.PROMOTING:
            await self._open_for_writes()
        due = [entry for entry in self._commit_waiters if entry[0] <= majority_position]
        for entry in due:
            await entry[1].resolve(Outcome.DONE)
        if self.on_log_change is not None:
            await self.on_log_change()

    # ----- leading -----

    async def lead(self, term: int, promoter: str) -> None:
        """Start a term with an empty record and start the senders."""
        record = LogRecord(term, self.name, self.next_transaction(), timestamp_now(), 0, ())
        self.term_start = self.append_record(record)
        self.promise_file.store(Promise(term, promoter, self.name))
        self.role = Role.PROMOTING
        self.matched = dict.fromkeys(self.options.peers, 0)
        _events.info("primary.promoting", member=self.name, term=term)
        if self.on_lead is not None:
            await self.on_lead()
        await self.count_majority()

    def open_waiter(self) -> Waiter:
        """Return a waiter that resolves when the member accepts writes or stops leading."""
        waiter = Waiter()
        self._role_waiters.append(waiter)
        return waiter

    async def _open_for_writes(self) -> None:
        """Apply the whole committed log and start accepting writes."""
        self.apply_until(self.committed)
        self.verified_term = self.promised_term
        self.role = Role.PRIMARY
        position = format_position(self.applied)
        _events.info("primary.open", member=self.name, term=self.verified_term, position=position)
        await self._resolve_role_waiters(Outcome.DONE)

    def stop_leading(self) -> None:
        """Stop leading: roll back open writes, mark unconfirmed records as unverified."""
        if not self.is_leading:
            return
        if self.applied > self.committed:
            self.verified_term = 0
        self.matched = {}
        for session in self.sessions.values():
            session.abort_write(read_only())

    async def notify_leadership_ended(self) -> None:
        """Resolve all waiters as superseded after the member stopped leading."""
        if self.is_leading:
            return
        waiters, self._commit_waiters = self._commit_waiters, []
        for _, waiter in waiters:
            await waiter.resolve(Outcome.SUPERSEDED)
        await self._resolve_role_waiters(Outcome.SUPERSEDED)
        for session in list(self.sessions.values()):
            await session.release_locks()
        if self.on_log_change is not None:
            await self.on_log_change()

    async def _resolve_role_waiters(self, outcome: Outcome) -> None:
        waiters, self._role_waiters = self._role_waiters, []
        for waiter in waiters:
            await waiter.resolve(outcome)

    async def step_down(self, higher_term: int) -> None:
        """Stop leading because a peer promised a higher term."""
        if not self.is_leading:
            return
        _events.warning("primary.superseded", member=self.name, higher_term=higher_term)
        self.stop_leading()
        self.role = Role.REPLICA
        await self.notify_leadership_ended()

    # ----- applying -----

    def apply_until(self, position: int, limit: int | None = None) -> None:
        """Apply records of the log up to a position, at most limit of them."""
        if position <= self.applied:
            return
        if limit is not None:
            position = min(position, self.log.end_of_records(self.applied, limit))
        for entry in self.log.records(self.applied, position):
            self.engine.apply(entry)
            self.applied = entry.position
            self._record_applied(entry)

    def _record_applied(self, entry) -> None:
        if not self.history.enabled:
            return
        record = entry.record
        for statement in record.statements:
            self.history.add(
                "apply",
                statement.sql,
                user=record.origin,
                transaction=record.transaction,
                term=record.term,
                position=format_position(entry.position),
            )

    async def close(self) -> None:
        """Close files."""
        self.history.close()
        self.engine.close()
        self.log.close()
