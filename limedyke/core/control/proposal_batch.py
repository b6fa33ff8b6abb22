"""Batches proposals on groups, so that many share one log entry."""

from __future__ import annotations

from limedyke.core.control.events import Propose
from limedyke.messages.control_entries import (
    BeginSwitchover,
    GrantTerms,
    PrimaryChange,
    RecordPrimaries,
    TermGrant,
)

MAXIMUM_BATCH = 256


class ProposalBatch:
    """Holds at most one proposal of each kind for a group; a newer one replaces it."""

    def __init__(self) -> None:
        self._grants: dict[str, TermGrant] = {}
        self._records: dict[str, PrimaryChange] = {}
        self._switchovers: dict[str, BeginSwitchover] = {}

    def grant(self, grant: TermGrant) -> None:
        """Add a term to be granted."""
        self._grants[grant.group] = grant

    def record(self, change: PrimaryChange) -> None:
        """Add a primary to be recorded."""
        self._records[change.group] = change

    def begin_switchover(self, entry: BeginSwitchover) -> None:
        """Add a switchover to be announced."""
        self._switchovers[entry.group] = entry

    def take(self) -> list[Propose]:
        """Return the proposals in as few entries as possible, and clear the batch."""
        records, grants = tuple(self._records.values()), tuple(self._grants.values())
        commands = [
            Propose(RecordPrimaries(records[start : start + MAXIMUM_BATCH]))
            for start in range(0, len(records), MAXIMUM_BATCH)
        ]
        commands += [
            Propose(GrantTerms(grants[start : start + MAXIMUM_BATCH]))
            for start in range(0, len(grants), MAXIMUM_BATCH)
        ]
        commands += [Propose(entry) for entry in self._switchovers.values()]
        self._grants, self._records, self._switchovers = {}, {}, {}
        return commands
