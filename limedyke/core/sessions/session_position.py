"""The log position of a session's writes, and its conversion to and from token claims."""

from __future__ import annotations

from limedyke.core.sessions.session_token import TokenClaim
from limedyke.messages.work import AnswerEnd, LogPosition

NO_POSITION = LogPosition()


class SessionPosition:
    """The log position that the session's reads must have reached.

    ``barrier`` means that the session may have written past ``required``.
    Reads then go to the primary, or wait for the primary's current position,
    until an answer reports a position that covers those writes.
    """

    __slots__ = ("barrier", "required")

    def __init__(self) -> None:
        self.required = NO_POSITION
        self.barrier = False

    def merge_claim(self, claim: TokenClaim) -> None:
        """Merge the claim of a token; the required position never decreases."""
        self.required = max(self.required, claim.position)
        self.barrier = self.barrier or claim.barrier

    def claim(self) -> TokenClaim:
        """Return the claim for a token of this session."""
        return TokenClaim(self.required, self.barrier)

    def take_end(self, end: AnswerEnd, binds: bool) -> bool:
        """Record the position of a finished unit; tell whether the token changed.

        :param binds: whether later reads must reach the position; if not, it is ignored
        """
        if not binds or end.position == NO_POSITION:
            return False
        before = (self.required, self.barrier)
        self.required = max(self.required, end.position)
        self.barrier = False
        return before != (self.required, self.barrier)

    def record_unknown_write(self) -> bool:
        """Record that a write may have happened at an unknown position."""
        changed = not self.barrier
        self.barrier = True
        return changed
