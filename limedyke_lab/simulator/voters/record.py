"""What operators sent and saw in a run; times are virtual seconds."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace

from limedyke.result_codes import CODE_BY_NUMBER, Outcome


@dataclass(frozen=True, slots=True)
class Sent:
    """One declaration sent to one controller.

    :param ended_at: infinity while no answer has come
    :param code: number of the result code; 0 if it was confirmed, None without an answer
    """

    version: int
    document: bytes
    sent_at: float
    ended_at: float
    code: int | None

    @property
    def may_be_in_force(self) -> bool:
        """Whether the answer leaves open that the declaration was taken."""
        if not self.code:
            return True
        return CODE_BY_NUMBER[self.code].outcome is not Outcome.DID_NOT_RUN


@dataclass(frozen=True, slots=True)
class Shown:
    """The declaration that one controller showed."""

    controller: str
    version: int
    document: bytes
    sent_at: float


@dataclass(slots=True)
class VoterRecord:
    """The record of a run.

    :ivar violations: broken promises that were found while the run went on
    """

    sent: list[Sent] = field(default_factory=list)
    shown: list[Shown] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)

    def begin(self, version: int, document: bytes, now: float) -> int:
        """Record that a declaration is being sent, and return the number to end it by."""
        self.sent.append(Sent(version, document, now, math.inf, None))
        return len(self.sent) - 1

    def end(self, number: int, code: int | None, now: float) -> None:
        """Record how a sending ended."""
        self.sent[number] = replace(self.sent[number], ended_at=now, code=code)

    def confirmed_version(self, moment: float) -> int:
        """Return the highest version confirmed by a time; 0 if there is none."""
        confirmed = [s.version for s in self.sent if s.code == 0 and s.ended_at <= moment]
        return max(confirmed, default=0)

    def broken_promises(self) -> list[str]:
        """Return all broken promises, each with what was seen."""
        return [*self.violations, *self._old_reads(), *self._conflicts(), *self._refused_shown()]

    def _old_reads(self) -> list[str]:
        found = []
        for shown in self.shown:
            due = self.confirmed_version(shown.sent_at)
            if shown.version < due:
                text = f"{shown.controller} shows {shown.version} at {shown.sent_at:.3f}"
                found.append(f"read-back: {text}, {due} was confirmed")
        return found

    def _conflicts(self) -> list[str]:
        first: dict[int, bytes] = {}
        return [
            f"one-content: {shown.version} is {first[shown.version]!r} and {shown.document!r}"
            for shown in self.shown
            if first.setdefault(shown.version, shown.document) != shown.document
        ]

    def _refused_shown(self) -> list[str]:
        possible = {sent.document for sent in self.sent if sent.may_be_in_force}
        return [
            f"did-not-run: {shown.document!r} is shown, though each answer says it did not run"
            for shown in self.shown
            if shown.document not in possible
        ]
