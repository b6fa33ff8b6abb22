"""Checks whether a disk that refused a write accepts writes again."""

from __future__ import annotations

from pathlib import Path

from limedyke.storage.file_system import FileSystem

PROBE_NAME = "disk-probe"
PROBE_BYTES = 64 * 1024


def is_writable(folder: Path, file_system: FileSystem) -> bool:
    """Write, sync and remove a small file; tell whether all of it succeeded.

    :param folder: the folder of the files that are to be written
    """
    path = folder / PROBE_NAME
    try:
        file = file_system.create(path)
        try:
            file.write(bytes(PROBE_BYTES))
            file.sync()
        finally:
            file.close()
        file_system.remove(path)
    except OSError:
        return False
    return True
