"""Opens a controller's data folder, or initialises an empty one."""

from __future__ import annotations

from pathlib import Path

from result import Err, Ok, Result

from limedyke.core.agreement.records import Snapshot
from limedyke.messages.agreement import ControllerIdentity
from limedyke.result_codes import Failure, ResultCode
from limedyke.storage.crash_safe_file import CrashSafeFile
from limedyke.storage.durable_log import (
    DEFAULT_SEGMENT_BYTES,
    MANIFEST_NAME,
    SNAPSHOT_NAME,
    DurableLog,
    load_snapshot,
    segment_name,
)
from limedyke.storage.file_system import FileSystem, LocalFileSystem
from limedyke.storage.log_records import Manifest, decode_manifest
from limedyke.storage.log_replay import LogReplay, ReplayedLog

FIRST_SEGMENT = 1
_SEGMENT_PREFIX = "segment-"
_TEMPORARY_SUFFIX = ".new"


def open_durable_log(
    folder: Path | str,
    new_identity: ControllerIdentity,
    file_system: FileSystem | None = None,
    sync: bool = True,
    segment_bytes: int = DEFAULT_SEGMENT_BYTES,
) -> Result[DurableLog, Failure]:
    """Lock a folder and open the log in it.

    :param new_identity: this controller's name, and a new random incarnation that is used only if
        the folder holds no log yet
    :returns: the log, or LOG_CORRUPT (with file and offset), DISK_FULL (the folder cannot be
        written or is in use), or SETTINGS_INVALID (the folder belongs to another controller)
    """
    opener = _Opener(Path(folder), new_identity, file_system or LocalFileSystem())
    try:
        return opener.open(sync, segment_bytes)
    except OSError as error:
        opener.unlock()
        detail = f"folder {folder}: {error.strerror or error}"
        return Err(Failure(ResultCode.DISK_FULL, detail))


def reopen_durable_log(log: DurableLog) -> Result[DurableLog, Failure]:
    """Close a log whose disk refused a write, and open its folder again.

    :returns: as ``open_durable_log``; after DISK_FULL it may be called again
    """
    location = log.location
    log.close()
    return open_durable_log(
        location.folder, log.identity, location.file_system, location.sync, location.segment_bytes
    )


class _Opener:
    def __init__(
        self, folder: Path, new_identity: ControllerIdentity, file_system: FileSystem
    ) -> None:
        self._folder = folder
        self._new_identity = new_identity
        self._file_system = file_system

    def unlock(self) -> None:
        self._file_system.unlock(self._folder)

    def open(self, sync: bool, segment_bytes: int) -> Result[DurableLog, Failure]:
        self._file_system.make_folder(self._folder)
        self._file_system.lock(self._folder)
        opened = self._read_manifest().and_then(
            lambda manifest: (
                self._initialise(sync, segment_bytes)
                if manifest is None
                else self._reopen(manifest, sync, segment_bytes)
            )
        )
        if opened.is_err():
            self.unlock()
        return opened

    def _read_manifest(self) -> Result[Manifest | None, Failure]:
        content = CrashSafeFile(self._folder / MANIFEST_NAME, self._file_system).read()
        if content.is_err():
            return content
        data = content.unwrap()
        return Ok(None if data is None else decode_manifest(data))

    def _segment_numbers(self) -> list[int]:
        return [
            int(name.removeprefix(_SEGMENT_PREFIX))
            for name in self._file_system.names(self._folder)
            if name.startswith(_SEGMENT_PREFIX) and not name.endswith(_TEMPORARY_SUFFIX)
        ]

    def _corrupt(self, name: str, reason: str) -> Err[Failure]:
        detail = f"file {self._folder / name} offset 0: {reason}"
        return Err(Failure(ResultCode.LOG_CORRUPT, detail))

    def _initialise(self, sync: bool, segment_bytes: int) -> Result[DurableLog, Failure]:
        """Create an empty log; an initialisation that a crash interrupted is repeated."""
        names = self._file_system.names(self._folder)
        if SNAPSHOT_NAME in names or self._segment_numbers() not in ([], [FIRST_SEGMENT]):
            return self._corrupt(MANIFEST_NAME, "the manifest is missing from a used folder")
        if self._first_segment_is_used():
            return self._corrupt(MANIFEST_NAME, "the manifest is missing from a used folder")
        log = DurableLog(
            self._folder,
            self._file_system,
            self._new_identity,
            ReplayedLog(),
            Snapshot(),
            sync,
            segment_bytes,
        )
        log.begin_segment(FIRST_SEGMENT)
        return Ok(log)

    def _first_segment_is_used(self) -> bool:
        content = self._file_system.read(self._folder / segment_name(FIRST_SEGMENT))
        return content is not None and len(content) > _MAXIMUM_HEADER_FRAME_BYTES

    def _reopen(
        self, manifest: Manifest, sync: bool, segment_bytes: int
    ) -> Result[DurableLog, Failure]:
        if manifest.identity.name != self._new_identity.name:
            detail = f"folder {self._folder} belongs to controller {manifest.identity.name}"
            return Err(Failure(ResultCode.SETTINGS_INVALID, detail))
        snapshot = load_snapshot(self._folder, self._file_system)
        if snapshot.is_err():
            return snapshot
        replayed = self._replay(manifest)
        if replayed.is_err():
            return replayed
        if replayed.unwrap().base_index > snapshot.unwrap().index:
            return self._corrupt(SNAPSHOT_NAME, "the snapshot before the first entry is missing")
        log = DurableLog(
            self._folder,
            self._file_system,
            manifest.identity,
            replayed.unwrap(),
            snapshot.unwrap(),
            sync,
            segment_bytes,
        )
        log.rewrite_active_segment(replayed.unwrap().active_content)
        if not _holds_snapshot_entry(replayed.unwrap(), snapshot.unwrap()):
            log.discard_entries_behind_snapshot()
        self._remove_leftovers(manifest)
        return Ok(log)

    def _replay(self, manifest: Manifest) -> Result[ReplayedLog, Failure]:
        segments = []
        for number in range(manifest.first_segment, manifest.last_segment + 1):
            path = self._folder / segment_name(number)
            content = self._file_system.read(path)
            if content is None:
                return self._corrupt(path.name, "the segment is missing")
            segments.append((number, path, content))
        return LogReplay(manifest.identity.incarnation.encode()).replay(segments)

    def _remove_leftovers(self, manifest: Manifest) -> None:
        """Remove what a crash left behind: temporary files and segments outside the manifest."""
        for name in self._file_system.names(self._folder):
            if name.endswith(_TEMPORARY_SUFFIX):
                self._file_system.remove(self._folder / name)
        for number in self._segment_numbers():
            if not manifest.first_segment <= number <= manifest.last_segment:
                self._file_system.remove(self._folder / segment_name(number))


_MAXIMUM_HEADER_FRAME_BYTES = 64


def _holds_snapshot_entry(replayed: ReplayedLog, snapshot: Snapshot) -> bool:
    """Tell whether the log contains the snapshot's last entry."""
    if snapshot.index == replayed.base_index:
        return True
    if snapshot.index > replayed.last_index:
        return False
    return replayed.entries[snapshot.index - replayed.base_index - 1].term == snapshot.term
