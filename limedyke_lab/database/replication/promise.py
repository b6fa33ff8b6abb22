"""Durable storage of the highest term a member promised."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

import ormsgpack


@dataclass(frozen=True, slots=True)
class Promise:
    """A promise to reject all lower terms.

    :param term: the promised term, 0 when none was ever given
    :param promoter: who requested it; empty when an append from a primary raised the term
    :param primary: the primary of the term as far as this member knows; empty when none yet
    """

    term: int = 0
    promoter: str = ""
    primary: str = ""


class PromiseFile:
    """Stores a promise by writing a new file, syncing it and renaming it into place."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._path = folder / "promise"
        self.current = self._load()

    def _load(self) -> Promise:
        try:
            term, promoter, primary = ormsgpack.unpackb(self._path.read_bytes())
        except FileNotFoundError:
            return Promise()
        return Promise(term, promoter, primary)

    def store(self, promise: Promise) -> None:
        """Make the promise durable, then current."""
        temporary = self._path.with_suffix(".new")
        with temporary.open("wb") as file:
            file.write(ormsgpack.packb([promise.term, promise.promoter, promise.primary]))
            file.flush()
            os.fsync(file.fileno())
        temporary.rename(self._path)
        folder = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
        self.current = promise
