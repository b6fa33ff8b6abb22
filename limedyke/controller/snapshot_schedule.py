"""Decides when the log has grown enough for a snapshot; sans-IO."""

from __future__ import annotations

SNAPSHOT_AFTER_ENTRIES = 2_000
SNAPSHOT_AFTER_BYTES = 4 * 1024 * 1024


class SnapshotSchedule:
    """Counts what was applied since the last snapshot of this process."""

    def __init__(self) -> None:
        self._entries = 0
        self._bytes = 0

    def note_applied(self, payload_bytes: int) -> None:
        """Count an entry.

        :param payload_bytes: size of its payload
        """
        self._entries += 1
        self._bytes += payload_bytes

    def take_due(self) -> bool:
        """Tell whether a snapshot is due; if so, reset the counts."""
        if self._entries < SNAPSHOT_AFTER_ENTRIES and self._bytes < SNAPSHOT_AFTER_BYTES:
            return False
        self._entries = 0
        self._bytes = 0
        return True
