"""Up to where a session has written, and the token that says so."""

from __future__ import annotations

from limedyke.core.sessions.session_token import TokenClaim
from limedyke.messages.work import AnswerEnd, LogPosition

NO_POSITION = LogPosition()


class SessionPosition:
    """The position that a session's reads must have reached.

    ``barrier`` means that the session may have written behind ``required``:
    reads go to the primary, or wait for its present position, until one
    answer tells a position that covers it.
    """

    __slots__ = ("barrier", "required")

    def __init__(self) -> None:
        self.required = NO_POSITION
        self.barrier = False

    def merge_claim(self, claim: TokenClaim) -> None:
        """Take what a token says; it never takes the session back."""
        self.required = max(self.required, claim.position)
        self.barrier = self.barrier or claim.barrier

    def claim(self) -> TokenClaim:
        """Return what a token of this session says now."""
        return TokenClaim(self.required, self.barrier)

    def take_end(self, end: AnswerEnd, binds: bool) -> bool:
        """Take the position of a finished unit; tell whether the token changed.

        :param binds: later reads must reach it; else it is ignored
        """
        if not binds or end.position == NO_POSITION:
            return False
        before = (self.required, self.barrier)
        self.required = max(self.required, end.position)
        self.barrier = False
        return before != (self.required, self.barrier)

    def record_unknown_write(self) -> bool:
        """Note that a write may have happened at an unknown position."""
        changed = not self.barrier
        self.barrier = True
        return changed
