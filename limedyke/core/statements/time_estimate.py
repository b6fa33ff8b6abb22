"""How long something takes, learned from what was seen: a usual time and its spread; sans-IO."""

from __future__ import annotations

from dataclasses import dataclass

USUAL_WEIGHT = 0.2
SPREAD_WEIGHT = 0.25
"""Weights of a new time, as TCP's retransmission timer takes them (RFC 6298: 1/8 and 1/4); the
first is larger, as a member gets slow within a few answers."""
SPREADS = 4.0
"""A time is longer than explained beyond so many spreads, as in RFC 6298."""


@dataclass(slots=True)
class TimeEstimate:
    """Times of one kind, in seconds.

    :param usual_s: smoothed time; before the first one was seen, what is assumed
    :param spread_s: smoothed distance from it
    :param is_seen: whether any time was seen
    """

    usual_s: float
    spread_s: float
    is_seen: bool = False

    @property
    def longest_s(self) -> float:
        """What explains nearly every healthy time; beyond it something is likely wrong."""
        return self.usual_s + SPREADS * self.spread_s

    def learn(self, seconds: float) -> None:
        """Take a time that was seen."""
        if not self.is_seen:
            self.is_seen = True
            self.usual_s = seconds
            self.spread_s = seconds / 2
            return
        error_s = seconds - self.usual_s
        self.spread_s += SPREAD_WEIGHT * (abs(error_s) - self.spread_s)
        self.usual_s += USUAL_WEIGHT * error_s

    def learn_at_least(self, seconds: float) -> None:
        """Take that one took so long without having ended: news only if that is unusual.

        It may never have ended, so it counts as no longer than what healthy ones take.
        """
        if seconds > self.usual_s:
            self.learn(min(seconds, self.longest_s))

    def assume(self, seconds: float) -> None:
        """Take an assumption in place of the first one, until a time is seen."""
        if not self.is_seen:
            self.spread_s = max(self.spread_s, seconds / 2)
            self.usual_s = max(self.usual_s, seconds)
