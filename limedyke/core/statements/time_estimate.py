"""Estimate of a duration from measurements: a usual time and its spread; sans-IO."""

from __future__ import annotations

from dataclasses import dataclass

USUAL_WEIGHT = 0.2
SPREAD_WEIGHT = 0.25
"""Weights of a new measurement, like those of TCP's retransmission timer (RFC 6298: 1/8 and 1/4).
The first is larger because a member may become slow within a few answers."""
SPREADS = 4.0
"""Number of spreads beyond which a time counts as unusually long, as in RFC 6298."""


@dataclass(slots=True)
class TimeEstimate:
    """Estimated time of one kind of work, in seconds.

    :param usual_s: smoothed time; an assumption before the first measurement
    :param spread_s: smoothed absolute deviation
    :param is_seen: whether anything was measured
    """

    usual_s: float
    spread_s: float
    is_seen: bool = False

    @property
    def longest_s(self) -> float:
        """Upper bound of nearly all healthy times; a longer time indicates a fault."""
        return self.usual_s + SPREADS * self.spread_s

    def learn(self, seconds: float) -> None:
        """Add a measurement."""
        if not self.is_seen:
            self.is_seen = True
            self.usual_s = seconds
            self.spread_s = seconds / 2
            return
        error_s = seconds - self.usual_s
        self.spread_s += SPREAD_WEIGHT * (abs(error_s) - self.spread_s)
        self.usual_s += USUAL_WEIGHT * error_s

    def learn_at_least(self, seconds: float) -> None:
        """Add the time after which an unfinished work was given up; short ones are ignored.

        It may never have finished, so it counts at most as the longest healthy time.
        """
        if seconds > self.usual_s:
            self.learn(min(seconds, self.longest_s))

    def assume(self, seconds: float) -> None:
        """Raise the initial assumption, until a time is measured."""
        if not self.is_seen:
            self.spread_s = max(self.spread_s, seconds / 2)
            self.usual_s = max(self.usual_s, seconds)
