"""Which home proxy a unit of work goes to: by distance and by the wait that each told; sans-IO.

Load: half of all clients move from one region's proxies to another's within seconds, or one home
proxy's share of the work outgrows its connections, while dozens of proxies choose at once from what
each was told. All that prefer the same home proxy at the same moment would swing between two; so
each moves only a part of its work, the larger the more it gains, and only where the gain is clear.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from limedyke.messages.statements import HomeLoad

MS_PER_S = 1_000.0
TOLD_FOR_S = 0.5
"""A wait that was told counts less and less, and nothing after so long: what waited is served."""
LEAST_GAIN_S = 0.02
"""About the opening of a connection, which a unit may cost that goes elsewhere than usual."""


@dataclass(frozen=True, slots=True)
class HomeCandidate:
    """A home proxy that a unit could go to.

    :param travel_s: of a unit and its answer
    :param wait_s: expected there, as far as was told
    """

    name: str
    travel_s: float
    wait_s: float

    @property
    def cost_s(self) -> float:
        """How long until a connection is had there."""
        return self.travel_s + self.wait_s


def choose_home(candidates: Sequence[HomeCandidate], generator: Random) -> HomeCandidate:
    """Return the home proxy for a unit.

    The usual one is compared with the next one and with any other, so that not all that leave it
    go to the same one.

    :param candidates: the usual one first, the nearest after it
    """
    usual = candidates[0]
    others = list(candidates[1:2])
    if len(candidates) > len(others) + 1:
        others.append(generator.choice(candidates[2:]))
    if not others:
        return usual
    best = min(others, key=lambda candidate: candidate.cost_s)
    if usual.cost_s - best.cost_s <= LEAST_GAIN_S:
        return usual
    return best if generator.random() < moved_share(usual, best) else usual


def moved_share(usual: HomeCandidate, best: HomeCandidate) -> float:
    """Return which part of the work goes to the best home proxy rather than to the usual one.

    Half of it where the usual one costs twice as much: what is told is a moment old, and others
    choose from the same.
    """
    return 1.0 - best.cost_s / usual.cost_s


@dataclass(frozen=True, slots=True)
class _Told:
    load: HomeLoad
    at: float


class ReportedLoads:
    """The waits that home proxies told, by home proxy and group."""

    def __init__(self) -> None:
        self._told: dict[tuple[str, str], _Told] = {}

    def told(self, home: str, group: str, load: HomeLoad | None, now: float) -> None:
        """Take what came with an answer; None when nothing waits there."""
        if load is None:
            self._told.pop((home, group), None)
        else:
            self._told[home, group] = _Told(load, now)

    def wait_s(self, home: str, group: str, priority: int, writes: bool, now: float) -> float:
        """Return the wait that is expected at a home proxy; 0 where none was told lately."""
        told = self._told.get((home, group))
        if told is None:
            return 0.0
        share_left = 1.0 - (now - told.at) / TOLD_FOR_S
        if share_left <= 0.0:
            del self._told[home, group]
            return 0.0
        waits = told.load.writes_ms if writes else told.load.reads_ms
        if not waits:
            return 0.0
        return share_left * waits[min(priority, len(waits) - 1)] / MS_PER_S
