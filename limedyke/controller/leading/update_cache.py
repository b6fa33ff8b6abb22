"""Snapshots and updates for proxies, encoded and compressed once for all of them."""

from __future__ import annotations

from dataclasses import dataclass, replace

from limedyke.core.control.state import ControlState
from limedyke.core.control.update_ring import UpdateRing
from limedyke.messages.codec import encode
from limedyke.messages.control import ControlSnapshot, ControlUpdate
from limedyke.transport.framing import compressed_frame, frame

MAXIMUM_CACHED_UPDATES = 64
COMPRESS_ABOVE_BYTES = 4_096


@dataclass(frozen=True, slots=True)
class EncodedUpdate:
    """An encoded snapshot or update.

    :param control_index: the control index of a proxy that has applied it
    :param message: the encoded message
    :param framed: its frame; if the message is large, compressed once for all proxies
    :param present_index: the newest control index; higher than ``control_index`` if an update
        follows a cached snapshot
    """

    control_index: int
    message: bytes
    framed: bytes
    present_index: int

    @property
    def is_large(self) -> bool:
        """Whether all proxies are sent the same compressed frame; else each link compresses."""
        return len(self.message) > COMPRESS_ABOVE_BYTES

    @classmethod
    def of(cls, message: ControlSnapshot | ControlUpdate) -> EncodedUpdate:
        """Encode and frame a snapshot or update."""
        data = encode(message)
        framed = compressed_frame(data) if len(data) > COMPRESS_ABOVE_BYTES else frame(data)
        return cls(message.control_index, data, framed, message.control_index)


class UpdateCache:
    """Caches the newest encoded snapshot and the encoded updates to the current state.

    A snapshot is encoded again only when the updates that follow it are no longer kept. While many
    proxies start at once, each start changes the state; all of them are sent the same snapshot and
    then the short update from there.

    :param state: the applied state
    :param updates: the newest updates
    """

    def __init__(self, state: ControlState, updates: UpdateRing) -> None:
        self._state = state
        self._updates = updates
        self._snapshot: EncodedUpdate | None = None
        self._updates_to_present: dict[int, EncodedUpdate] = {}
        self._present_index = -1
        self.snapshots_encoded = 0

    def since(self, control_index: int) -> EncodedUpdate | None:
        """Return the next message for a proxy, or None if the proxy is up to date.

        :param control_index: the proxy's control index; 0 if it has no state
        """
        if control_index == self._state.control_index and control_index > 0:
            return None
        if self._present_index != self._state.control_index:
            self._updates_to_present.clear()
            self._present_index = self._state.control_index
        update = self._update_since(control_index) if control_index else None
        return update or self._snapshot_update()

    def _update_since(self, control_index: int) -> EncodedUpdate | None:
        known = self._updates_to_present.get(control_index)
        if known is not None:
            return known
        update = self._updates.since(control_index)
        if update is None:
            return None
        if len(self._updates_to_present) >= MAXIMUM_CACHED_UPDATES:
            self._updates_to_present.clear()
        encoded = EncodedUpdate.of(update)
        self._updates_to_present[control_index] = encoded
        return encoded

    def _snapshot_update(self) -> EncodedUpdate:
        snapshot = self._snapshot
        if snapshot is not None and self._can_follow(snapshot.control_index):
            return replace(snapshot, present_index=self._state.control_index)
        self.snapshots_encoded += 1
        self._snapshot = EncodedUpdate.of(self._state.snapshot_for_proxies())
        return self._snapshot

    def _can_follow(self, control_index: int) -> bool:
        if control_index == self._state.control_index:
            return True
        return control_index > 0 and self._updates.reaches_back_to(control_index)
