"""Checkers of the consensus protocol.

They observe only the commands and answers of the simulated controllers, never the internal
state of the protocol core.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from limedyke.core.agreement.commands import ProposalRefused
from limedyke.messages.agreement import (
    ControllerIdentity,
    EntryKind,
    LogEntry,
    QuorumStamp,
    VoteResponse,
)
from limedyke.result_codes import Outcome


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule.

    :param at: true time in seconds
    """

    rule: str
    at: float
    detail: str


def fold_digest(digest: bytes, entry: LogEntry) -> bytes:
    """Return the digest of the state after applying an entry to the state with ``digest``."""
    hasher = hashlib.blake2b(digest, digest_size=12)
    hasher.update(f"{entry.index},{entry.term},{entry.kind}".encode())
    hasher.update(entry.payload)
    return hasher.digest()


class AgreementCheckers:
    """Collects the violations of a run.

    Rules: one-leader-per-term, one-vote-per-term, committed-entry-changed, state-diverged,
    accepted-proposal-lost, refused-proposal-ran, stale-read, lost-identity-active,
    stamp-went-back.
    """

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self.accepted = 0
        self.reads = 0
        self.now = 0.0
        self.newest_accepted_index = 0
        self._leaders: dict[int, ControllerIdentity] = {}
        self._votes: dict[tuple[ControllerIdentity, int], ControllerIdentity] = {}
        self._committed: dict[int, LogEntry] = {}
        self._digests: dict[int, bytes] = {}
        self._proposal_index: dict[bytes, int] = {}
        self._refused: set[bytes] = set()
        self._lost: set[ControllerIdentity] = set()
        self._stamps: dict[ControllerIdentity, QuorumStamp] = {}

    def add_violation(self, rule: str, detail: str) -> None:
        """Record a violation."""
        self.violations.append(Violation(rule, self.now, detail))

    def process_started(self, identity: ControllerIdentity) -> None:
        """Forget the stamps of a controller whose process was started."""
        self._stamps.pop(identity, None)

    def leader_elected(self, identity: ControllerIdentity, term: int) -> None:
        """Check that a term has only one leader."""
        first = self._leaders.setdefault(term, identity)
        if first != identity:
            self.add_violation("one-leader-per-term", f"term {term}: {first} and {identity}")

    def vote_sent(
        self, voter: ControllerIdentity, candidate: ControllerIdentity, response: VoteResponse
    ) -> None:
        """Check that a voter grants only one vote per term."""
        if not response.granted:
            return
        first = self._votes.setdefault((voter, response.term), candidate)
        if first != candidate:
            detail = f"{voter} in term {response.term}: {first} and {candidate}"
            self.add_violation("one-vote-per-term", detail)

    def disk_lost(self, identity: ControllerIdentity) -> None:
        """Record that the disk of this incarnation was lost."""
        self._lost.add(identity)

    def message_sent(self, sender: ControllerIdentity) -> None:
        """Check that no incarnation with a lost disk sends messages."""
        if sender in self._lost:
            self.add_violation("lost-identity-active", f"{sender} lost its disk and speaks")

    def entry_applied(self, identity: ControllerIdentity, entry: LogEntry, digest: bytes) -> None:
        """Check an applied entry and the resulting state digest against other controllers."""
        known = self._committed.setdefault(entry.index, entry)
        if known != entry:
            detail = f"{identity} applied {entry}, another {known}"
            self.add_violation("committed-entry-changed", detail)
        if self._digests.setdefault(entry.index, digest) != digest:
            self.add_violation("state-diverged", f"{identity} at entry {entry.index}")
        if entry.kind == EntryKind.PROPOSAL and entry.payload in self._refused:
            self.add_violation("refused-proposal-ran", f"{identity} applied {entry.payload!r}")
        self._proposal_index.setdefault(entry.payload, entry.index)

    def state_restored(self, identity: ControllerIdentity, index: int, digest: bytes) -> None:
        """Check the digest of a restored snapshot against other controllers."""
        if self._digests.setdefault(index, digest) != digest:
            self.add_violation("state-diverged", f"{identity} at snapshot {index}")

    def proposal_accepted(self, payload: bytes, index: int, term: int) -> None:
        """Check that a proposal reported as committed is in the log."""
        self.accepted += 1
        entry = self._committed.get(index)
        if entry is None or (entry.payload, entry.term) != (payload, term):
            detail = f"{payload!r} accepted at {index} in term {term}, there is {entry}"
            self.add_violation("accepted-proposal-lost", detail)
        self.newest_accepted_index = max(self.newest_accepted_index, index)

    def proposal_refused(self, payload: bytes, refusal: ProposalRefused) -> None:
        """Check that a proposal reported as not run has not been applied."""
        if refusal.failure.code.outcome is not Outcome.DID_NOT_RUN:
            return
        self._refused.add(payload)
        if payload in self._proposal_index:
            self.add_violation("refused-proposal-ran", f"{payload!r} was applied and then refused")

    def read_served(self, identity: ControllerIdentity, applied_index: int) -> None:
        """Check that a read reflects all proposals accepted before it."""
        self.reads += 1
        if applied_index < self.newest_accepted_index:
            detail = f"{identity} served {applied_index}, accepted {self.newest_accepted_index}"
            self.add_violation("stale-read", detail)

    def stamp_shown(self, identity: ControllerIdentity, stamp: QuorumStamp) -> None:
        """Check that the quorum stamp of a controller never decreases."""
        if stamp < self._stamps.get(identity, stamp):
            self.add_violation("stamp-went-back", f"{identity} to {stamp}")
        self._stamps[identity] = stamp

    def final_state(self, leader: ControllerIdentity | None, applied_index: int) -> None:
        """Check the final leader, None if there is none, and the entries that it has applied."""
        if leader is None:
            self.add_violation("no-leader-at-end", "no controller leads after the faults ended")
        elif applied_index < self.newest_accepted_index:
            detail = f"{leader} ends at {applied_index}, accepted {self.newest_accepted_index}"
            self.add_violation("accepted-proposal-lost", detail)
