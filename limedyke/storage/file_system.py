"""File operations that storage needs, behind a replaceable interface."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
from pathlib import Path
from typing import Protocol

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
TIME_NAMESPACE = Path("/proc/self/ns/time")


class WritableFile(Protocol):
    """A file open for appending."""

    def write(self, data: bytes) -> None:
        """Append all bytes, or raise ``OSError``."""

    def sync(self) -> None:
        """Force all written data to the disk, or raise ``OSError``."""

    def close(self) -> None:
        """Close the file without forcing data to the disk."""


class FileSystem(Protocol):
    """File operations; every one may raise ``OSError``.

    Names and contents are durable only after ``sync`` and ``sync_folder`` have returned.
    """

    def make_folder(self, folder: Path) -> None:
        """Create a folder and its parents if missing."""

    def names(self, folder: Path) -> list[str]:
        """Return the sorted names of the files in a folder."""

    def read(self, path: Path) -> bytes | None:
        """Return the whole file, or None if there is none."""

    def create(self, path: Path) -> WritableFile:
        """Open an empty file for appending, replacing an existing one."""

    def overwrite(self, path: Path, data: bytes) -> None:
        """Overwrite the start of a file in place, without a sync; create it if missing."""

    def life(self) -> str:
        """Identify the period in which unsynced writes survive; an empty string if unknown.

        If two calls return the same string, nothing written in between was lost, and the clock that
        counts from system start has not been reset.
        """

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file atomically, replacing an existing target."""

    def remove(self, path: Path) -> None:
        """Remove a file if it exists."""

    def sync_folder(self, folder: Path) -> None:
        """Force the folder's directory entries to the disk."""

    def lock(self, folder: Path) -> None:
        """Lock a folder against other processes; ``OSError`` if another process holds it."""

    def unlock(self, folder: Path) -> None:
        """Release the lock of a folder."""


class LocalFile:
    """A file of the operating system."""

    def __init__(self, path: Path) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
        self._descriptor = os.open(path, flags, 0o600)

    def write(self, data: bytes) -> None:
        """Append all bytes."""
        remaining = memoryview(data)
        while remaining:
            written = os.write(self._descriptor, remaining)
            remaining = remaining[written:]

    def sync(self) -> None:
        """Force contents and size to the disk."""
        os.fdatasync(self._descriptor)

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)


class LocalFileSystem:
    """The operating system's files.

    :param keeps_unsynced_writes: whether a power loss always changes the boot id, so that no write
        is lost while the boot id stays the same
    """

    def __init__(self, keeps_unsynced_writes: bool = True) -> None:
        self._keeps_unsynced_writes = keeps_unsynced_writes
        self._locks: dict[Path, int] = {}
        self._overwritten: dict[Path, int] = {}

    def make_folder(self, folder: Path) -> None:
        """Create a folder and its parents if missing."""
        if folder.is_dir():
            return
        self.make_folder(folder.parent)
        folder.mkdir(mode=0o700, exist_ok=True)
        self.sync_folder(folder.parent)

    def names(self, folder: Path) -> list[str]:
        """Return the sorted names of the files in a folder."""
        return sorted(os.listdir(folder))

    def read(self, path: Path) -> bytes | None:
        """Return the whole file, or None if there is none."""
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return None

    def create(self, path: Path) -> LocalFile:
        """Open an empty file for appending, replacing an existing one."""
        return LocalFile(path)

    def overwrite(self, path: Path, data: bytes) -> None:
        """Overwrite the start of a file in place; the file stays open until ``unlock``."""
        descriptor = self._overwritten.get(path)
        if descriptor is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC
            descriptor = self._overwritten[path] = os.open(path, flags, 0o600)
        written = os.pwrite(descriptor, data, 0)
        if written != len(data):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def life(self) -> str:
        """Return the boot id and the time namespace of the kernel's clocks."""
        if not self._keeps_unsynced_writes:
            return ""
        try:
            return f"{BOOT_ID.read_text().strip()}/{os.readlink(TIME_NAMESPACE)}"
        except OSError:
            return ""

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file atomically."""
        os.replace(source, target)

    def remove(self, path: Path) -> None:
        """Remove a file if it exists."""
        path.unlink(missing_ok=True)

    def sync_folder(self, folder: Path) -> None:
        """Force the folder's directory entries to the disk."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def lock(self, folder: Path) -> None:
        """Lock a folder against other processes."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise
        self._locks[folder] = descriptor

    def unlock(self, folder: Path) -> None:
        """Release the lock of a folder and close its overwritten files."""
        for path in [path for path in self._overwritten if path.parent == folder]:
            os.close(self._overwritten.pop(path))
        descriptor = self._locks.pop(folder, None)
        if descriptor is not None:
            with contextlib.suppress(OSError):
                os.close(descriptor)
