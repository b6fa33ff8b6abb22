"""Receives control state from the controllers: persists it, then applies it, never older state."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from result import Err, Result

from limedyke.event_log import EventLog
from limedyke.messages.control import ControlSnapshot, ControlTarget, ControlUpdate
from limedyke.proxy.control.store import ControlStore, StoredControl, view_of
from limedyke.proxy.control.view import ControlView, snapshot_of
from limedyke.result_codes import Failure
from limedyke.transport.link import LinkClosedError

EVENTS = EventLog("control_client")


class ControlStateReceiver:
    """Persists snapshots and updates, and applies the resulting views.

    :param store: persists the control state
    :param apply_view: applies a newer view, which is already synced to disk

    :ivar current: the applied view
    """

    def __init__(
        self, store: ControlStore, apply_view: Callable[[ControlView], Awaitable[None]]
    ) -> None:
        self._store = store
        self._apply_view = apply_view
        self._stored: StoredControl | None = None
        self._target_index = 0
        self._unsaved_snapshot = False
        self.current: ControlView | None = None
        self.confirmed = False
        """Whether a leader has confirmed or replaced the view that was stored at the start.

        An unconfirmed stored view is used to serve requests, but not to start a drain, because
        the order to drain may have been withdrawn since.
        """

    async def open(self) -> Result[StoredControl, Failure]:
        """Open the store, and apply the stored view if it is intact."""
        opened = self._store.open()
        if isinstance(opened, Err):
            return opened
        self._stored = opened.ok_value
        view = view_of(self._stored)
        if view is not None:
            await self._use(view)
        return opened

    @property
    def latest(self) -> ControlView | None:
        """The latest view that was received, applied or not."""
        return self._stored.builder.view

    def link_opened(self) -> None:
        """Reset the target index that an earlier leader sent."""
        self._target_index = 0

    async def set_target(self, target: ControlTarget) -> None:
        """Apply no view that is older than this state of the leader."""
        self._target_index = target.control_index

    async def apply_snapshot(self, snapshot: ControlSnapshot) -> None:
        """Apply a complete state.

        :raises LinkClosedError: when it is older than the latest view
        :raises OSError: when it cannot be written to disk
        """
        view = self.latest
        if view is not None and snapshot.control_index < view.control_index:
            raise LinkClosedError(
                f"snapshot {snapshot.control_index} is older than {view.control_index}"
            )
        self._unsaved_snapshot = True
        await self._accept(self._stored.builder.apply_snapshot(snapshot))

    async def apply_update(self, update: ControlUpdate) -> None:
        """Apply a change to the latest view; an empty update confirms the view.

        :raises LinkClosedError: when the update is not based on the latest view
        :raises OSError: when it cannot be written to disk
        """
        view = self.latest
        if view is None or update.base_index != view.control_index:
            raise LinkClosedError(f"update is based on {update.base_index}, not on the latest view")
        if update.control_index == view.control_index:
            await self._confirm(view)
            return
        if not self._unsaved_snapshot:
            await self._store.append_updates([update])
        await self._accept(self._stored.builder.apply_update(update))

    async def _confirm(self, view: ControlView) -> None:
        """Apply a stored view, again if need be, after the leader confirmed that it is current."""
        if not self.confirmed or self._unsaved_snapshot:
            await self._accept(view)

    async def _accept(self, view: ControlView) -> None:
        """Persist and apply a view, unless it is older than the target index."""
        if view.control_index < self._target_index:
            return
        if self._unsaved_snapshot or self._store.wants_snapshot:
            await self._store.save_snapshot(snapshot_of(view))
            self._unsaved_snapshot = False
        self.confirmed = True
        await self._use(view)

    async def _use(self, view: ControlView) -> None:
        previous, self.current = self.current, view
        await self._apply_view(view)
        if previous is None or previous.revision != view.revision:
            EVENTS.info(
                "declaration-applied",
                revision=view.revision,
                control_index=view.control_index,
                confirmed=self.confirmed,
            )
