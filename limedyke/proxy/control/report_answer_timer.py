"""Timeout for the leader's answer to a member report; sans-IO.

A proxy leaves a partitioned leader when its quorum stamp has not advanced for the silence limit.
That is too long while a group has no primary, so a proxy also leaves a leader that does not answer
a report within a second.  It does this at most once per interval, so that a leader that is slow
under many reports does not have to accept new links of all proxies repeatedly.  Before that, it
looks for another leader without leaving this one.

Only the answer to a heartbeat that was sent after the report counts.  An answer to an earlier
heartbeat may still be on its way when the leader pauses, and says nothing of the report.
"""

from __future__ import annotations

from limedyke.proxy.control.leader_silence import UNANSWERED_AFTER_S

ANSWER_LIMIT_S = 1.0
SHORTEST_INTERVAL_S = 10.0
"""Minimum time between two links that are left because of an unanswered report."""


class ReportAnswerTimer:
    """Times the oldest unanswered report; times are seconds of a monotonic clock."""

    def __init__(self) -> None:
        self._reported_at: float | None = None
        self._awaited_sequence = 0
        self._is_followed = False
        self._left_at = float("-inf")
        self._is_suspected = False

    def report_sent(self, now: float, sequence: int) -> bool:
        """Record a sent report; the timeout runs from the first unanswered one.

        :param sequence: the next heartbeat, whose answer is the answer to this report
        :returns: whether that heartbeat is to be sent now
        """
        if self._reported_at is not None:
            self._is_followed = True
            return False
        self._reported_at = now
        self._awaited_sequence = sequence
        return True

    def answer_received(self, sequence: int) -> bool:
        """Record the answer to a heartbeat.

        :returns: whether another report has followed the one that is answered, so that its answer
            has to be requested
        """
        if self._reported_at is None or sequence < self._awaited_sequence:
            return False
        is_followed = self._is_followed
        self.reset()
        return is_followed

    def reset(self) -> None:
        """Forget unanswered reports, as the link was closed or a new one was opened."""
        self._reported_at = None
        self._is_followed = False
        self._is_suspected = False

    def suspect_in_s(self, now: float) -> float:
        """Return the seconds until the leader is suspected; infinite if it is, or need not be."""
        if self._reported_at is None or self._is_suspected:
            return float("inf")
        return self._reported_at + UNANSWERED_AFTER_S - now

    def mark_suspected(self) -> None:
        """Record that the leader is suspected because of the unanswered report."""
        self._is_suspected = True

    def remaining_s(self, now: float) -> float:
        """Return the seconds left for an answer; infinite if no timeout is running."""
        if self._reported_at is None or now - self._left_at < SHORTEST_INTERVAL_S:
            return float("inf")
        return self._reported_at + ANSWER_LIMIT_S - now

    def link_closed(self, now: float) -> None:
        """Record that the link was closed because a report was not answered."""
        self._left_at = now
        self.reset()
