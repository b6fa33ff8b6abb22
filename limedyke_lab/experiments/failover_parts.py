"""Breaks failover time down into steps, using the event logs of a run.

``python -m limedyke_lab.experiments.failover_parts RUN_FOLDER`` prints the median duration of
each step by kind of failure. Faults come from the clients' history, steps from the logs.
"""

from __future__ import annotations

import re
import sys
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from statistics import median

from limedyke_lab.checkers.trace import group_of
from limedyke_lab.history import Event, read_records

EVENTS_PATTERN = "load/*/events.jsonl"
LOGS_PATTERN = "logs/*.log"
WINDOW_S = 6.0
OBSERVERS_NEEDED = 2
PROMISES_NEEDED = 2
_LINE = re.compile(r"time=(\S+)Z .*?\bevent=(\S+) ?(.*)")
_FIELD = re.compile(r"(\w+)=(\"[^\"]*\"|\S+)")
_MS_PER_S = 1_000.0
_NS_PER_S = 1_000_000_000


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of an event log; ``at`` is in seconds since the epoch."""

    at: float
    event: str
    fields: dict[str, str]

    def is_of(self, event: str, **fields: str) -> bool:
        """Return whether the line has an event name and field values."""
        return self.event == event and all(self.fields.get(k) == v for k, v in fields.items())


def read_log_lines(folder: Path) -> list[LogLine]:
    """Return the lines of all event logs of a run, sorted by time."""
    lines = []
    for path in folder.glob(LOGS_PATTERN):
        for text in path.read_text(errors="replace").splitlines():
            found = _LINE.match(text)
            if found:
                at = datetime.fromisoformat(found[1]).replace(tzinfo=UTC).timestamp()
                lines.append(LogLine(at, found[2], dict(_FIELD.findall(found[3]))))
    return sorted(lines, key=lambda line: line.at)


Step = Callable[[list[LogLine], Event], list[LogLine]]


def _detected(lines: list[LogLine], fault: Event) -> list[LogLine]:
    return [
        line
        for line in lines
        if line.is_of("member-health", member=fault.target, health="unreachable")
    ][OBSERVERS_NEEDED - 1 :]


def _granted(lines: list[LogLine], fault: Event) -> list[LogLine]:
    group = group_of(fault.target)
    return [line for line in lines if line.is_of("primary-recorded", group=group, primary="none")]


def _promised(lines: list[LogLine], fault: Event) -> list[LogLine]:
    found = [line for line in lines if _is_of_group(line, "term.promised", fault)]
    return found[PROMISES_NEEDED - 1 :]


def _opened(lines: list[LogLine], fault: Event) -> list[LogLine]:
    return [line for line in lines if _is_of_group(line, "primary.open", fault)]


def _recorded(lines: list[LogLine], fault: Event) -> list[LogLine]:
    group = group_of(fault.target)
    found = [line for line in lines if line.is_of("primary-recorded", group=group)]
    return [line for line in found if line.fields.get("primary") not in ("none", fault.target)]


def _is_of_group(line: LogLine, event: str, fault: Event) -> bool:
    return line.event == event and group_of(line.fields.get("member", "")) == group_of(fault.target)


STEPS: dict[str, Step] = {
    "detect": _detected,
    "grant": _granted,
    "promise": _promised,
    "open": _opened,
    "record": _recorded,
}
"""Steps in order; each starts at the end of the previous one."""


def parts_of(fault: Event, lines: list[LogLine], monotonic_to_wall_s: float) -> dict[str, float]:
    """Return the milliseconds of each step after a fault, up to the first unlogged step."""
    before = fault.time_ns / _NS_PER_S + monotonic_to_wall_s
    near = [line for line in lines if before <= line.at <= before + WINDOW_S]
    parts = {}
    for name, step in STEPS.items():
        found = next((line.at for line in step(near, fault) if line.at >= before), None)
        if found is None:
            break
        parts[name] = (found - before) * _MS_PER_S
        before = found
    return parts


def median_parts(folder: Path) -> dict[str, dict[str, float]]:
    """Return the median milliseconds of each step by kind of failure."""
    offset_s = time.time() - time.monotonic()
    lines = read_log_lines(folder)
    by_kind: dict[str, dict[str, list[float]]] = defaultdict(lambda: defaultdict(list))
    for event in read_records(sorted(folder.glob(EVENTS_PATTERN))).events:
        if event.name in ("kill", "freeze", "cut"):
            for name, part_ms in parts_of(event, lines, offset_s).items():
                by_kind[event.detail or event.name][name].append(part_ms)
    return {
        kind: {name: median(values) for name, values in parts.items()}
        for kind, parts in by_kind.items()
    }


def main(folder: str) -> None:
    """Print one line with the steps of each kind of failure."""
    for kind, parts in median_parts(Path(folder)).items():
        text = " ".join(f"{name}_p50_ms={value:.0f}" for name, value in parts.items())
        print(f"{kind}: {text}")


if __name__ == "__main__":
    main(sys.argv[1])
