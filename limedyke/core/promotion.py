"""Choice of the member to promote from the promises of a majority; sans-IO."""

from __future__ import annotations

from dataclasses import dataclass

from limedyke.messages.work import LogPosition


@dataclass(frozen=True, slots=True)
class Promised:
    """A member's promise for the term; ``log_end`` is the end of its log."""

    member: str
    log_end: LogPosition


class Promotion:
    """One attempt to promote a member of a group under a term.

    The most advanced of a majority that promised holds every commit acknowledged under a lower
    term, so only such a member may be promoted.

    :param members: all declared members; a majority of these is needed
    :param preferred: member to choose among equally advanced ones, or empty
    :param planned: choose the preferred member if it is the most advanced of any majority that
        promised; the replaced primary, whose log may be longer, is among the others
    """

    def __init__(self, members: tuple[str, ...], preferred: str, planned: bool = False) -> None:
        self._members = members
        self._preferred = preferred
        self._planned = planned
        self._promises: dict[str, Promised] = {}
        self._answered: set[str] = set()
        self._failed: set[str] = set()

    @property
    def majority(self) -> int:
        """Number of promises needed."""
        return len(self._members) // 2 + 1

    @property
    def all_answered(self) -> bool:
        """Whether all members have answered."""
        return len(self._answered) == len(self._members)

    def promised(self, promise: Promised) -> None:
        """Record a member's promise; members that were not declared do not count."""
        if promise.member in self._members:
            self._answered.add(promise.member)
            self._promises[promise.member] = promise

    def refused(self, member: str) -> None:
        """Record that a member gave no promise."""
        self._answered.add(member)

    def promotion_failed(self, member: str) -> None:
        """Record that a chosen member could not be promoted; its promise no longer counts."""
        self._failed.add(member)

    @property
    def has_majority(self) -> bool:
        """Whether enough members promised, apart from those that failed since."""
        return len(self._counting()) >= self.majority

    @property
    def is_settled(self) -> bool:
        """Whether further answers could not improve the choice."""
        if self.all_answered:
            return True
        if self._planned:
            return self._preferred_leads_majority()
        return self.has_majority and self._preferred in self._promises

    def choose(self) -> str:
        """Return the most advanced of the members that promised, or an empty string.

        Without promises of a majority no member may be promoted.
        """
        counting = self._counting()
        if len(counting) < self.majority:
            return ""
        if self._planned and self._preferred_leads_majority():
            return self._preferred
        best = max(
            counting,
            key=lambda p: (_place(p), p.member == self._preferred, p.member),
        )
        return best.member

    def _preferred_leads_majority(self) -> bool:
        """Return whether the preferred member is the most advanced of a majority that promised."""
        counting = {p.member: p for p in self._counting()}
        own = counting.get(self._preferred)
        if own is None:
            return False
        behind = [p for p in counting.values() if _place(p) <= _place(own)]
        return len(behind) >= self.majority

    def _counting(self) -> list[Promised]:
        return [p for name, p in self._promises.items() if name not in self._failed]


def _place(promise: Promised) -> tuple[int, int]:
    """Return the sort key of logs: the term of the last record precedes the length."""
    return promise.log_end.term, promise.log_end.position
