"""How much of what is asked of a member fails lately, and how it is trusted again; sans-IO.

Load answered: a member that fails half of its work at once looks quickest of all, one that is mute
for a part of it looks as quick as ever, and one that flaps is as good as new each time it answers.
What fails, breaks or never comes raises the failing share here at once, which choosing a member
counts as what it costs the caller. It falls with answers that are good and, as a member left alone
gives none, with time: the sooner the less often the member has failed before.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

ANSWER_WEIGHT = 0.2
"""Of a new answer: some in a row decide, one does not."""
DISTRUSTED_SHARE = 0.3
"""From here on a member counts as failing: that is one episode."""
TRUSTED_SHARE = 0.05
"""Below this an episode is over."""
LEAST_SHARE = 0.02
"""Less is no news: members of a group differ by as much."""
FIRST_RECOVERY_S = 0.5
"""In this time without an answer the failing share falls by half; twice as long with each episode
that follows another one closely."""
LONGEST_RECOVERY_S = 8.0
CLOSE_EPISODES_S = 20.0
"""An episode that begins so soon after the one before makes the member less trusted."""


@dataclass(slots=True)
class AnswerQuality:
    """The failing share of one member's answers; times are seconds of a monotonic clock.

    :ivar episodes: how often it has begun to fail, one time closely after the other
    :ivar last_failure: what the last bad answer was, for the log
    """

    episodes: int = 0
    last_failure: str = ""
    _share: float = 0.0
    _changed_at: float = -math.inf
    _is_failing: bool = False
    _began_at: float = -math.inf

    @property
    def recovery_s(self) -> float:
        """Return in which time the failing share falls by half while nothing is asked."""
        return min(FIRST_RECOVERY_S * 2 ** max(0, self.episodes - 1), LONGEST_RECOVERY_S)

    def failing_share(self, now: float) -> float:
        """Return which share of what is asked now is expected to fail."""
        if self._share == 0.0:
            return 0.0
        share = self._share * 0.5 ** ((now - self._changed_at) / self.recovery_s)
        return share if share >= LEAST_SHARE else 0.0

    def good(self, now: float) -> None:
        """Take an answer that served."""
        if self._share > 0.0:
            self._learn(0.0, now)

    def is_failing(self, now: float) -> bool:
        """Tell whether the member is distrusted."""
        return self._is_failing and self.failing_share(now) >= TRUSTED_SHARE

    def bad(self, now: float, failure: str = "failed") -> None:
        """Take that one failed, broke or never came.

        :param failure: what it was, for the log
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
