"""Persistent state of a proxy: its incarnation and the last control state it accepted.

The state is a journal of checksummed frames: a snapshot followed by updates.
It is synced before it is used, so a restarted proxy never returns to an older state.
"""

from __future__ import annotations

import fcntl
import os
import secrets
import struct
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import curio
import google_crc32c
from result import Err, Ok, Result

from limedyke.messages.codec import decode, encode
from limedyke.messages.control import ControlSnapshot, ControlUpdate
from limedyke.proxy.control.view import ControlView, ControlViewBuilder
from limedyke.result_codes import Failure, ResultCode

_FRAME = struct.Struct("!II")
LOCK_FILE = "proxy.lock"
INCARNATION_FILE = "incarnation"
FOLDER_ID_FILE = "folder-id"
FOLDER_ID_BYTES = 8
JOURNAL_FILE = "control.journal"
REWRITE_AFTER_UPDATES = 256


@dataclass(frozen=True, slots=True)
class StoredControl:
    """State read from disk at the start.

    :param builder: holds the last complete state; its view is None if there was none
    :param intact: the journal has no torn or corrupt tail, so its state is the last one accepted
    :param incarnation: number of this start, already synced; larger at each start
    :param folder_id: random id created with the data folder
    """

    builder: ControlViewBuilder
    intact: bool
    incarnation: int
    folder_id: str


def _frame(message: object) -> bytes:
    data = encode(message)
    return _FRAME.pack(len(data), google_crc32c.value(data)) + data


def _decode_frames(data: bytes) -> tuple[list[object], bool]:
    """Return the valid messages at the start of ``data``, and whether they make up all of it."""
    messages: list[object] = []
    offset = 0
    while offset + _FRAME.size <= len(data):
        size, checksum = _FRAME.unpack_from(data, offset)
        body = data[offset + _FRAME.size : offset + _FRAME.size + size]
        if len(body) != size or google_crc32c.value(body) != checksum:
            return messages, False
        decoded = decode(body)
        if isinstance(decoded, Err):
            return messages, False
        messages.append(decoded.ok_value)
        offset += _FRAME.size + size
    return messages, offset == len(data)


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _replace_file(path: Path, data: bytes) -> None:
    """Replace a file atomically: after a crash it holds either the old or the new bytes."""
    temporary = path.with_suffix(path.suffix + ".new")
    with open(temporary, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    _sync_folder(path.parent)


def _append_file(path: Path, data: bytes) -> None:
    with open(path, "ab") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())


class ControlStore:
    """Stores the control state of one proxy in its data folder.

    :param folder: the data folder; created if absent, and locked against a second process
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._lock_descriptor: int | None = None
        self._updates_since_snapshot = 0

    def open(self) -> Result[StoredControl, Failure]:
        """Lock the folder, start a new incarnation and read the last accepted state."""
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            self._lock()
            folder_id = self._read_folder_id()
            incarnation = max(self._read_incarnation() + 1, int(time.time()))
            _replace_file(self._folder / INCARNATION_FILE, str(incarnation).encode())
            builder, intact = self._read_state()
        except OSError as error:
            return Err(Failure(ResultCode.DISK_FULL, f"{self._folder}: {error}"))
        return Ok(StoredControl(builder, intact, incarnation, folder_id))

    def close(self) -> None:
        """Release the lock on the folder; safe to call twice."""
        if self._lock_descriptor is not None:
            os.close(self._lock_descriptor)
            self._lock_descriptor = None

    async def save_snapshot(self, snapshot: ControlSnapshot) -> None:
        """Replace the journal by a snapshot and sync it.

        :raises OSError: when it cannot be written
        """
        data = _frame(snapshot)
        await curio.run_in_thread(_replace_file, self._folder / JOURNAL_FILE, data)
        self._updates_since_snapshot = 0

    async def append_updates(self, updates: Sequence[ControlUpdate]) -> None:
        """Append updates to the journal with one sync.

        :raises OSError: when they cannot be written
        """
        data = b"".join(_frame(update) for update in updates)
        await curio.run_in_thread(_append_file, self._folder / JOURNAL_FILE, data)
        self._updates_since_snapshot += len(updates)

    @property
    def wants_snapshot(self) -> bool:
        """Whether the journal has grown enough to be replaced by a snapshot."""
        return self._updates_since_snapshot >= REWRITE_AFTER_UPDATES

    def _lock(self) -> None:
        descriptor = os.open(self._folder / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise
        self._lock_descriptor = descriptor

    def _read_folder_id(self) -> str:
        """Return the id of the folder; create and sync a random one for a new folder."""
        path = self._folder / FOLDER_ID_FILE
        try:
            return path.read_text()
        except FileNotFoundError:
            folder_id = secrets.token_hex(FOLDER_ID_BYTES)
            _replace_file(path, folder_id.encode())
            return folder_id

    def _read_incarnation(self) -> int:
        try:
            text = (self._folder / INCARNATION_FILE).read_text()
        except FileNotFoundError:
            return 0
        return int(text) if text.isdigit() else 0

    def _read_state(self) -> tuple[ControlViewBuilder, bool]:
        builder = ControlViewBuilder()
        try:
            data = (self._folder / JOURNAL_FILE).read_bytes()
        except FileNotFoundError:
            return builder, True
        messages, intact = _decode_frames(data)
        for message in messages:
            if isinstance(message, ControlSnapshot):
                builder.apply_snapshot(message)
            elif isinstance(message, ControlUpdate) and builder.apply_update(message) is None:
                return builder, False
        self._updates_since_snapshot = REWRITE_AFTER_UPDATES if not intact else len(messages)
        return builder, intact


def view_of(stored: StoredControl) -> ControlView | None:
    """Return the stored view if it may be used before a controller has confirmed it, else None."""
    return stored.builder.view if stored.intact else None
