"""The record of a case: what was sent, answered and run, with times."""

from __future__ import annotations

import sys
import time
from pathlib import Path


class Record:
    """Writes one line for each event; times are seconds since the start of the case.

    :param path: the file, which is written anew
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began_at

    def note(self, text: str) -> None:
        """Write an event."""
        self._file.write(f"{self.now():9.3f} {text}\n")

    def say(self, text: str) -> None:
        """Write an event, and print it."""
        self.note(text)
        print(f"{self.now():9.3f} {text}", file=sys.stderr, flush=True)

    def close(self) -> None:
        """Flush and close the file."""
        self._file.close()
