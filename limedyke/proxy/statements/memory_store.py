"""The control store of a diskless proxy: it is empty at each start."""

from __future__ import annotations

from collections.abc import Sequence

from result import Ok, Result

from limedyke.messages.control import ControlSnapshot, ControlUpdate
from limedyke.proxy.control.store import StoredControl
from limedyke.proxy.control.view import ControlViewBuilder
from limedyke.result_codes import Failure

ONLY_INCARNATION = 1
"""The proxy gets a new name at each start, so its incarnations need no numbers."""


class MemoryControlStore:
    """Stores nothing; the state is requested from the controllers at each start.

    :param address: the ``ip:port`` that the process listens on; it identifies the store, as no
        other process can use it meanwhile
    """

    wants_snapshot = False

    def __init__(self, address: str) -> None:
        self._folder_id = f"address:{address}"

    def open(self) -> Result[StoredControl, Failure]:
        """Return an empty state."""
        return Ok(StoredControl(ControlViewBuilder(), True, ONLY_INCARNATION, self._folder_id))

    async def save_snapshot(self, snapshot: ControlSnapshot) -> None:
        """Do nothing."""

    async def append_updates(self, updates: Sequence[ControlUpdate]) -> None:
        """Do nothing."""
