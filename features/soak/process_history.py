"""Records when each process started, was disturbed by a fault, was told to stop, and exited."""

from __future__ import annotations

import re
import signal
import time
from dataclasses import dataclass, field
from pathlib import Path

GRACE_S = 6.0
"""Seconds that the platform leaves a process between SIGTERM and SIGKILL."""
NEVER = float("inf")


@dataclass(slots=True)
class ProcessRecord:
    """One process, from start to exit; times are seconds of the monotonic clock.

    :ivar disturbed_at: when it was killed, paused, resumed or its disk filled; the checks expect
        nothing of it then
    :ivar status: its exit status, None while it runs
    :ivar unhandled_signals: signals sent while it was still loading and had no handler for them; it
        has accepted no statement by then
    """

    ip: str
    started_at: float
    stopped_at: float = NEVER
    ended_at: float = NEVER
    status: int | None = None
    disturbed_at: list[float] = field(default_factory=list)
    unhandled_signals: set[signal.Signals] = field(default_factory=set)

    def was_disturbed(self, since: float, until: float) -> bool:
        """Tell whether a fault disturbed it in a time interval."""
        return any(since <= moment <= until for moment in self.disturbed_at)


class ProcessHistory:
    """All processes of a run, in the order of their starts."""

    def __init__(self) -> None:
        self.processes: list[ProcessRecord] = []
        self._current: dict[str, ProcessRecord] = {}

    def record_start(self, ip: str) -> None:
        """Record that a machine started a new process."""
        process = self._current[ip] = ProcessRecord(ip, time.monotonic())
        self.processes.append(process)

    def record_disturbance(self, ip: str) -> None:
        """Record that a fault disturbed the current process of a machine."""
        self._current[ip].disturbed_at.append(time.monotonic())

    def record_stop(self, ip: str) -> None:
        """Record that the current process was told to stop; only the first time counts."""
        process = self._current[ip]
        process.stopped_at = min(process.stopped_at, time.monotonic())

    def record_signal(self, ip: str, process_id: int, number: signal.Signals) -> None:
        """Record, just before a signal is sent, whether the current process can handle it."""
        if not handles_signal(process_id, number):
            self._current[ip].unhandled_signals.add(number)

    def record_exit(self, ip: str, status: int) -> None:
        """Record that the current process exited."""
        process = self._current[ip]
        if process.status is None:
            process.ended_at = time.monotonic()
            process.status = status

    def find(self, ip: str, moment: float) -> ProcessRecord | None:
        """Return the latest process that a machine had started by a time, or None."""
        for process in reversed(self.processes):
            if process.ip == ip and process.started_at <= moment:
                return process
        return None


def handles_signal(process_id: int, number: signal.Signals) -> bool:
    """Tell whether a process catches or ignores a signal, from its masks in ``/proc``."""
    status = Path(f"/proc/{process_id}/status").read_text()
    masks = re.findall(r"^Sig(?:Ign|Cgt):\s*([0-9a-f]+)$", status, re.MULTILINE)
    return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)
