"""The replicated log and the applied state of a simulated member."""

from __future__ import annotations

from dataclasses import dataclass

from limedyke_lab.simulator.statements import OnceRow, Put, Write


@dataclass(frozen=True, slots=True)
class Record:
    """One transaction in the log; a record without writes only opens a term."""

    term: int
    origin: str
    writes: tuple[Write, ...]


class MemberLog:
    """A member's state on disk. A position is the number of records before it.

    :ivar promise_taken: whether the promised term already has a primary
    :ivar rebuild: number of the rebuild in progress after a lost disk; 0 for none
    """

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.promised_term = 0
        self.promoter = ""
        self.promise_taken = False
        self.rebuild = 0

    @property
    def end(self) -> int:
        """Position after the last record."""
        return len(self.records)

    @property
    def last_term(self) -> int:
        """Term of the last record."""
        return self.records[-1].term if self.records else 0

    def term_at(self, position: int) -> int:
        """Return the term of the record that ends at a position."""
        return self.records[position - 1].term if position else 0

    def promise(self, term: int, promoter: str, taken: bool) -> None:
        """Store a promise."""
        self.promised_term = term
        self.promoter = promoter
        self.promise_taken = taken


class AppliedState:
    """The tables after applying the log up to a position."""

    def __init__(self) -> None:
        self.position = 0
        self._values: dict[tuple[str, str], str] = {}
        self._applied_writes: dict[str, int] = {}
        self._once: dict[str, tuple[str, str]] = {}

    def apply(self, record: Record) -> None:
        """Apply the next record."""
        self.position += 1
        for write in record.writes:
            if isinstance(write, Put):
                self._values[write.tenant, write.key] = write.request
                self._applied_writes[write.request] = self.position
            elif isinstance(write, OnceRow):
                self._once[write.key] = (write.digest, "")
            elif write.tag is not None and write.key in self._once:
                self._once[write.key] = (self._once[write.key][0], write.tag)

    def value(self, tenant: str, key: str) -> str:
        """Return the name of the request that last wrote the key."""
        return self._values.get((tenant, key), "")

    def holds(self, request: str) -> bool:
        """Tell whether a write has been applied."""
        return request in self._applied_writes

    def once_row(self, key: str) -> tuple[str, str] | None:
        """Return digest and command tag of a once-key, or None if it was never used."""
        return self._once.get(key)
