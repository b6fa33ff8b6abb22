"""In-memory disk that loses or tears unsynced data on a crash, and injects errors.

Reads return cached data. :meth:`SimulatedDisk.crash` keeps synced data and a random part of
unsynced data. After a failed sync the cache still contains the data, but later syncs do not
write it, as on real systems.
"""

from __future__ import annotations

import errno
import os
import random
from dataclasses import dataclass, field
from pathlib import Path

_CORRUPTION_PROBABILITY = 0.3
"""Probability that a crash corrupts one byte of the surviving unsynced data."""


class SimulatedPowerLoss(BaseException):
    """Simulated loss of power during a disk operation."""


@dataclass(slots=True)
class _Contents:
    """Contents of one file.

    :param durable: bytes that survive a crash
    :param unwritable: byte ranges dropped by a failed sync; a later sync writes zeros there
    """

    cached: bytearray = field(default_factory=bytearray)
    durable: bytearray = field(default_factory=bytearray)
    unwritable: list[tuple[int, int]] = field(default_factory=list)


class SimulatedDisk:
    """A :class:`limedyke.storage.file_system.FileSystem` in memory.

    :param rng: decides which part of the unsynced data survives a crash
    :param capacity_bytes: writes beyond it fail with ENOSPC after a partial write
    """

    def __init__(self, rng: random.Random, capacity_bytes: int | None = None) -> None:
        self.capacity_bytes = capacity_bytes
        self.sync_count = 0
        self._crashes = 0
        self._rng = rng
        self._names: dict[Path, _Contents] = {}
        self._durable_names: dict[Path, _Contents] = {}
        self._folder_changes: list[tuple[Path, _Contents | None]] = []
        self._locked: set[Path] = set()
        self._failing_syncs = 0
        self._operations_until_power_loss: int | None = None

    def make_folder(self, folder: Path) -> None:
        """Do nothing; folders exist implicitly."""

    def names(self, folder: Path) -> list[str]:
        """Return the sorted names of the files in a folder."""
        return sorted(path.name for path in self._names if path.parent == folder)

    def read(self, path: Path) -> bytes | None:
        """Return the cached contents of a file, or None if it does not exist."""
        contents = self._names.get(path)
        return None if contents is None else bytes(contents.cached)

    def create(self, path: Path) -> SimulatedFile:
        """Create an empty file for appending, replacing an existing one."""
        self._step()
        contents = _Contents()
        self._change_name(path, contents)
        return SimulatedFile(self, contents)

    def overwrite(self, path: Path, data: bytes) -> None:
        """Overwrite the start of a file in the cache, without changing durable data."""
        contents = self._names.get(path)
        if contents is None:
            contents = _Contents()
            self._change_name(path, contents)
        contents.cached[: len(data)] = data

    def life(self) -> str:
        """Return an identifier that changes with each crash."""
        return str(self._crashes)

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file; a crash may undo it until the folder is synced."""
        self._step()
        contents = self._names[source]
        self._change_name(target, contents)
        self._change_name(source, None)

    def remove(self, path: Path) -> None:
        """Remove a file if it exists."""
        self._step()
        if path in self._names:
            self._change_name(path, None)

    def sync_folder(self, folder: Path) -> None:
        """Make the directory entries durable."""
        self._step()
        self._raise_injected_sync_failure()
        self._apply_folder_changes(len(self._folder_changes))

    def lock(self, folder: Path) -> None:
        """Lock the folder; raises OSError when it is already locked."""
        if folder in self._locked:
            raise OSError(errno.EWOULDBLOCK, os.strerror(errno.EWOULDBLOCK))
        self._locked.add(folder)

    def unlock(self, folder: Path) -> None:
        """Unlock the folder."""
        self._locked.discard(folder)

    def fail_syncs(self, count: int) -> None:
        """Make the next syncs fail with EIO."""
        self._failing_syncs = count

    def lose_power_after(self, operations: int | None) -> None:
        """Raise :class:`SimulatedPowerLoss` after a number of operations; None cancels it."""
        self._operations_until_power_loss = operations

    def crash(self) -> None:
        """Simulate a power loss: keep synced data and a random part of unsynced data."""
        self._crashes += 1
        kept = self._rng.randint(0, len(self._folder_changes))
        self._apply_folder_changes(kept)
        self._folder_changes = []
        self._names = dict(self._durable_names)
        for contents in self._names.values():
            self._tear(contents)
        self._locked.clear()
        self._operations_until_power_loss = None

    def kill_process(self) -> None:
        """Simulate the end of the process: release its locks and keep the cache."""
        self._locked.clear()
        self._operations_until_power_loss = None

    def damage(self, path: Path, offset: int) -> None:
        """Flip the bits of one byte, in the cache and on the disk."""
        contents = self._names[path]
        contents.cached[offset] ^= 0xFF
        if offset < len(contents.durable):
            contents.durable[offset] ^= 0xFF

    def cut(self, path: Path, size: int) -> None:
        """Truncate a file to ``size`` bytes, in the cache and on the disk."""
        contents = self._names[path]
        del contents.cached[size:]
        del contents.durable[size:]

    def _tear(self, contents: _Contents) -> None:
        unsynced = bytes(contents.cached[len(contents.durable) :])
        kept = unsynced[: self._rng.randint(0, len(unsynced))]
        survivor = bytearray(contents.durable + kept)
        if kept and self._rng.random() < _CORRUPTION_PROBABILITY:
            lost = self._rng.randint(0, len(kept) - 1)
            survivor[len(contents.durable) + lost] ^= 0xFF
        contents.cached = survivor
        contents.durable = bytearray(survivor)
        contents.unwritable = []

    def _change_name(self, path: Path, contents: _Contents | None) -> None:
        if contents is None:
            self._names.pop(path, None)
        else:
            self._names[path] = contents
        self._folder_changes.append((path, contents))

    def _apply_folder_changes(self, count: int) -> None:
        for path, contents in self._folder_changes[:count]:
            if contents is None:
                self._durable_names.pop(path, None)
            else:
                self._durable_names[path] = contents
        del self._folder_changes[:count]

    def _step(self) -> None:
        if self._operations_until_power_loss is None:
            return
        if self._operations_until_power_loss == 0:
            raise SimulatedPowerLoss
        self._operations_until_power_loss -= 1

    def _raise_injected_sync_failure(self) -> None:
        self.sync_count += 1
        if self._failing_syncs > 0:
            self._failing_syncs -= 1
            raise OSError(errno.EIO, os.strerror(errno.EIO))

    def _used_bytes(self) -> int:
        return sum(len(contents.cached) for contents in self._names.values())

    def write_file(self, contents: _Contents, data: bytes) -> None:
        """Append to a file's cache, up to the capacity of the disk."""
        self._step()
        if self.capacity_bytes is not None:
            room = max(0, self.capacity_bytes - self._used_bytes())
            if len(data) > room:
                contents.cached += data[:room]
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        contents.cached += data

    def sync_file(self, contents: _Contents) -> None:
        """Make a file's data durable, or drop unsynced data when an injected failure is due."""
        self._step()
        try:
            self._raise_injected_sync_failure()
        except OSError:
            contents.unwritable.append((len(contents.durable), len(contents.cached)))
            raise
        written = bytearray(contents.cached)
        for start, end in contents.unwritable:
            written[start:end] = bytes(end - start)
        contents.durable = written


class SimulatedFile:
    """A file open on a simulated disk."""

    def __init__(self, disk: SimulatedDisk, contents: _Contents) -> None:
        self._disk = disk
        self._contents = contents

    def write(self, data: bytes) -> None:
        """Append all bytes."""
        self._disk.write_file(self._contents, data)

    def sync(self) -> None:
        """Make the file durable."""
        self._disk.sync_file(self._contents)

    def close(self) -> None:
        """Do nothing; there is nothing to release."""
