"""Planned work in series that overlap: stops, signals and changed settings, drawn from a seed."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

MIN_PAUSE_S, MAX_PAUSE_S = 0.3, 2.5
MIN_GAP_S, MAX_GAP_S = 0.05, 1.2
MAX_SHARE = 0.7
MIN_ANSWER_TIME_S, MAX_ANSWER_TIME_S = 0.01, 0.3
"""What stops in the middle of a statement needs statements that take a while."""


class StopKind(enum.StrEnum):
    """What is done to processes on purpose."""

    STOP_PROXIES = "stop-proxies"
    STOP_CONTROLLERS = "stop-controllers"
    STOP_TWICE = "stop-twice"
    HANG_UP = "hang-up"
    CHANGE_SEEDS = "change-seeds"


@dataclass(frozen=True, slots=True)
class Series:
    """The same done to one process after the other.

    :param at_s: when it begins, from the start of the load
    :param gap_s: between two processes
    :param share: of the processes of its kind
    :param first: index of the first one
    """

    kind: StopKind
    at_s: float
    gap_s: float
    share: float
    first: int

    def __str__(self) -> str:
        return f"{self.kind}/{self.first}x{self.share:.2f}@{self.at_s:.2f}+{self.gap_s:.2f}"


def draw_series(seed: int, seconds: float) -> tuple[Series, ...]:
    """Return the planned work of a seed within so many seconds; half of it stops proxies."""
    generator = random.Random(f"stops/{seed}")
    series: list[Series] = []
    at_s = generator.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
    while at_s < seconds:
        kind = generator.choice([StopKind.STOP_PROXIES] * 4 + list(StopKind))
        gap_s = generator.uniform(MIN_GAP_S, MAX_GAP_S)
        share = generator.uniform(0.0, MAX_SHARE)
        series.append(Series(kind, at_s, gap_s, share, generator.randrange(1_000)))
        at_s += generator.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
    return tuple(series)


def draw_answer_time_s(seed: int) -> float:
    """Return how long members take to answer while a seed plays."""
    return random.Random(f"answers/{seed}").uniform(MIN_ANSWER_TIME_S, MAX_ANSWER_TIME_S)
