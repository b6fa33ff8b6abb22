"""The few file operations that storage needs, behind one replaceable class."""

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
        """Force what was written to the disk, or raise ``OSError``."""

    def close(self) -> None:
        """Release the file without forcing anything to the disk."""


class FileSystem(Protocol):
    """File operations; every one may raise ``OSError``.

    Names and contents last only once ``sync`` and ``sync_folder`` have returned.
    """

    def make_folder(self, folder: Path) -> None:
        """Create a folder and its parents unless it exists."""

    def names(self, folder: Path) -> list[str]:
        """Return the sorted names of the files in a folder."""

    def read(self, path: Path) -> bytes | None:
        """Return the whole file, or None when there is none."""

    def create(self, path: Path) -> WritableFile:
        """Open an empty file for appending, replacing one of that name."""

    def overwrite(self, path: Path, data: bytes) -> None:
        """Write over the start of a file in place, forcing nothing; create it if need be."""

    def life(self) -> str:
        """Name the time for which unsynced writes are kept, or return an empty string.

        Two calls return the same name only when nothing written in between was lost, and the
        clock that counts since the system's start has gone on.
        """

    def rename(self, source: Path, target: Path) -> None:
        """Give a file another name, replacing one of that name in one step."""

    def remove(self, path: Path) -> None:
        """Remove a file if it exists."""

    def sync_folder(self, folder: Path) -> None:
        """Force the names in a folder to the disk."""

    def lock(self, folder: Path) -> None:
        """Keep other processes from the folder; ``OSError`` when one has it."""

    def unlock(self, folder: Path) -> None:
        """Let go of a folder that was locked."""


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

    :param keeps_unsynced_writes: the boot id tells losses of power apart, so that while it stays
        the same nothing written was lost
    """

    def __init__(self, keeps_unsynced_writes: bool = True) -> None:
        self._keeps_unsynced_writes = keeps_unsynced_writes
        self._locks: dict[Path, int] = {}
        self._overwritten: dict[Path, int] = {}

    def make_folder(self, folder: Path) -> None:
        """Create a folder and its parents unless it exists."""
        if folder.is_dir():
            return
        self.make_folder(folder.parent)
        folder.mkdir(mode=0o700, exist_ok=True)
        self.sync_folder(folder.parent)

    def names(self, folder: Path) -> list[str]:
        """Return the sorted names of the files in a folder."""
        return sorted(os.listdir(folder))

    def read(self, path: Path) -> bytes | None:
        """Return the whole file, or None when there is none."""
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return None

    def create(self, path: Path) -> LocalFile:
        """Open an empty file for appending, replacing one of that name."""
        return LocalFile(path)

    def overwrite(self, path: Path, data: bytes) -> None:
        """Write over the start of a file in place; the file stays open until the unlock."""
        descriptor = self._overwritten.get(path)
        if descriptor is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC
            descriptor = self._overwritten[path] = os.open(path, flags, 0o600)
        written = os.pwrite(descriptor, data, 0)
        if written != len(data):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def life(self) -> str:
        """Name the run of the kernel and the time namespace of its clocks."""
        if not self._keeps_unsynced_writes:
            return ""
        try:
            return f"{BOOT_ID.read_text().strip()}/{os.readlink(TIME_NAMESPACE)}"
        except OSError:
            return ""

    def rename(self, source: Path, target: Path) -> None:
        """Give a file another name in one step."""
        os.replace(source, target)

    def remove(self, path: Path) -> None:
        """Remove a file if it exists."""
        path.unlink(missing_ok=True)

    def sync_folder(self, folder: Path) -> None:
        """Force the names in a folder to the disk."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def lock(self, folder: Path) -> None:
        """Keep other processes from the folder."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise
        self._locks[folder] = descriptor

    def unlock(self, folder: Path) -> None:
        """Let go of a folder that was locked, and of the files written over in it."""
        for path in [path for path in self._overwritten if path.parent == folder]:
            os.close(self._overwritten.pop(path))
        descriptor = self._locks.pop(folder, None)
        if descriptor is not None:
            with contextlib.suppress(OSError):
                os.close(descriptor)
