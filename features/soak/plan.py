"""Draws a random schedule of faults from a seed."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

MIN_GAP_S, MAX_GAP_S = 0.4, 1.8
MIN_DEAF_S, MAX_DEAF_S = 0.5, 3.0
MIN_LATE_S, MAX_LATE_S = 1.0, 5.0
WIPE_SPACING_S = 8.0
"""Least seconds between two wipes: the controllers tolerate one lost disk at a time, and that
controller has to recover before the next loss."""


class FaultKind(enum.StrEnum):
    """Kinds of faults; all of them are injected from outside the programs."""

    KILL_CONTROLLER = "kill-controller"
    KILL_ALL_CONTROLLERS = "kill-all-controllers"
    PAUSE_CONTROLLER = "pause-controller"
    STOP_CONTROLLER = "stop-controller"
    WIPE_CONTROLLER = "wipe-controller"
    FILL_DISK = "fill-disk"
    KILL_PROXY = "kill-proxy"
    PAUSE_PROXY = "pause-proxy"
    STOP_PROXY = "stop-proxy"
    CRASH_PRIMARY = "crash-primary"
    CRASH_REPLICA = "crash-replica"
    LOSE_ANSWERS = "lose-answers"
    BUSY_PRIMARY = "busy-primary"
    LAG = "lag"
    DELAY_LINK = "delay-link"
    RESET_LINK = "reset-link"
    CUT_TO_MEMBER = "cut-to-member"
    CUT_FROM_MEMBER = "cut-from-member"
    SILENCE_LINK = "silence-link"
    SILENCE_OPEN = "silence-open-connections"
    """Silences the connections that are open at this time for good; new connections work."""
    DEAF_REPLICA = "deaf-replica"
    """A replica receives nothing; drawn only by ``draw_deafness``."""
    CUT_PRIMARY = "cut-primary"
    """Proxies do not reach the primary, and its announcements do not arrive for a second longer;
    drawn only by ``draw_lateness``, as the next three."""
    SILENT_MEMBER = "silent-member"
    """No announcement of a member arrives."""
    LATE_ANNOUNCEMENTS = "late-announcements"
    """What a member announces arrives later, also after its role has changed."""
    LATE_CALL = "late-call"
    """The next promotion call gets no answer and is carried out late."""


_ONLY_LATE = (
    FaultKind.CUT_PRIMARY,
    FaultKind.SILENT_MEMBER,
    FaultKind.LATE_ANNOUNCEMENTS,
    FaultKind.LATE_CALL,
)
_LATE_KINDS = (*_ONLY_LATE, FaultKind.CUT_PRIMARY, FaultKind.CUT_PRIMARY, FaultKind.CRASH_PRIMARY)
_NOT_USUAL = (FaultKind.DEAF_REPLICA, *_ONLY_LATE)
_USUAL_KINDS = [kind for kind in FaultKind if kind not in _NOT_USUAL]


@dataclass(frozen=True, slots=True)
class Fault:
    """One scheduled fault.

    :param at_s: its start, in seconds from the start of the load
    :param for_s: its duration
    :param target: index of the affected controller, proxy or member, modulo their number
    """

    kind: FaultKind
    at_s: float
    for_s: float
    target: int

    def __str__(self) -> str:
        return f"{self.kind}/{self.target}@{self.at_s:.2f}+{self.for_s:.2f}"


def draw_plan(seed: int, seconds: float) -> tuple[Fault, ...]:
    """Return the faults of a seed that start within the given number of seconds."""
    generator = random.Random(seed)
    faults: list[Fault] = []
    at_s = generator.uniform(MIN_GAP_S, MAX_GAP_S)
    last_wipe_s = -WIPE_SPACING_S
    while at_s < seconds:
        kind = generator.choice(_USUAL_KINDS)
        if kind is FaultKind.WIPE_CONTROLLER:
            if at_s < last_wipe_s + WIPE_SPACING_S:
                kind = FaultKind.KILL_CONTROLLER
            else:
                last_wipe_s = at_s
        for_s = generator.uniform(0.3, 3.0)
        faults.append(Fault(kind, at_s, for_s, generator.randrange(6)))
        at_s += generator.uniform(MIN_GAP_S, MAX_GAP_S)
    return tuple(faults)


def draw_deafness(seed: int, seconds: float) -> tuple[Fault, ...]:
    """Return times in which one replica after the other receives nothing; they may overlap."""
    generator = random.Random(f"deafness {seed}")
    faults: list[Fault] = []
    at_s = generator.uniform(MIN_GAP_S, MAX_GAP_S)
    while at_s < seconds:
        for_s = generator.uniform(MIN_DEAF_S, MAX_DEAF_S)
        faults.append(Fault(FaultKind.DEAF_REPLICA, at_s, for_s, generator.randrange(6)))
        at_s += generator.uniform(MIN_GAP_S, MAX_GAP_S)
    return tuple(faults)


def draw_lateness(seed: int, seconds: float) -> tuple[Fault, ...]:
    """Return faults that make announcements and calls late while primaries change.

    The first primary is gone for the whole time, so that the other two members take turns.
    """
    generator = random.Random(f"lateness {seed}")
    faults = [Fault(FaultKind.CRASH_PRIMARY, 0.0, seconds, 0)]
    at_s = generator.uniform(MIN_GAP_S, MAX_GAP_S)
    while at_s < seconds:
        kind = generator.choice(_LATE_KINDS)
        for_s = generator.uniform(MIN_LATE_S, MAX_LATE_S)
        faults.append(Fault(kind, at_s, for_s, generator.randrange(6)))
        at_s += generator.uniform(MIN_GAP_S, MAX_GAP_S)
    return tuple(faults)
