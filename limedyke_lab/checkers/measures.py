"""Measures worked out from a history: replica read share with its ceiling, failover gap."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from itertools import pairwise

from limedyke_lab.checkers.fault_windows import FAULT_EVENTS
from limedyke_lab.checkers.trace import APPLIED, group_of, traced_entries
from limedyke_lab.history import ClientOutcome, Event, History, Kind, Operation

GAP_WINDOW_S = 20.0
GAP_LEAD_S = 1.0
_NANOSECONDS = 1_000_000_000
_NANOSECONDS_PER_MS = 1_000_000


@dataclass(frozen=True, slots=True)
class ReadShare:
    """Share of the reads that replicas served.

    :param reads: reads done outside of transactions
    :param by_replica: of these, served by a replica
    :param possible: of these, such that some replica held all the session's writes before the
        answer came; the ceiling that the history allowed
    """

    reads: int
    by_replica: int
    possible: int

    @property
    def share(self) -> float:
        """Part of the reads that replicas served, 0 to 1."""
        return self.by_replica / self.reads if self.reads else 0.0

    @property
    def ceiling(self) -> float:
        """Part of the reads that replicas could have served, 0 to 1."""
        return self.possible / self.reads if self.reads else 0.0


def done_reads(history: History) -> list[Operation]:
    """Return the reads that were answered."""
    return [
        operation
        for operation in history.operations
        if operation.kind is Kind.READ and operation.outcome is ClientOutcome.DONE
    ]


def read_share(history: History) -> ReadShare:
    """Return the share of reads served by replicas, and its ceiling.

    The ceiling counts reads of sessions whose last acknowledged write a replica had applied
    by the end of the read; a write whose number the members' histories do not show counts
    as applied.
    """
    applied = _first_applied_ns(history)
    last_write: dict[str, int] = {}
    reads = by_replica = possible = 0
    for operation in sorted(history.operations, key=lambda operation: operation.start_ns):
        if operation.acknowledged_write:
            last_write[operation.session] = operation.number if operation.traceable else 0
        if operation.kind is not Kind.READ or operation.outcome is not ClientOutcome.DONE:
            continue
        reads += 1
        by_replica += bool(operation.by_replica)
        write = last_write.get(operation.session, 0)
        applied_ns = applied.get(write) if write else 0
        possible += applied_ns is not None and applied_ns <= operation.end_ns
    return ReadShare(reads, by_replica, possible)


def _first_applied_ns(history: History) -> dict[int, int]:
    """Return when the first replica had applied each request."""
    first: dict[int, int] = {}
    for number, entry in traced_entries(history):
        if entry.outcome == APPLIED:
            first[number] = min(entry.time_ns, first.get(number, entry.time_ns))
    return first


@dataclass(frozen=True, slots=True)
class FailoverGap:
    """Longest time without a completed write in a group around one fault.

    :param gap_ms: infinite when no write completed after the fault
    """

    group: str
    event: Event
    gap_ms: float


def failover_gaps(history: History) -> list[FailoverGap]:
    """Return the gap of each fault whose target is a member of a group."""
    ends: dict[str, list[int]] = defaultdict(list)
    for operation in history.operations:
        if operation.acknowledged_write:
            ends[operation.group].append(operation.end_ns)
    gaps = []
    for event in history.events:
        group = group_of(event.target)
        if event.name in FAULT_EVENTS and group in ends:
            gaps.append(FailoverGap(group, event, _gap_ms(sorted(ends[group]), event.time_ns)))
    return gaps


def _gap_ms(ends_ns: list[int], fault_ns: int) -> float:
    """Return the longest pause between completed writes from shortly before the fault on."""
    first = fault_ns - int(GAP_LEAD_S * _NANOSECONDS)
    last = fault_ns + int(GAP_WINDOW_S * _NANOSECONDS)
    near = [end for end in ends_ns if first <= end <= last]
    if not near or near[-1] < fault_ns:
        return float("inf")
    if near[0] > fault_ns:
        near.insert(0, fault_ns)
    pauses = [later - earlier for earlier, later in pairwise(near)]
    return max(pauses, default=0) / _NANOSECONDS_PER_MS


def count_done_operations(history: History) -> int:
    """Return how many operations were answered as done."""
    return sum(operation.outcome is ClientOutcome.DONE for operation in history.operations)


def outcome_counts(history: History) -> dict[str, int]:
    """Return how many operations ended in each outcome, by code, SQLSTATE or lack of an answer."""
    counts: dict[str, int] = defaultdict(int)
    for operation in history.operations:
        reason = operation.code or operation.sqlstate or operation.no_answer
        label = f"{operation.outcome} {reason}".strip()
        counts[label] += 1
    return dict(sorted(counts.items()))
