"""Checkers of configuration revisions: never going back, in force everywhere within seconds."""

from __future__ import annotations

from collections import defaultdict

from limedyke_lab.checkers.fault_windows import FaultWindows
from limedyke_lab.checkers.leaving import DRAIN_START
from limedyke_lab.checkers.violation import Violation
from limedyke_lab.history import Event, History

REVISIONS = "revisions"
IN_FORCE = "in-force"
REVISION = "revision"
"""Event: a proxy was observed with a revision in force."""
CONFIRMED = "confirmed"
"""Event: an operator received the confirmation of a revision."""
IN_FORCE_WITHIN_S = 5.0
_NANOSECONDS = 1_000_000_000


def check_revisions(history: History) -> list[Violation]:
    """Find proxies whose revision in force decreased, even across restarts."""
    highest: dict[str, int] = defaultdict(int)
    violations = []
    for event in history.events:
        if event.name != REVISION:
            continue
        if event.value < highest[event.target]:
            detail = f"revision {event.value} after {highest[event.target]}"
            violations.append(Violation(REVISIONS, event.target, detail))
        highest[event.target] = max(highest[event.target], event.value)
    return violations


def check_in_force(history: History) -> list[Violation]:
    """Find proxies that still had an older revision 5 s after a confirmation.

    Proxies that had a fault or began to drain within these 5 s are skipped.
    """
    windows = FaultWindows(history)
    drain_started_ns = {
        event.target: event.time_ns for event in history.events if event.name == DRAIN_START
    }
    events_by_proxy = _by_proxy(history)
    violations = []
    for confirmed in confirmations(history):
        limit_ns = confirmed.time_ns + int(IN_FORCE_WITHIN_S * _NANOSECONDS)
        for proxy, events in events_by_proxy.items():
            if windows.overlaps(proxy, confirmed.time_ns, limit_ns):
                continue
            if confirmed.time_ns <= drain_started_ns.get(proxy, 0) <= limit_ns:
                continue
            late = [event for event in events if event.time_ns > limit_ns]
            if late and late[0].value < confirmed.value:
                detail = f"revision {late[0].value} after {confirmed.value} was confirmed"
                violations.append(Violation(IN_FORCE, proxy, detail))
    return violations


def confirmations(history: History) -> list[Event]:
    """Return the events of confirmed revisions."""
    return [event for event in history.events if event.name == CONFIRMED]


def _by_proxy(history: History) -> dict[str, list[Event]]:
    events_by_proxy: dict[str, list[Event]] = defaultdict(list)
    for event in history.events:
        if event.name == REVISION:
            events_by_proxy[event.target].append(event)
    return events_by_proxy
