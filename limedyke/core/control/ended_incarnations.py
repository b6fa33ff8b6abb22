"""Incarnations of members that said that they end: what they say late counts no more; sans-IO."""

from __future__ import annotations

from collections.abc import Iterable

from limedyke.messages.control_entries import EndedIncarnation, RecordMembers

MAXIMUM_KEPT = 256
"""An announcement comes some seconds late; at 260 restarts a day this keeps a day's."""


class EndedIncarnations:
    """The newest incarnation of each member that ended, kept in the log for leaders to come.

    The one before it, whose start is lower, is over too. A member that is set back by its clock
    before it starts again is not heard until that clock has passed the start that it told.
    """

    def __init__(self, ended: Iterable[EndedIncarnation] = ()) -> None:
        self._starts = {item.identity: item.started_at_ms for item in ended}

    def recorded(self) -> tuple[EndedIncarnation, ...]:
        """Return them as they stand in a snapshot, the oldest first."""
        return tuple(EndedIncarnation(*item) for item in self._starts.items())

    def has_ended(self, identity: str, started_at_ms: int) -> bool:
        """Tell whether an incarnation has ended; False where the start is not told."""
        return 0 < started_at_ms <= self._starts.get(identity, 0)

    def apply(self, entry: RecordMembers) -> None:
        """Follow an entry of the log."""
        for ended in entry.ended:
            if not self.has_ended(ended.identity, ended.started_at_ms):
                self._starts.pop(ended.identity, None)
                self._starts[ended.identity] = ended.started_at_ms
        while len(self._starts) > MAXIMUM_KEPT:
            del self._starts[next(iter(self._starts))]
