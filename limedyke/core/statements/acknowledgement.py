"""Decides whether a commit that a member acknowledged may be acknowledged to its client.

In a group whose commits wait for replicas, the controllers choose the next primary by the log
positions of the other members.  A commit may be acknowledged only while no such choice can have
begun, or a member that lacks it could be promoted.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

ACKNOWLEDGEMENT_GRACE_S = 0.25
"""How long after the end of a primary's term its answers are still relayed. Most commits under way
are answered by then; the outcome of the others stays unknown to their clients."""


class Permission(enum.StrEnum):
    """Whether an answer may be relayed.

    ``PENDING``: not yet, because the primary lease has expired or the member is not recorded yet.
    """

    GRANTED = "granted"
    PENDING = "pending"
    DENIED = "denied"


@dataclass(frozen=True, slots=True)
class Office:
    """A member as the primary of a term; without a member while none is recorded."""

    member: str = ""
    term: int = 0


class AcknowledgementRule:
    """The rule for one group, which follows the recorded primary."""

    def __init__(self) -> None:
        self._current = Office()
        self._previous = Office()
        self._previous_ends_at = 0.0

    def office_of(self, member: str) -> Office:
        """Return the office under which a statement is sent to a member now."""
        return Office(member, self._current.term)

    def primary_recorded(self, recorded: Office, lease_ends_at: float, now: float) -> None:
        """Apply a newly recorded term or primary.

        :param lease_ends_at: when the primary lease ends, or ended; if it had ended before the
            change became known here, the choice of the next primary may have begun by then
        """
        if self._current.member:
            self._previous = self._current
            self._previous_ends_at = min(now, lease_ends_at) + ACKNOWLEDGEMENT_GRACE_S
        self._current = recorded

    def permission(self, sent_under: Office, lease_ends_at: float, now: float) -> Permission:
        """Return whether the answer to a commit may be relayed now."""
        if sent_under == self._current:
            return Permission.GRANTED if now < lease_ends_at else Permission.PENDING
        if sent_under == self._previous and now < self._previous_ends_at:
            return Permission.GRANTED
        is_unrecorded = sent_under.term == self._current.term and not self._current.member
        return Permission.PENDING if is_unrecorded else Permission.DENIED
