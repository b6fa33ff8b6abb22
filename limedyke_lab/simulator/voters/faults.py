"""Draws the faults of a run from its seed."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

from limedyke_lab.simulator.voters.layout import INITIAL_CONTROLLERS, SEEDS

MEAN_GAP_S = 1.2
LATE_SHARE = 0.5
MAX_LATE_S = 12.0
MAX_FAULT_S = 6.0
REPLACE_SHARE, MAX_REPLACE_DELAY_S = 0.3, 2.0
"""Share of the losses that are followed by the replacement of another controller, and when."""


class FaultKind(enum.StrEnum):
    """Kinds of faults."""

    KILL = "kill"
    POWER_LOSS = "power-loss"
    """Unsynced writes are lost or torn."""
    FREEZE = "freeze"
    ISOLATE = "isolate"
    """No other controller reaches it, nor does it reach one."""
    DARK = "dark"
    """It is gone for some seconds and comes back with its disk."""
    DARK_ADDING_LEADER = "dark-adding-leader"
    """The leader goes dark once it has added a learner whose address is not recorded yet."""
    LOSE_DISK = "lose-disk"
    REPLACE = "replace"
    """It is gone for good, and an empty one starts at another address."""
    KILL_ALL = "kill-all"
    POWER_LOSS_ALL = "power-loss-all"


LOSSES = frozenset(FaultKind) - {
    FaultKind.KILL_ALL,
    FaultKind.POWER_LOSS_ALL,
    FaultKind.DARK_ADDING_LEADER,
}
"""Faults that count as the loss of a controller until it has had time to catch up."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    :param time: its start, in virtual seconds
    :param seconds: its duration
    :param target: number of the affected controller among those that are not lost
    """

    kind: FaultKind
    time: float
    seconds: float
    target: int

    def __str__(self) -> str:
        return f"{self.kind}/{self.target}@{self.time:.2f}+{self.seconds:.2f}"


def draw_late_starts(seed: int) -> dict[int, float]:
    """Return by how many seconds controllers that do not found the cluster start late."""
    rng = random.Random(f"{seed}/late")
    return {
        number: rng.uniform(0.0, MAX_LATE_S)
        for number in range(SEEDS, INITIAL_CONTROLLERS)
        if rng.random() < LATE_SHARE
    }


def draw_faults(seed: int, begin: float, end: float) -> tuple[Fault, ...]:
    """Return the faults of a run."""
    rng = random.Random(f"{seed}/voter-faults")
    faults: list[Fault] = []
    now = begin
    while (now := now + rng.expovariate(1.0 / MEAN_GAP_S)) < end:
        kind = rng.choice(list(FaultKind))
        faults.append(Fault(kind, now, rng.uniform(0.3, MAX_FAULT_S), rng.randrange(1_000)))
        if kind in LOSSES and rng.random() < REPLACE_SHARE:
            again = now + rng.uniform(0.0, MAX_REPLACE_DELAY_S)
            faults.append(Fault(FaultKind.REPLACE, again, 0.0, rng.randrange(1_000)))
    return tuple(faults)
