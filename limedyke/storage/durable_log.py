"""The controllers' durable log: term, vote, entries and snapshot on one disk.

Each write returns only after its data is synced. A batch is one checksummed frame, so after a crash
either all of it is there or none. After a failed write or sync the log refuses all further writes:
what the disk holds is known again only after the log is reopened.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from result import Err, Ok, Result

from limedyke.core.agreement.records import (
    HardState,
    Snapshot,
    StoredState,
    decode_snapshot,
    encode_snapshot,
)
from limedyke.messages.agreement import ControllerIdentity, LogEntry
from limedyke.result_codes import Failure, ResultCode
from limedyke.storage.crash_safe_file import CrashSafeFile
from limedyke.storage.disk_probe import is_writable
from limedyke.storage.file_system import FileSystem, WritableFile
from limedyke.storage.frame import encode_frame
from limedyke.storage.leader_contact import LeaderContact
from limedyke.storage.log_records import (
    LogRecord,
    Manifest,
    ResetRecord,
    SegmentHeader,
    TruncateRecord,
    encode_batch,
    encode_header,
    encode_manifest,
)
from limedyke.storage.log_replay import ReplayedLog, SegmentSummary, TornTailCut

DEFAULT_SEGMENT_BYTES = 1024 * 1024
MANIFEST_NAME = "manifest"
SNAPSHOT_NAME = "snapshot"


def segment_name(number: int) -> str:
    """Return the file name of a segment."""
    return f"segment-{number:010d}"


@dataclass(frozen=True, slots=True)
class LogLocation:
    """Where and how a log is stored; see ``open_durable_log`` for the fields."""

    folder: Path
    file_system: FileSystem
    sync: bool
    segment_bytes: int


class DurableLog:
    """An open log; :func:`limedyke.storage.open_log.open_durable_log` creates it.

    :param identity: the controller and the incarnation of this folder
    :param replayed: the replayed log; its active segment is rewritten when the log is opened
    :param sync: False only for experiments: a crash then loses data
    """

    def __init__(
        self,
        folder: Path,
        file_system: FileSystem,
        identity: ControllerIdentity,
        replayed: ReplayedLog,
        snapshot: Snapshot,
        sync: bool = True,
        segment_bytes: int = DEFAULT_SEGMENT_BYTES,
    ) -> None:
        self.identity = identity
        self.torn_tail: TornTailCut | None = replayed.torn_tail
        self._folder = folder
        self._file_system = file_system
        self._sync = sync
        self._segment_bytes = segment_bytes
        self._salt = identity.incarnation.encode()
        self._hard_state = replayed.hard_state
        self._base_index = replayed.base_index
        self._entries = replayed.entries
        self._last_index = replayed.last_index
        self._snapshot = snapshot
        self._segments = replayed.segments
        self._next_sequence = replayed.next_sequence
        self._failure: Failure | None = None
        self._active: WritableFile | None = None
        self._active_bytes = 0
        self._manifest = CrashSafeFile(folder / MANIFEST_NAME, file_system, sync)
        self._snapshot_file = CrashSafeFile(folder / SNAPSHOT_NAME, file_system, sync)
        self._leader_contact = LeaderContact(folder, file_system, identity)

    @property
    def location(self) -> LogLocation:
        """Where and how the log is stored, to reopen it."""
        return LogLocation(self._folder, self._file_system, self._sync, self._segment_bytes)

    @property
    def last_index(self) -> int:
        """Index of the last entry on disk."""
        return self._last_index

    @property
    def snapshot_index(self) -> int:
        """Index of the last entry that the snapshot covers."""
        return self._snapshot.index

    def take_stored_state(self) -> StoredState:
        """Return the state found at open, once; the log then releases the entries."""
        skipped = max(0, self._snapshot.index - self._base_index)
        stored = StoredState(
            hard_state=self._hard_state,
            snapshot=self._snapshot,
            entries=tuple(self._entries[skipped:]),
            leader_contact_at=self._leader_contact.read(),
        )
        self._entries = []
        return stored

    def append(self, entries: tuple[LogEntry, ...]) -> Result[None, Failure]:
        """Append entries to the log."""
        return self.write(entries)

    def truncate_after(self, index: int) -> Result[None, Failure]:
        """Remove all entries after ``index``."""
        return self.write((TruncateRecord(index),))

    def save_hard_state(self, hard_state: HardState) -> Result[None, Failure]:
        """Save the term and vote."""
        return self.write((hard_state,))

    def write(self, records: tuple[LogRecord, ...]) -> Result[None, Failure]:
        """Write records in order as one batch: after a crash either all are there or none."""
        return self._guard(lambda: self._write(records))

    def save_snapshot(self, snapshot: Snapshot) -> Result[None, Failure]:
        """Save a snapshot of applied entries and remove the segments that it covers."""
        return self._guard(lambda: self._save_snapshot(snapshot))

    def install_snapshot(self, snapshot: Snapshot, keep_entries: bool) -> Result[None, Failure]:
        """Save the leader's snapshot.

        :param keep_entries: the log holds the snapshot's last entry, so keep the entries after it
        """
        return self._guard(lambda: self._install_snapshot(snapshot, keep_entries))

    def save_leader_contact(self, contact_at: float) -> Result[None, Failure]:
        """Store the time of the last leader contact; may run concurrently with another write."""
        if self._failure is not None:
            return Err(self._failure)
        try:
            self._leader_contact.save(contact_at)
        except OSError as error:
            detail = f"folder {self._folder}: {error.strerror or error}"
            return Err(Failure(ResultCode.DISK_FULL, detail))
        return Ok(None)

    def disk_is_writable(self) -> bool:
        """Tell whether the disk accepts writes now; a failed log stays failed."""
        return is_writable(self._folder, self._file_system)

    def close(self) -> None:
        """Release the files and the folder."""
        if self._active is not None:
            self._active.close()
            self._active = None
        self._failure = Failure(ResultCode.DISK_FULL, "The log is closed.")
        self._file_system.unlock(self._folder)

    def _guard(self, action) -> Result[None, Failure]:
        """Run a write; after a failure, refuse all further writes."""
        if self._failure is not None:
            return Err(self._failure)
        try:
            action()
        except OSError as error:
            detail = f"folder {self._folder}: {error.strerror or error}"
            self._failure = Failure(ResultCode.DISK_FULL, detail)
            return Err(self._failure)
        return Ok(None)

    def _write(self, records: tuple[LogRecord, ...]) -> None:
        last_index = self._check_order(records)
        self._write_frame(encode_batch(records))
        self._last_index = last_index
        for record in records:
            if isinstance(record, HardState):
                self._hard_state = record
            elif isinstance(record, LogEntry):
                summary = self._segments[-1]
                summary.last_index = max(summary.last_index, record.index)
        if self._active_bytes >= self._segment_bytes:
            self.begin_segment(self._segments[-1].number + 1)

    def _check_order(self, records: tuple[LogRecord, ...]) -> int:
        last_index = self._last_index
        for record in records:
            if isinstance(record, LogEntry):
                if record.index != last_index + 1:
                    raise ValueError(f"entry {record.index} does not follow {last_index}")
                last_index = record.index
            elif isinstance(record, TruncateRecord | ResetRecord):
                last_index = record.index
        return last_index

    def _write_frame(self, payload: bytes) -> None:
        frame = encode_frame(self._salt, self._next_sequence, payload)
        self._active.write(frame)
        if self._sync:
            self._active.sync()
        self._next_sequence += 1
        self._active_bytes += len(frame)

    def begin_segment(self, number: int) -> None:
        """Start a new active segment and record it in the manifest.

        :raises OSError: if the disk refuses a write
        """
        if self._active is not None:
            self._active.close()
        self._active = self._file_system.create(self._folder / segment_name(number))
        self._active_bytes = 0
        header = SegmentHeader(number, self._last_index, self._hard_state)
        self._write_frame(encode_header(header))
        if self._sync:
            self._file_system.sync_folder(self._folder)
        self._segments.append(SegmentSummary(number, self._last_index))
        self._write_manifest()

    def rewrite_active_segment(self, content: bytes) -> None:
        """Rewrite the active segment, so that all of its content is known to be on disk.

        After a failed sync, content that is read back may exist only in the operating system's
        cache. It must be written and synced again before it is relied on.

        :raises OSError: if the disk refuses a write
        """
        path = self._folder / segment_name(self._segments[-1].number)
        temporary = path.with_name(path.name + ".new")
        self._active = self._file_system.create(temporary)
        self._active.write(content)
        if self._sync:
            self._active.sync()
        self._file_system.rename(temporary, path)
        if self._sync:
            self._file_system.sync_folder(self._folder)
        self._active_bytes = len(content)
        self._write_manifest()

    def discard_entries_behind_snapshot(self) -> None:
        """Complete a snapshot installation that a crash interrupted.

        :raises OSError: if the disk refuses a write
        """
        self._entries = []
        self._reset_to(self._snapshot)

    def _write_manifest(self) -> None:
        first = self._segments[0].number
        last = self._segments[-1].number
        written = self._manifest.write(encode_manifest(Manifest(self.identity, first, last)))
        if written.is_err():
            raise OSError(0, written.unwrap_err().detail)

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        written = self._snapshot_file.write(encode_snapshot(snapshot))
        if written.is_err():
            raise OSError(0, written.unwrap_err().detail)
        self._snapshot = snapshot

    def _save_snapshot(self, snapshot: Snapshot) -> None:
        if snapshot.index <= self._snapshot.index:
            return
        self._write_snapshot(snapshot)
        self._compact()

    def _install_snapshot(self, snapshot: Snapshot, keep_entries: bool) -> None:
        self._write_snapshot(snapshot)
        if not keep_entries:
            self._reset_to(snapshot)
        self._compact()

    def _reset_to(self, snapshot: Snapshot) -> None:
        self._write((ResetRecord(snapshot.index, snapshot.term),))
        self._base_index = snapshot.index

    def _compact(self) -> None:
        """Remove the oldest segments whose entries the snapshot covers."""
        removable = []
        while len(self._segments) > 1 and self._segments[0].last_index <= self._snapshot.index:
            removable.append(self._segments.pop(0))
        if not removable:
            return
        self._write_manifest()
        for summary in removable:
            self._file_system.remove(self._folder / segment_name(summary.number))


def load_snapshot(folder: Path, file_system: FileSystem) -> Result[Snapshot, Failure]:
    """Return the saved snapshot, an empty one if there is none, or LOG_CORRUPT."""
    content = CrashSafeFile(folder / SNAPSHOT_NAME, file_system).read()
    if content.is_err():
        return content
    data = content.unwrap()
    return Ok(Snapshot() if data is None else decode_snapshot(data))
