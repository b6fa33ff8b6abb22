"""The faults of a run, drawn upfront from the seed so that a rerun can omit some of them."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

FIRST_AT_S = 8.0
REPEAT_SHARE = 0.4
"""Share of faults followed by a second one of the same kind within 1.5 s."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    :param number: index in the run's list, by which faults are selected
    :param kind: a name in ``FAULT_KINDS``
    :param target: name of a process, or of a pair of processes as ``a>b``
    :param seconds: how long it lasts
    """

    number: int
    time: float
    kind: str
    target: str
    seconds: float

    def line(self) -> str:
        """Return the fault as one line of text."""
        return (
            f"fault={self.number} time={self.time:.3f} kind={self.kind} "
            f"target={self.target} seconds={self.seconds:.3f}"
        )


@dataclass(frozen=True, slots=True)
class Targets:
    """Names of the processes that faults may affect."""

    proxies: tuple[str, ...]
    controllers: tuple[str, ...]
    members: tuple[str, ...]

    def all_processes(self) -> tuple[str, ...]:
        """Return all of them."""
        return self.proxies + self.controllers + self.members


Pick = Callable[[Targets, random.Random], str]


def _pick(role: str) -> Pick:
    return lambda targets, rng: rng.choice(getattr(targets, role))


def _any_process(targets: Targets, rng: random.Random) -> str:
    role = rng.choice(("proxies", "controllers", "members"))
    return rng.choice(getattr(targets, role))


def _pair(targets: Targets, rng: random.Random) -> str:
    first, second = rng.sample(targets.all_processes(), 2)
    return f"{first}>{second}"


@dataclass(frozen=True, slots=True)
class FaultKind:
    """A kind of fault: its weight in the draw, how it picks a target, its duration in seconds."""

    name: str
    weight: int
    pick: Pick
    shortest: float
    longest: float


FAULT_KINDS = (
    FaultKind("crash", 10, _any_process, 0.1, 6.0),
    FaultKind("freeze", 8, _any_process, 0.3, 8.0),
    FaultKind("isolate", 7, _any_process, 0.5, 8.0),
    FaultKind("isolate-out", 4, _any_process, 0.5, 8.0),
    FaultKind("isolate-in", 4, _any_process, 0.5, 8.0),
    FaultKind("cut", 6, _pair, 0.5, 8.0),
    FaultKind("cut-one-way", 5, _pair, 0.5, 8.0),
    FaultKind("break-streams", 6, _any_process, 0.0, 0.0),
    FaultKind("lose-disk", 3, _any_process, 0.5, 3.0),
    FaultKind("power-loss", 4, _pick("controllers"), 0.0, 0.0),
    FaultKind("failed-sync", 2, _pick("controllers"), 0.0, 0.0),
    FaultKind("full-disk", 2, _pick("controllers"), 0.5, 4.0),
    FaultKind("zone-loss", 2, _pick("members"), 0.5, 4.0),
    FaultKind("control-power-loss", 2, _pick("controllers"), 0.1, 1.0),
    FaultKind("lossy", 4, _any_process, 0.5, 6.0),
    FaultKind("crash-leader", 4, _pick("controllers"), 0.1, 5.0),
    FaultKind("freeze-leader", 3, _pick("controllers"), 0.5, 6.0),
    FaultKind("isolate-leader", 4, _pick("controllers"), 0.5, 8.0),
    FaultKind("split-leader", 3, _pick("controllers"), 0.5, 8.0),
    FaultKind("mute-primary", 3, _pick("members"), 0.5, 6.0),
    FaultKind("crash-primary", 6, _pick("members"), 0.1, 6.0),
    FaultKind("isolate-primary", 5, _pick("members"), 0.5, 8.0),
    FaultKind("freeze-primary", 4, _pick("members"), 0.5, 6.0),
    FaultKind("lag", 6, _pick("members"), 1.0, 8.0),
    FaultKind("slow", 3, _pick("members"), 0.5, 4.0),
    FaultKind("drop-answer", 5, _pick("members"), 0.0, 0.0),
    FaultKind("repeat-answer", 5, _pick("members"), 0.0, 0.0),
    FaultKind("drain-proxy", 5, _pick("proxies"), 1.0, 4.0),
    FaultKind("leave-member", 4, _pick("members"), 2.0, 6.0),
    FaultKind("switchover", 4, _pick("members"), 0.0, 0.0),
    FaultKind("racing-operators", 8, _pick("controllers"), 0.0, 0.0),
)
_WEIGHTS = [kind.weight for kind in FAULT_KINDS]


def draw_faults(seed: int, targets: Targets, end: float) -> tuple[Fault, ...]:
    """Return the faults of a run, ordered by time except for repeated ones."""
    rng = random.Random(f"{seed}/faults")
    mean_gap = rng.choice((0.6, 1.2, 2.5))
    faults: list[Fault] = []
    now = FIRST_AT_S
    while True:
        now += rng.expovariate(1.0 / mean_gap)
        if now >= end:
            return tuple(faults)
        kind = rng.choices(FAULT_KINDS, _WEIGHTS)[0]
        target = kind.pick(targets, rng)
        faults.append(_make_fault(len(faults), now, kind, target, rng))
        if rng.random() < REPEAT_SHARE:
            again = now + rng.uniform(0.05, 1.5)
            same = target if rng.random() < 0.5 else kind.pick(targets, rng)
            if again < end:
                faults.append(_make_fault(len(faults), again, kind, same, rng))


def _make_fault(
    number: int, time: float, kind: FaultKind, target: str, rng: random.Random
) -> Fault:
    seconds = kind.shortest + (kind.longest - kind.shortest) * rng.random() ** 2
    return Fault(number, time, kind.name, target, seconds)
