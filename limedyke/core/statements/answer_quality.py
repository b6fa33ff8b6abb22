"""Failure rate of one member's answers, and recovery of trust in it; sans-IO.

A member that fails half of its work at once looks fastest of all, one that leaves some requests
unanswered looks as fast as before, and one that flaps looks healthy whenever it answers.  Failed,
broken and missing answers therefore raise the failing share at once; the choice of a member counts
it as a cost.  The share falls with good answers and, because a member that is avoided gives no
answers, with time.  A member with more past episodes recovers more slowly.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

ANSWER_WEIGHT = 0.2
"""Weight of a new answer: several failures in a row are decisive, a single one is not."""
DISTRUSTED_SHARE = 0.3
"""From this share on a member counts as failing, which begins an episode."""
TRUSTED_SHARE = 0.05
"""Below this share an episode is over."""
LEAST_SHARE = 0.02
"""A smaller share is ignored, since members of a group differ by as much."""
FIRST_RECOVERY_S = 0.5
"""Half-life of the failing share without answers; it doubles with each episode that closely follows
another one."""
LONGEST_RECOVERY_S = 8.0
CLOSE_EPISODES_S = 20.0
"""An episode that begins within this time of the previous one reduces trust further."""


@dataclass(slots=True)
class AnswerQuality:
    """The failing share of one member's answers; times are seconds of a monotonic clock.

    :ivar episodes: number of failure episodes in close succession
    :ivar last_failure: kind of the last failure, for the log
    """

    episodes: int = 0
    last_failure: str = ""
    _share: float = 0.0
    _changed_at: float = -math.inf
    _is_failing: bool = False
    _began_at: float = -math.inf

    @property
    def recovery_s(self) -> float:
        """Return the half-life of the failing share while the member is not asked."""
        return min(FIRST_RECOVERY_S * 2 ** max(0, self.episodes - 1), LONGEST_RECOVERY_S)

    def failing_share(self, now: float) -> float:
        """Return the share of requests sent now that are expected to fail."""
        if self._share == 0.0:
            return 0.0
        share = self._share * 0.5 ** ((now - self._changed_at) / self.recovery_s)
        return share if share >= LEAST_SHARE else 0.0

    def good(self, now: float) -> None:
        """Record a successful answer."""
        if self._share > 0.0:
            self._learn(0.0, now)

    def is_failing(self, now: float) -> bool:
        """Tell whether the member counts as failing."""
        return self._is_failing and self.failing_share(now) >= TRUSTED_SHARE

    def bad(self, now: float, failure: str = "failed") -> None:
        """Record a failed, broken or missing answer.

        :param failure: kind of the failure, for the log
        """
        self.last_failure = failure
        self._learn(1.0, now)
        if self._is_failing or self._share < DISTRUSTED_SHARE:
            return
        self._is_failing = True
        is_close = now - self._began_at < CLOSE_EPISODES_S
        self.episodes = self.episodes + 1 if is_close else 1
        self._began_at = now

    def _learn(self, outcome: float, now: float) -> None:
        share = self.failing_share(now)
        if share < TRUSTED_SHARE:
            self._is_failing = False
        self._share = share + ANSWER_WEIGHT * (outcome - share)
        self._changed_at = now
