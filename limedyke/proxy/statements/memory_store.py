"""Stands for the disk of a proxy that has none: each life begins with nothing."""

from __future__ import annotations

from collections.abc import Sequence

from result import Ok, Result

from limedyke.messages.control import ControlSnapshot, ControlUpdate
from limedyke.proxy.control.store import StoredControl
from limedyke.proxy.control.view import ControlViewBuilder
from limedyke.result_codes import Failure

ONLY_INCARNATION = 1
"""The proxy's name differs in each life, so its lives need no numbers."""


class MemoryControlStore:
    """Keeps nothing beyond the process; its state is asked for anew at the start.

    :param address: where the process listens, as no other can meanwhile (``ip:port``)
    """

    wants_snapshot = False

    def __init__(self, address: str) -> None:
        self._folder_id = f"address:{address}"

    def open(self) -> Result[StoredControl, Failure]:
        """Return an empty state."""
        return Ok(StoredControl(ControlViewBuilder(), True, ONLY_INCARNATION, self._folder_id))

    async def save_snapshot(self, snapshot: ControlSnapshot) -> None:
        """Keep nothing."""

    async def append_updates(self, updates: Sequence[ControlUpdate]) -> None:
        """Keep nothing."""
