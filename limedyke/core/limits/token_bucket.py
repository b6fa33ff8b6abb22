"""A token bucket: a rate, and a burst after a rest; sans-IO."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Holds tokens that come at a rate, up to a limit.

    :param rate: tokens a second
    :param burst: most tokens that it holds
    :param tokens: those it holds; negative while it owes some
    :param counted_at: up to when tokens have been added, seconds of any steady clock
    """

    rate: float
    burst: float
    tokens: float
    counted_at: float

    def advance(self, now: float) -> None:
        """Add what has come up to now."""
        elapsed_s = max(0.0, now - self.counted_at)
        self.counted_at = max(self.counted_at, now)
        self.tokens = min(self.burst, self.tokens + self.rate * elapsed_s)

    def take(self, wanted: int, now: float) -> int:
        """Take up to so many whole tokens; return how many."""
        self.advance(now)
        taken = max(0, min(wanted, int(self.tokens)))
        self.tokens -= taken
        return taken

    def expected_s(self, tokens: float) -> float:
        """Return in how many seconds it will hold so many tokens; infinity if it never will."""
        missing = tokens - self.tokens
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate > 0 else float("inf")
