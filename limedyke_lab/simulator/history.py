"""The recorded history of a run."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from limedyke_lab.simulator.machine.kernel import Kernel


@dataclass(frozen=True, slots=True)
class HistoryEvent:
    """One event; ``time`` is true time in seconds, ``fields`` are also attributes."""

    number: int
    time: float
    kind: str
    fields: dict[str, Any]

    def __getattr__(self, name: str) -> Any:
        try:
            return self.fields[name]
        except KeyError:
            raise AttributeError(name) from None

    def line(self) -> str:
        """Return the event as one line of key=value pairs."""
        pairs = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.number} time={self.time:.6f} event={self.kind} {pairs}"


class History:
    """All events of a run in their order."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self.events: list[HistoryEvent] = []

    def add(self, kind: str, **fields: Any) -> None:
        """Record an event at the current time."""
        events = self.events
        events.append(HistoryEvent(len(events), self._kernel.now, kind, fields))

    def of(self, *kinds: str) -> Iterator[HistoryEvent]:
        """Yield the events of the given kinds in order."""
        return (event for event in self.events if event.kind in kinds)

    def lines(self) -> list[str]:
        """Return the whole history as text lines."""
        return [event.line() for event in self.events]
