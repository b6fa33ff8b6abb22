"""The record of one run: a line for each event, with the seconds since the start."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TextIO


class Record:
    """Writes events to a file.

    :param path: of the file, which is replaced
    """

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._began_at

    def write(self, event: str, **values: object) -> None:
        """Write one event."""
        fields = " ".join(f"{name}={value}" for name, value in values.items())
        self._file.write(f"{self.now():8.3f} {event} {fields}".rstrip() + "\n")

    def close(self) -> None:
        """Write what is left and close the file."""
        self._file.close()
