"""Carries out the agreement core's storage commands on a durable log."""

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
    """Writes storage commands; those of one call share a sync where they can."""

    def __init__(self, log: DurableLog) -> None:
        self._log = log
        self._writing = threading.Lock()
        self._has_stopped = False

    def stop(self) -> None:
        """Wait for the write under way, and begin no other; may block as long as the disk hangs.

        The log must not be opened again while this one still writes to its files.
        """
        with self._writing:
            self._has_stopped = True

    def execute(self, commands: Iterable[Command]) -> StorageSynced | StorageFailed | None:
        """Carry out the storage commands among ``commands``, in order.

        :returns: the event to hand back to the core; None when there was nothing to write
        """
        with self._writing:
            if self._has_stopped:
                return StorageFailed("The log is read anew.")
            return self._execute(commands)

    def _execute(self, commands: Iterable[Command]) -> StorageSynced | StorageFailed | None:
        pending: list[LogRecord] = []
        write_number = 0
        for command in commands:
            if not isinstance(command, StorageCommand):
                continue
            write_number = command.write_number
            outcome = self._take(command, pending)
            if outcome.is_err():
                return StorageFailed(str(outcome.unwrap_err()))
        if write_number == 0:
            return None
        outcome = self._flush(pending)
        if outcome.is_err():
            return StorageFailed(str(outcome.unwrap_err()))
        return StorageSynced(write_number)

    def save_leader_contact(self, heard_at: float) -> StorageFailed | None:
        """Note when a leader was heard, before it is answered; this forces nothing to the disk.

        :returns: a failure, to be handed to the core in place of answering
        """
        noted = self._log.save_leader_contact(heard_at)
        return StorageFailed(str(noted.unwrap_err())) if noted.is_err() else None

    def disk_takes_writes(self) -> bool:
        """Tell whether the disk would take writes again."""
        return self._log.disk_takes_writes()

    def _take(self, command: StorageCommand, pending: list[LogRecord]) -> Result[None, Failure]:
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
