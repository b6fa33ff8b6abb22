"""What brings a proxy to the present: encoded and compressed once, whoever asks for it."""

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
    """A snapshot or update, and the control index of a proxy that has taken it.

    :param message: encoded
    :param framed: its frame, compressed once for all proxies when it is large
    :param present_index: the newest index; higher when an update follows a kept snapshot
    """

    control_index: int
    message: bytes
    framed: bytes
    present_index: int

    @property
    def is_large(self) -> bool:
        """Whether it pays to send every proxy the same frame; else each link compresses it."""
        return len(self.message) > COMPRESS_ABOVE_BYTES

    @classmethod
    def of(cls, message: ControlSnapshot | ControlUpdate) -> EncodedUpdate:
        """Encode and frame what brings a proxy to the message's control index."""
        data = encode(message)
        framed = compressed_frame(data) if len(data) > COMPRESS_ABOVE_BYTES else frame(data)
        return cls(message.control_index, data, framed, message.control_index)


class UpdateCache:
    """Keeps the newest encoded snapshot and the encoded updates to the present state.

    A snapshot is made anew only when the updates that follow it are no longer kept: while many
    proxies start at once, each start changes the state, and all are sent the same snapshot and
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
        """Return the next message for a proxy at an index, or None when it is at the present.

        :param control_index: what the proxy has; 0 for nothing
        """
        if control_index == self._state.control_index and control_index > 0:
            return None
        if self._present_index != self._state.control_index:
            self._updates_to_present.clear()
            self._present_index = self._state.control_index
        update = self._update_since(control_index) if control_index else None
        return update or self._whole()

    def _update_since(self, control_index: int) -> EncodedUpdate | None:
        known = self._updates_to_present.get(control_index)
        if known is not None:
            return known
        update = self._updates.since(control_index)
        if update is None:
            return None
        if len(self._updates_to_present) >= MAXIMUM_CACHED_UPDATES:
            self._updates_to_present.clear()
        news = EncodedUpdate.of(update)
        self._updates_to_present[control_index] = news
        return news

    def _whole(self) -> EncodedUpdate:
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
