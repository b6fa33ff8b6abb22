"""Draws overlapping series of planned work from a seed: stops, signals and changed settings."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

MIN_PAUSE_S, MAX_PAUSE_S = 0.3, 2.5
MIN_GAP_S, MAX_GAP_S = 0.05, 1.2
MAX_SHARE = 0.7
MIN_ANSWER_TIME_S, MAX_ANSWER_TIME_S = 0.01, 0.3
"""Members answer this slowly, so that stops hit statements that are running."""


class StopKind(enum.StrEnum):
    """Kinds of planned work on processes."""

    STOP_PROXIES = "stop-proxies"
    STOP_CONTROLLERS = "stop-controllers"
    STOP_TWICE = "stop-twice"
    HANG_UP = "hang-up"
    CHANGE_SEEDS = "change-seeds"


@dataclass(frozen=True, slots=True)
class Series:
    """The same planned work on several processes, one after the other.

    :param at_s: its start, in seconds from the start of the load
    :param gap_s: pause between two processes
    :param share: affected share of the processes of its kind
    :param first: index of the first affected process, modulo their number
    """

    kind: StopKind
    at_s: float
    gap_s: float
    share: float
    first: int

    def __str__(self) -> str:
        return f"{self.kind}/{self.first}x{self.share:.2f}@{self.at_s:.2f}+{self.gap_s:.2f}"


def draw_series(seed: int, seconds: float) -> tuple[Series, ...]:
    """Return the series of a seed that start within the given seconds; about half stop proxies."""
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
    """Return the time that members take to answer in the run of a seed."""
    return random.Random(f"answers/{seed}").uniform(MIN_ANSWER_TIME_S, MAX_ANSWER_TIME_S)
