"""What a proxy accepts from the controllers: synced first, never older, then in force."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from result import Err, Result

from limedyke.messages.control import ControlSnapshot, ControlTarget, ControlUpdate
from limedyke.proxy.control.store import ControlStore, StoredControl, view_of
from limedyke.proxy.control.view import ControlView, snapshot_of
from limedyke.result_codes import Failure
from limedyke.transport.link import LinkClosedError


class ControlStateReceiver:
    """Takes snapshots and updates in, and puts the views they make into force.

    :param store: the proxy's disk
    :param put_in_force: takes a newer view into force; it is synced already
    """

    def __init__(
        self, store: ControlStore, put_in_force: Callable[[ControlView], Awaitable[None]]
    ) -> None:
        self._store = store
        self._put_in_force = put_in_force
        self._stored: StoredControl | None = None
        self._target_index = 0
        self._unsaved_snapshot = False
        self.in_force: ControlView | None = None
        self.confirmed = False
        """Whether a leader has confirmed or replaced the view that the disk held at the start.

        A stored view serves requests, but is no order to leave service: that may be over.
        """

    async def open(self) -> Result[StoredControl, Failure]:
        """Open the disk, and put into force what it holds whole."""
        opened = self._store.open()
        if isinstance(opened, Err):
            return opened
        self._stored = opened.ok_value
        view = view_of(self._stored)
        if view is not None:
            await self._use(view)
        return opened

    @property
    def newest(self) -> ControlView | None:
        """The newest view that was taken in, in force or not yet."""
        return self._stored.builder.view

    def link_opened(self) -> None:
        """Forget what an earlier leader announced."""
        self._target_index = 0

    async def take_target(self, target: ControlTarget) -> None:
        """Hold back what is older than a leader's present state."""
        self._target_index = target.control_index

    async def apply_snapshot(self, snapshot: ControlSnapshot) -> None:
        """Take a whole state.

        :raises LinkClosedError: when it is older than what was taken in before
        :raises OSError: when the disk refuses
        """
        view = self.newest
        if view is not None and snapshot.control_index < view.control_index:
            raise LinkClosedError(
                f"snapshot {snapshot.control_index} is older than {view.control_index}"
            )
        self._unsaved_snapshot = True
        await self._accept(self._stored.builder.apply_snapshot(snapshot))

    async def apply_update(self, update: ControlUpdate) -> None:
        """Take a change of the newest view; an empty one confirms it.

        :raises LinkClosedError: when it does not follow
        :raises OSError: when the disk refuses
        """
        view = self.newest
        if view is None or update.base_index != view.control_index:
            raise LinkClosedError(f"update from {update.base_index} does not follow")
        if update.control_index == view.control_index:
            await self._confirm(view)
            return
        if not self._unsaved_snapshot:
            await self._store.append_updates([update])
        await self._accept(self._stored.builder.apply_update(update))

    async def _confirm(self, view: ControlView) -> None:
        """Take a stored view into force, also again, once the leader says that it is current."""
        if not self.confirmed or self._unsaved_snapshot:
            await self._accept(view)

    async def _accept(self, view: ControlView) -> None:
        """Sync what is not synced yet and take a view into force, once it is new enough."""
        if view.control_index < self._target_index:
            return
        if self._unsaved_snapshot or self._store.wants_snapshot:
            await self._store.save_snapshot(snapshot_of(view))
            self._unsaved_snapshot = False
        self.confirmed = True
        await self._use(view)

    async def _use(self, view: ControlView) -> None:
        self.in_force = view
        await self._put_in_force(view)
