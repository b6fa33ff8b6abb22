"""A token bucket; sans-IO."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Accrues tokens at a rate up to a maximum.

    :param rate: tokens per second
    :param burst: maximum number of tokens
    :param tokens: present number of tokens; negative while in debt
    :param counted_at: when tokens were last added, seconds of any steady clock
    """

    rate: float
    burst: float
    tokens: float
    counted_at: float

    def advance(self, now: float) -> None:
        """Add the tokens that have accrued up to now."""
        elapsed_s = max(0.0, now - self.counted_at)
        self.counted_at = max(self.counted_at, now)
        self.tokens = min(self.burst, self.tokens + self.rate * elapsed_s)

    def take(self, wanted: int, now: float) -> int:
        """Take up to ``wanted`` whole tokens; return how many were taken."""
        self.advance(now)
        taken = max(0, min(wanted, int(self.tokens)))
        self.tokens -= taken
        return taken

    def expected_s(self, tokens: float) -> float:
        """Return the seconds until the bucket holds ``tokens``; infinity if it never will."""
        missing = tokens - self.tokens
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate > 0 else float("inf")
