"""The log of a stand-in group: commits, what each replica has received and applied."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Commit:
    """One commit that writes: its place, who asked for it and what it wrote."""

    term: int
    number: int
    request_id: str
    writes: tuple[tuple[str, str], ...]


@dataclass(slots=True)
class MemberLog:
    """What one member holds; ``applied`` counts the commits that its reads see."""

    commits: list[Commit] = field(default_factory=list)
    applied: int = 0

    def position(self, term: int) -> str:
        """Return the position of what is applied, under the member's term."""
        if self.applied == 0:
            return f"{term}.0"
        last = self.commits[self.applied - 1]
        return f"{last.term}.{last.number}"

    def holds(self, position: str) -> bool:
        """Tell whether reads see everything up to a position."""
        term, _, number = position.partition(".")
        last = self.commits[self.applied - 1] if self.applied else None
        own = (last.term, last.number) if last is not None else (0, 0)
        return own >= (int(term), int(number))

    def value_of(self, thing: str) -> str:
        """Return what reads see of a thing; a dash when nothing was written."""
        for commit in reversed(self.commits[: self.applied]):
            for name, data in reversed(commit.writes):
                if name == thing:
                    return data
        return "-"


@dataclass(slots=True)
class Run:
    """A statement that a member ran for a client; ``tenant`` as its connection told it."""

    member: str
    request_id: str
    text: str
    values: dict[str, str]
    in_transaction: bool
    at: float
    tenant: str
