"""Counts which faults and code paths a run exercised, to reveal gaps in a set of seeds."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator

from limedyke.result_codes import Outcome
from limedyke_lab.simulator.faults import FAULT_KINDS
from limedyke_lab.simulator.history import History, HistoryEvent

FAULT_PREFIX = "fault/"
_PATH_OF_EVENT = {
    "controller-leads": "controller-election",
    "crash": "crash",
    "power-lost": "power-loss",
    "disk-lost": "disk-lost",
    "rebuilt": "member-rebuilt",
    "truncated": "member-truncated",
    "stepped-down": "primary-stepped-down",
    "controller-changed": "controller-changed",
    "storage-failed": "controller-storage-failure",
    "snapshot-installed": "snapshot-install",
    "leases-adopted": "lease-adoption",
    "forwarded": "forwarding",
    "token-lost": "session-without-token",
    "login-refused": "login-refused",
    "request-cut": "request-cut",
    "plan-abandoned": "plan-abandoned",
}
_PATHS_OF_DETAIL = (
    "failover",
    "read-on-replica",
    "read-on-primary",
    "write-done",
    "transaction-committed",
    "refusal",
    "outcome-unknown",
    "once-resent",
    "once-resent-done",
    "confirmed",
    "confirm-refused",
    "confirm-resent",
    "proxy-drained",
)
PATHS = (*dict.fromkeys(_PATH_OF_EVENT.values()), *_PATHS_OF_DETAIL)
"""Paths that a good set of seeds exercises, in addition to all kinds of faults."""


def count(history: History) -> Counter[str]:
    """Return how often a run exercised each kind of fault and each path of the product."""
    counts: Counter[str] = Counter()
    stateful = _StatefulPaths()
    for event in history.events:
        path = _PATH_OF_EVENT.get(event.kind)
        if path is not None:
            counts[path] += 1
        counts.update(stateful.paths(event))
    return counts


class _StatefulPaths:
    """Recognises the paths that depend on earlier events of the run."""

    def __init__(self) -> None:
        self._primaries: dict[str, tuple[int, str]] = {}
        self._confirms: set[str] = set()

    def paths(self, event: HistoryEvent) -> Iterator[str]:
        """Yield the paths that an event shows."""
        match event.kind:
            case "fault":
                yield FAULT_PREFIX + event.strike
            case "primary":
                if event.group in self._primaries:
                    yield "failover"
                self._primaries[event.group] = (event.term, event.member)
            case "answer":
                yield from self._paths_of_answer(event)
            case "confirm-answer":
                yield "confirmed" if event.revision else "confirm-refused"
                if event.request in self._confirms:
                    yield "confirm-resent"
                self._confirms.add(event.request)
            case "proxy-exited":
                if event.draining:
                    yield "proxy-drained"

    def _paths_of_answer(self, event: HistoryEvent) -> Iterator[str]:
        if event.operation == "once" and event.attempt > 1:
            yield "once-resent"
        if event.outcome == Outcome.DID_NOT_RUN.value:
            yield "refusal"
        elif event.outcome == Outcome.UNKNOWN.value:
            yield "outcome-unknown"
        elif event.outcome == "done":
            yield from self._paths_of_done(event)

    def _paths_of_done(self, event: HistoryEvent) -> Iterator[str]:
        if event.operation == "read":
            _, primary = self._primaries.get(event.group, (0, ""))
            yield "read-on-primary" if event.member == primary else "read-on-replica"
        elif event.operation in ("write", "once"):
            yield "write-done"
            if event.operation == "once" and event.attempt > 1:
                yield "once-resent-done"
        elif event.operation == "commit":
            yield "transaction-committed"


def report(counts: Counter[str]) -> Iterator[str]:
    """Yield report lines: the counts of faults and paths, and those never exercised."""
    kinds = [FAULT_PREFIX + kind.name for kind in FAULT_KINDS]
    yield "faults: " + _pairs(counts, kinds, FAULT_PREFIX)
    yield "paths: " + _pairs(counts, PATHS, "")
    missing = [name for name in (*kinds, *PATHS) if not counts[name]]
    yield "not exercised: " + (" ".join(missing) or "none")


def _pairs(counts: Counter[str], names: Iterable[str], prefix: str) -> str:
    return " ".join(f"{name.removeprefix(prefix)}={counts[name]}" for name in names)
