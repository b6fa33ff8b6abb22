"""Executes the agreement core's storage commands on a durable log."""

from __future__ import annotations

import threading
from collections.abc import Iterable

from result import Ok, Result

from limedyke.core.agreement.commands import (
    AppendEntries,
    Command,
    InstallSnapshot,
    PersistHardState,
    SaveSnapshot,
    StorageCommand,
    TruncateLog,
)
from limedyke.core.agreement.events import StorageFailed, StorageSynced
from limedyke.result_codes import Failure
from limedyke.storage.durable_log import DurableLog
from limedyke.storage.log_records import LogRecord, TruncateRecord


class AgreementStorage:
    """Writes storage commands; the commands of one call share a sync where possible."""

    def __init__(self, log: DurableLog) -> None:
        self._log = log
        self._writing = threading.Lock()
        self._stopped = False

    def stop(self) -> None:
        """Wait for the current write and refuse further ones; blocks as long as the disk hangs.

        The log must not be reopened while this object still writes to its files.
        """
        with self._writing:
            self._stopped = True

    def execute(self, commands: Iterable[Command]) -> StorageSynced | StorageFailed | None:
        """Execute the storage commands among ``commands``, in order.

        :returns: the event to pass to the core; None if there was nothing to write
        """
        with self._writing:
            if self._stopped:
                return StorageFailed("The log is being reopened.")
            return self._execute(commands)

    def _execute(self, commands: Iterable[Command]) -> StorageSynced | StorageFailed | None:
        pending: list[LogRecord] = []
        write_number = 0
        for command in commands:
            if not isinstance(command, StorageCommand):
                continue
            write_number = command.write_number
            outcome = self._process(command, pending)
            if outcome.is_err():
                return StorageFailed(str(outcome.unwrap_err()))
        if write_number == 0:
            return None
        outcome = self._flush(pending)
        if outcome.is_err():
            return StorageFailed(str(outcome.unwrap_err()))
        return StorageSynced(write_number)

    def save_leader_contact(self, contact_at: float) -> StorageFailed | None:
        """Store the time of the last leader contact, without a sync, before the leader is answered.

        :returns: a failure, to be passed to the core instead of answering the leader
        """
        saved = self._log.save_leader_contact(contact_at)
        return StorageFailed(str(saved.unwrap_err())) if saved.is_err() else None

    def disk_is_writable(self) -> bool:
        """Tell whether the disk accepts writes again."""
        return self._log.disk_is_writable()

    def _process(self, command: StorageCommand, pending: list[LogRecord]) -> Result[None, Failure]:
        match command:
            case PersistHardState():
                pending.append(command.hard_state)
            case AppendEntries():
                pending.extend(command.entries)
            case TruncateLog():
                pending.append(TruncateRecord(command.index))
            case SaveSnapshot():
                return self._flush(pending).and_then(
                    lambda _: self._log.save_snapshot(command.snapshot)
                )
            case InstallSnapshot():
                return self._flush(pending).and_then(
                    lambda _: self._log.install_snapshot(command.snapshot, command.keep_entries)
                )
        return Ok(None)

    def _flush(self, pending: list[LogRecord]) -> Result[None, Failure]:
        if not pending:
            return Ok(None)
        outcome = self._log.write(tuple(pending))
        pending.clear()
        return outcome
