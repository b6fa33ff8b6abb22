"""How long operations wait for a leader that does not answer; sans-IO.

A leader that pauses or dies is usually replaced within a second. An operation that has time left
waits for the next one rather than being refused as over a limit that its tenant may be far below.
Operations of a tenant that was over its limit do not wait: they would all ask the next leader
together.
"""

from __future__ import annotations

LEADER_CHANGE_S = 1.2
"""Longest usual time from the last answer of a leader until a successor answers: an election and
the search for the new leader. Without a leader for longer, operations are refused at once."""


class LeaderOutage:
    """The time for which no leader has answered; times are seconds of a steady clock."""

    def __init__(self) -> None:
        self._began_at: float | None = None

    @property
    def is_present(self) -> bool:
        """Whether the leader does not answer."""
        return self._began_at is not None

    def note_unanswered(self, asked_at: float) -> None:
        """Record that a request was not answered in time.

        :param asked_at: when the request was sent; the outage counts from then
        """
        if self._began_at is None:
            self._began_at = asked_at

    def note_answer(self) -> None:
        """Record that a leader answered."""
        self._began_at = None

    def held_until(self, latest: float, was_over_limit: bool, now: float) -> float:
        """Return until when an operation waits for the next leader; ``now`` for not at all.

        :param latest: latest time until which it may wait
        :param was_over_limit: whether its tenant was over its limit when the leader last answered
        """
        if self._began_at is None or was_over_limit:
            return now
        return max(now, min(latest, self._began_at + LEADER_CHANGE_S))
