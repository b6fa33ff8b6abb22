"""Incarnations of members that have withdrawn; their late announcements are ignored."""

from __future__ import annotations

from collections.abc import Iterable

from limedyke.messages.control_entries import EndedIncarnation, RecordMembers

MAXIMUM_ENTRIES = 256
"""Announcements arrive at most seconds late; at 260 restarts a day this covers about a day."""


class EndedIncarnations:
    """The newest ended incarnation of each member; replicated, so that a new leader knows it too.

    Incarnations with an earlier start time have ended as well. If a member's clock is set back
    before it restarts, its announcements are ignored until the clock passes the start time that
    it reported before.
    """

    def __init__(self, ended: Iterable[EndedIncarnation] = ()) -> None:
        self._starts = {item.identity: item.started_at_ms for item in ended}

    def recorded(self) -> tuple[EndedIncarnation, ...]:
        """Return the ended incarnations for a snapshot, the oldest first."""
        return tuple(EndedIncarnation(*item) for item in self._starts.items())

    def has_ended(self, identity: str, started_at_ms: int) -> bool:
        """Return whether an incarnation has ended; False if its start time is not reported."""
        return 0 < started_at_ms <= self._starts.get(identity, 0)

    def apply(self, entry: RecordMembers) -> None:
        """Apply a log entry."""
        for ended in entry.ended:
            if not self.has_ended(ended.identity, ended.started_at_ms):
                self._starts.pop(ended.identity, None)
                self._starts[ended.identity] = ended.started_at_ms
        while len(self._starts) > MAXIMUM_ENTRIES:
            del self._starts[next(iter(self._starts))]
