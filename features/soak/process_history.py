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
class Life:
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
    struck_at: list[float] = field(default_factory=list)
    unready_for: set[signal.Signals] = field(default_factory=set)

    def was_struck(self, since: float, until: float) -> bool:
        """Tell whether it was struck between two moments."""
        return any(since <= moment <= until for moment in self.struck_at)


class Lives:
    """The lives of all processes, in order."""

    def __init__(self) -> None:
        self.all: list[Life] = []
        self._present: dict[str, Life] = {}

    def started(self, ip: str) -> None:
        """Note a new process on a machine."""
        life = self._present[ip] = Life(ip, time.monotonic())
        self.all.append(life)

    def struck(self, ip: str) -> None:
        """Note that its process was killed, paused or let go on."""
        self._present[ip].struck_at.append(time.monotonic())

    def stopped(self, ip: str) -> None:
        """Note that its process was told to stop; only the first time counts."""
        life = self._present[ip]
        life.stopped_at = min(life.stopped_at, time.monotonic())

    def signalled(self, ip: str, process_id: int, number: signal.Signals) -> None:
        """Note that its process is to be sent a signal now."""
        if not handles(process_id, number):
            self._present[ip].unready_for.add(number)

    def ended(self, ip: str, status: int) -> None:
        """Note that its process has ended."""
        life = self._present[ip]
        if life.status is None:
            life.ended_at = time.monotonic()
            life.status = status

    def at(self, ip: str, moment: float) -> Life | None:
        """Return the process of a machine at a moment; None when none was there."""
        for life in reversed(self.all):
            if life.ip == ip and life.started_at <= moment:
                return life
        return None


def handles(process_id: int, number: signal.Signals) -> bool:
    """Tell whether a process catches or ignores a signal, by what the kernel says of it."""
    status = Path(f"/proc/{process_id}/status").read_text()
    masks = re.findall(r"^Sig(?:Ign|Cgt):\s*([0-9a-f]+)$", status, re.MULTILINE)
    return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)
