"""The log of a fake group's members: received and applied commits."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Commit:
    """One commit with writes: its log position, request id and written values."""

    term: int
    number: int
    request_id: str
    writes: tuple[tuple[str, str], ...]


@dataclass(slots=True)
class MemberLog:
    """The log of one member; ``applied`` is the number of commits visible to reads."""

    commits: list[Commit] = field(default_factory=list)
    applied: int = 0

    def position(self, term: int) -> str:
        """Return the position of the last applied commit, or position 0 of ``term``."""
        return self._position_of(self.applied, term)

    def received_position(self, term: int) -> str:
        """Return the position of the last received commit, or position 0 of ``term``."""
        return self._position_of(len(self.commits), term)

    def _position_of(self, count: int, term: int) -> str:
        if count == 0:
            return f"{term}.0"
        last = self.commits[count - 1]
        return f"{last.term}.{last.number}"

    def holds(self, position: str) -> bool:
        """Return True if all commits up to a position are applied."""
        term, _, number = position.partition(".")
        last = self.commits[self.applied - 1] if self.applied else None
        own = (last.term, last.number) if last is not None else (0, 0)
        return own >= (int(term), int(number))

    def value_of(self, thing: str) -> str:
        """Return the applied value of a key, or a dash if it was never written."""
        for commit in reversed(self.commits[: self.applied]):
            for name, data in reversed(commit.writes):
                if name == thing:
                    return data
        return "-"


@dataclass(slots=True)
class Run:
    """A statement that a member ran for a client; ``tenant`` was named by its connection."""

    member: str
    request_id: str
    text: str
    values: dict[str, str]
    in_transaction: bool
    at: float
    tenant: str
