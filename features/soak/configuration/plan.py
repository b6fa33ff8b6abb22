"""Draws the faults of a run from a seed, within the losses that the deployment bears."""

from __future__ import annotations

import enum
import random
from collections.abc import Sequence
from dataclasses import dataclass

MIN_GAP_S, MAX_GAP_S = 0.2, 1.6
LATE_SHARE = 0.5
EARLY_CLOSING_SHARE = 0.25
MAX_LATE_S = 12.0
FIRST_LATE_CONTROLLER = 3
"""The founding controllers are not late, as nothing runs before all of them have started."""
MIN_CLOSING_DELAY_S, MAX_CLOSING_DELAY_S = 0.005, 0.4


class FaultKind(enum.StrEnum):
    """Kinds of faults."""

    KILL_CONTROLLER = "kill-controller"
    KILL_CONTROLLERS = "kill-controllers"
    """All controllers at once; their disks remain."""
    KILL_CONFIRMING = "kill-confirming"
    """The controller that confirms the next change, right after its answer."""
    STOP_CONTROLLER = "stop-controller"
    PAUSE_CONTROLLER = "pause-controller"
    DARK_CONTROLLER = "dark-controller"
    """It is gone for some seconds and comes back with its disk."""
    WIPE_CONTROLLER = "wipe-controller"
    """It comes back with an empty disk."""
    REPLACE_CONTROLLER = "replace-controller"
    """It is gone for good, and an empty one starts at another address."""
    KILL_PROXY = "kill-proxy"
    KILL_PROXIES = "kill-proxies"
    STOP_PROXY = "stop-proxy"
    PAUSE_PROXY = "pause-proxy"
    ROLL_CONTROLLERS = "roll-controllers"
    """Each controller in turn is told to stop, and started again."""
    ROLL_PROXIES = "roll-proxies"
    HANG_UP = "hang-up"
    """All processes are told to read their settings again."""


LOSSES = frozenset(
    {
        FaultKind.KILL_CONTROLLER,
        FaultKind.KILL_CONFIRMING,
        FaultKind.STOP_CONTROLLER,
        FaultKind.PAUSE_CONTROLLER,
        FaultKind.DARK_CONTROLLER,
        FaultKind.WIPE_CONTROLLER,
        FaultKind.REPLACE_CONTROLLER,
    }
)
"""Faults that count as the loss of a controller until it has had time to catch up."""


class Closing(enum.StrEnum):
    """What happens at the end, right after a change was sent."""

    KILL_ALL = "kill-all"
    """Every process is killed."""
    LOSE_DISKS = "lose-disks"
    """As many disks as are borne are lost, and every process is killed."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One scheduled fault.

    :param at_s: its start, in seconds from the start of the load
    :param for_s: its duration
    :param target: number of the affected controller or proxy, modulo their number
    """

    kind: FaultKind
    at_s: float
    for_s: float
    target: int

    def __str__(self) -> str:
        return f"{self.kind}/{self.target}@{self.at_s:.2f}+{self.for_s:.2f}"


@dataclass(frozen=True, slots=True)
class Plan:
    """All that a seed decides.

    :param late_s: delay of the first start by number of the controller
    :param paused_s: how long a controller stands still from its start, by its number
    :param closing_delay_s: from the sending of the last change to the closing
    :param closes_early: whether the closing follows the first confirmed change, without any fault
    """

    late_s: dict[int, float]
    paused_s: dict[int, float]
    faults: tuple[Fault, ...]
    closing: Closing
    closing_delay_s: float
    closes_early: bool


def draw_plan(seed: int, seconds: float, controllers: int, spares_proxies: bool = False) -> Plan:
    """Return the plan of a seed, whose faults start within the given number of seconds.

    :param spares_proxies: whether every plan has faults, and only losses of single controllers
    """
    generator = random.Random(f"configuration {seed}")
    late_s: dict[int, float] = {}
    paused_s: dict[int, float] = {}
    for number in range(FIRST_LATE_CONTROLLER, controllers):
        if generator.random() < LATE_SHARE:
            delays = generator.choice((late_s, paused_s))
            delays[number] = generator.uniform(0.0, MAX_LATE_S)
    closes_early = generator.random() < EARLY_CLOSING_SHARE and not spares_proxies
    kinds = [kind for kind in FaultKind if not spares_proxies or kind in LOSSES]
    return Plan(
        late_s,
        paused_s,
        () if closes_early else _draw_faults(generator, seconds, kinds),
        generator.choice((Closing.LOSE_DISKS, Closing.LOSE_DISKS, Closing.KILL_ALL)),
        generator.uniform(MIN_CLOSING_DELAY_S, MAX_CLOSING_DELAY_S),
        closes_early,
    )


def _draw_faults(
    generator: random.Random, seconds: float, kinds: Sequence[FaultKind]
) -> tuple[Fault, ...]:
    faults: list[Fault] = []
    at_s = generator.uniform(MIN_GAP_S, MAX_GAP_S)
    while at_s < seconds:
        kind = generator.choice(kinds)
        for_s = generator.uniform(0.3, 6.0)
        faults.append(Fault(kind, at_s, for_s, generator.randrange(1_000)))
        at_s += generator.uniform(MIN_GAP_S, MAX_GAP_S)
    return tuple(faults)
