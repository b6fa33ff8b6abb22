"""The entries of the replicated log in memory, after the snapshot."""

from __future__ import annotations

from limedyke.core.agreement.records import Snapshot, decode_configuration
from limedyke.messages.agreement import (
    ControllerIdentity,
    EntryKind,
    LogEntry,
    MemberConfiguration,
)


class EntryLog:
    """Entries after ``base_index``, without gaps, and the configurations among them.

    :ivar known_members: the members of all configurations that this log has held since the start
    """

    def __init__(self, snapshot: Snapshot, entries: tuple[LogEntry, ...] = ()) -> None:
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self._entries: list[LogEntry] = []
        self._configurations: list[tuple[int, MemberConfiguration]] = []
        self.known_members: set[ControllerIdentity] = set()
        self._note_members(snapshot.configuration)
        self.append(entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the base if there is none."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def configuration(self) -> MemberConfiguration:
        """The newest configuration, committed or not."""
        if self._configurations:
            return self._configurations[-1][1]
        return self.snapshot.configuration

    @property
    def configuration_index(self) -> int:
        """Index of the newest configuration entry, or of the snapshot if there is none."""
        return self._configurations[-1][0] if self._configurations else self.snapshot.index

    def configuration_at(self, index: int) -> MemberConfiguration:
        """Return the configuration in force as of an entry."""
        found = self.snapshot.configuration
        for entry_index, configuration in self._configurations:
            if entry_index > index:
                break
            found = configuration
        return found

    def holds(self, index: int, term: int) -> bool:
        """Tell whether the log is known to contain the entry with this index and term."""
        return self.base_index <= index <= self.last_index and self.term_at(index) == term

    def term_at(self, index: int) -> int:
        """Return the term of a known entry."""
        if index == self.base_index:
            return self.base_term
        return self._entries[index - self.base_index - 1].term

    def entries_between(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries ``first`` to ``last``, both included."""
        start = first - self.base_index - 1
        return tuple(self._entries[start : last - self.base_index])

    def batch_from(self, first: int, entry_limit: int, byte_limit: int) -> tuple[LogEntry, ...]:
        """Return entries from ``first`` on: at least one, at most up to both limits."""
        batch: list[LogEntry] = []
        size = 0
        start = first - self.base_index - 1
        for entry in self._entries[start : start + entry_limit]:
            size += len(entry.payload)
            if batch and size > byte_limit:
                break
            batch.append(entry)
        return tuple(batch)

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Add entries that follow the last one."""
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise ValueError(f"entry {entry.index} does not follow {self.last_index}")
            self._entries.append(entry)
            if entry.kind == EntryKind.CONFIGURATION:
                configuration = decode_configuration(entry.payload)
                self._configurations.append((entry.index, configuration))
                self._note_members(configuration)

    def _note_members(self, configuration: MemberConfiguration) -> None:
        self.known_members.update(configuration.voters, configuration.learners)

    def truncate_after(self, index: int) -> None:
        """Drop the entries after ``index``."""
        del self._entries[index - self.base_index :]
        while self._configurations and self._configurations[-1][0] > index:
            self._configurations.pop()

    def first_index_of_term(self, index: int) -> int:
        """Return the first index of the run of entries of one term that ends at ``index``."""
        term = self.term_at(index)
        first = index
        while first - 1 > self.base_index and self.term_at(first - 1) == term:
            first -= 1
        return first

    def last_index_of_term(self, term: int) -> int | None:
        """Return the last index with this term, or None."""
        for entry in reversed(self._entries):
            if entry.term == term:
                return entry.index
            if entry.term < term:
                return None
        return self.base_index if self.base_term == term else None

    def compact(self, snapshot: Snapshot, retained_entries: int) -> None:
        """Use a snapshot of applied entries as the base, retaining some entries before it."""
        base = max(self.base_index, snapshot.index - retained_entries)
        base_term = self.term_at(base)
        del self._entries[: base - self.base_index]
        self.base_index = base
        self.base_term = base_term
        self.snapshot = snapshot
        self._configurations = [
            (index, configuration)
            for index, configuration in self._configurations
            if index > snapshot.index
        ]

    def install(self, snapshot: Snapshot) -> None:
        """Adopt the leader's snapshot; keep later entries if the log holds its last entry."""
        self._note_members(snapshot.configuration)
        if self.holds(snapshot.index, snapshot.term):
            self.compact(snapshot, retained_entries=0)
            return
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self._entries = []
        self._configurations = []
