"""Concurrent units for tests of the back-end side, and the statements that members recorded."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from dataclasses import dataclass

import curio

from features.support.back_end_lab import Answer, BackEndLab
from limedyke.messages.work import WorkUnit

NANOSECONDS_PER_MS = 1_000_000


@dataclass(frozen=True, slots=True)
class TimedAnswer:
    """An answer, and the duration of its unit in seconds."""

    unit: WorkUnit
    answer: Answer
    seconds: float

    @property
    def code(self) -> int:
        """Number of the result code, 0 for done."""
        return self.answer.end.code


async def timed_answer(lab: BackEndLab, proxy: str, unit: WorkUnit) -> TimedAnswer:
    """Run a unit and time it."""
    started = time.monotonic()
    answer = await lab.answer(proxy, unit)
    return TimedAnswer(unit, answer, time.monotonic() - started)


async def _together(lab: BackEndLab, proxy: str, units: list[WorkUnit]) -> list[TimedAnswer]:
    tasks = [await curio.spawn(timed_answer, lab, proxy, unit) for unit in units]
    return [await task.join() for task in tasks]


def run_together(lab: BackEndLab, units: list[WorkUnit], proxy: str = "p1") -> list[TimedAnswer]:
    """Run units concurrently and return their answers in the same order."""
    return lab.run(_together, lab, proxy, units)


def complete_entries(text: str) -> list[dict]:
    """Return the entries of a history file, without a last line that is still being written."""
    complete, _, _ = text.rpartition("\n")
    return [json.loads(line) for line in complete.splitlines()]


def executed(lab: BackEndLab, member: str) -> list[dict]:
    """Return the statements that a member has executed, from its history file."""
    marker = f"SELECT 'marker {time.monotonic_ns()}'"
    lab.members.admin(member, marker)
    entries: list[dict] = []

    def is_written() -> bool:
        entries[:] = complete_entries(lab.members.history_path(member).read_text())
        return any(entry["statement"] == marker for entry in entries)

    lab.members.wait(is_written)
    return entries


def most_at_once(entries: list[dict], counts: Callable[[dict], bool], execute_ms: float) -> int:
    """Return the maximum number of counted statements that ran at the same time.

    :param counts: selects the entries to count
    :param execute_ms: duration of each statement, which ends at the time of its entry
    """
    moments = []
    for entry in filter(counts, entries):
        moments.append((entry["time_ns"] - int(execute_ms * NANOSECONDS_PER_MS), 1))
        moments.append((entry["time_ns"], -1))
    most = running = 0
    for _, change in sorted(moments):
        running += change
        most = max(most, running)
    return most


def gate_of(context, member: str = "a", proxy: str = "p1"):
    """Return a proxy's gate to a member."""
    return context.lab.proxies[proxy]._groups["g"].gates[member]


def set_switch(context, member: str, switch: str, value: object, default: object) -> None:
    """Set a member's failure switch; the end of the scenario sets it to ``default``."""
    context.lab.members.switch(member, switch, value)
    context.add_cleanup(context.lab.members.switch, member, switch, default)
