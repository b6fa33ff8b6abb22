"""The time windows in which the processes of a run were under a fault."""

from __future__ import annotations

from collections import defaultdict

from limedyke_lab.history import Event, History

KILL = "kill"
FREEZE = "freeze"
CUT = "cut"
UNDO = "undo"
FAULT_EVENTS = frozenset({KILL, FREEZE, CUT})
NEVER_NS = 1 << 62
RECOVERY_NS = 1_000_000_000
"""Nanoseconds after the end of a fault in which a connection made during it may still fail."""


class FaultWindows:
    """The time windows in which each process was killed, frozen or cut off."""

    def __init__(self, history: History) -> None:
        self._windows: dict[str, list[tuple[int, int]]] = defaultdict(list)
        open_faults: dict[str, Event] = {}
        for event in sorted(history.events, key=lambda event: event.time_ns):
            if event.name in FAULT_EVENTS:
                open_faults.setdefault(event.target, event)
            elif event.name == UNDO and event.target in open_faults:
                fault_start_ns = open_faults.pop(event.target).time_ns
                self._windows[event.target].append((fault_start_ns, event.time_ns + RECOVERY_NS))
        for target, event in open_faults.items():
            self._windows[target].append((event.time_ns, NEVER_NS))

    def overlaps(self, target: str, start_ns: int, end_ns: int) -> bool:
        """Tell whether the process was under a fault at any time between start and end."""
        return any(
            fault_start_ns <= end_ns and fault_end_ns >= start_ns
            for fault_start_ns, fault_end_ns in self._windows[target]
        )
