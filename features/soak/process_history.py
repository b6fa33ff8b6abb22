"""What each process lived through: when it began, was struck, was told to stop, and ended."""

from __future__ import annotations

import re
import signal
import time
from dataclasses import dataclass, field
from pathlib import Path

GRACE_S = 6.0
"""What the platform gives a process between SIGTERM and SIGKILL."""
NEVER = float("inf")


@dataclass(slots=True)
class ProcessRecord:
    """One process, from its start to its end; times are seconds of the monotonic clock.

    :ivar struck_at: when it was killed, paused or let go on: it owes nothing then
    :ivar status: its exit status, None while it runs
    :ivar unready_for: signals that met it before it could handle them, while it was loading: it has
        taken nothing by then
    """

    ip: str
    started_at: float
    stopped_at: float = NEVER
    ended_at: float = NEVER
    status: int | None = None
    disturbed_at: list[float] = field(default_factory=list)
    unhandled_signals: set[signal.Signals] = field(default_factory=set)

    def was_disturbed(self, since: float, until: float) -> bool:
        """Tell whether it was struck between two moments."""
        return any(since <= moment <= until for moment in self.disturbed_at)


class ProcessHistory:
    """The lives of all processes, in order."""

    def __init__(self) -> None:
        self.processes: list[ProcessRecord] = []
        self._current: dict[str, ProcessRecord] = {}

    def record_start(self, ip: str) -> None:
        """Note a new process on a machine."""
        process = self._current[ip] = ProcessRecord(ip, time.monotonic())
        self.processes.append(process)

    def record_disturbance(self, ip: str) -> None:
        """Note that its process was killed, paused or let go on."""
        self._current[ip].disturbed_at.append(time.monotonic())

    def record_stop(self, ip: str) -> None:
        """Note that its process was told to stop; only the first time counts."""
        process = self._current[ip]
        process.stopped_at = min(process.stopped_at, time.monotonic())

    def record_signal(self, ip: str, process_id: int, number: signal.Signals) -> None:
        """Note that its process is to be sent a signal now."""
        if not handles_signal(process_id, number):
            self._current[ip].unhandled_signals.add(number)

    def record_exit(self, ip: str, status: int) -> None:
        """Note that its process has ended."""
        process = self._current[ip]
        if process.status is None:
            process.ended_at = time.monotonic()
            process.status = status

    def find(self, ip: str, moment: float) -> ProcessRecord | None:
        """Return the process of a machine at a moment; None when none was there."""
        for process in reversed(self.processes):
            if process.ip == ip and process.started_at <= moment:
                return process
        return None


def handles_signal(process_id: int, number: signal.Signals) -> bool:
    """Tell whether a process catches or ignores a signal, by what the kernel says of it."""
    status = Path(f"/proc/{process_id}/status").read_text()
    masks = re.findall(r"^Sig(?:Ign|Cgt):\s*([0-9a-f]+)$", status, re.MULTILINE)
    return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)
