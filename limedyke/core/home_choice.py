"""Choice of the home proxy for a unit of work, by distance and reported wait; sans-IO.

Half of all clients may move from one region's proxies to another's within seconds, or one home
proxy's share of the work may exceed its connections, while dozens of proxies choose from the same
reports.  If all preferred the same home proxy at once, the work would oscillate between two.  Each
proxy therefore moves only a part of its work, which grows with the gain, and only for a clear gain.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from limedyke.messages.statements import HomeLoad

MS_PER_S = 1_000.0
REPORT_LIFE_S = 0.5
"""A reported wait decays linearly to zero over this time, in which the waiting work is served."""
LEAST_GAIN_S = 0.02
"""About the time to open a connection, which a unit may need at an unusual home proxy."""


@dataclass(frozen=True, slots=True)
class HomeCandidate:
    """A home proxy that a unit could go to.

    :param travel_s: network time of a unit and its answer
    :param wait_s: expected wait there, as last reported
    """

    name: str
    travel_s: float
    wait_s: float

    @property
    def cost_s(self) -> float:
        """Expected time until the unit has a connection there."""
        return self.travel_s + self.wait_s


def choose_home(candidates: Sequence[HomeCandidate], generator: Random) -> HomeCandidate:
    """Return the home proxy for a unit.

    The usual home proxy is compared with the next one and with a random other one, so that work
    moved away from it is spread.

    :param candidates: the usual one first, followed by the others by distance
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
    """Return the part of the work to move from the usual to the best home proxy.

    It is half if the usual one costs twice as much.  Reports are slightly outdated, and other
    proxies choose from the same ones.
    """
    return 1.0 - best.cost_s / usual.cost_s


@dataclass(frozen=True, slots=True)
class _LoadReport:
    load: HomeLoad
    at: float


class ReportedLoads:
    """The waits reported by home proxies, by home proxy and group."""

    def __init__(self) -> None:
        self._reports: dict[tuple[str, str], _LoadReport] = {}

    def told(self, home: str, group: str, load: HomeLoad | None, now: float) -> None:
        """Record the report in an answer; None if nothing waits there."""
        if load is None:
            self._reports.pop((home, group), None)
        else:
            self._reports[home, group] = _LoadReport(load, now)

    def wait_s(self, home: str, group: str, priority: int, writes: bool, now: float) -> float:
        """Return the expected wait at a home proxy; 0 without a recent report."""
        report = self._reports.get((home, group))
        if report is None:
            return 0.0
        share_left = 1.0 - (now - report.at) / REPORT_LIFE_S
        if share_left <= 0.0:
            del self._reports[home, group]
            return 0.0
        waits = report.load.writes_ms if writes else report.load.reads_ms
        if not waits:
            return 0.0
        return share_left * waits[min(priority, len(waits) - 1)] / MS_PER_S
