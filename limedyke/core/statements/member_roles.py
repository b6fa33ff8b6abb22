"""What the members of a group said of their roles to this proxy; sans-IO.

The record of the primary is the controllers' knowledge, which this proxy may hold before the member
leads, and after it has been replaced.  The proxy's own knowledge is what members answered, in the
order of the questions: an answer to an earlier question proves nothing against a later one.

Times are seconds of a monotonic clock.
"""

from __future__ import annotations

NEVER = float("-inf")


class MemberRoles:
    """The roles that the members of one group stated, beside the recorded primary.

    :ivar changed_at: when the record of the primary last changed at this proxy
    """

    def __init__(self) -> None:
        self.changed_at = NEVER
        self._primary = ""
        self._is_confirmed = False
        self._denying: set[str] = set()
        self._denied_at: dict[str, float] = {}

    def primary_recorded(self, primary: str, now: float) -> None:
        """Apply a changed record; the recorded member has yet to say that it leads.

        :param primary: identity of the recorded primary; empty for none
        """
        self.changed_at = now
        self._primary = primary
        self._is_confirmed = False
        self._denying.clear()

    def denied(self, member: str, asked_at: float, now: float) -> None:
        """Record a member's answer that it does not lead.

        An answer to a question from before the record changed does not contradict the record, but
        the member has to be asked again.

        :param asked_at: when the question was sent
        """
        self._denied_at[member] = now
        if asked_at >= self.changed_at:
            self._denying.add(member)
        if member == self._primary:
            self._is_confirmed = False

    def claimed(self, member: str, asked_at: float) -> bool:
        """Record a member's answer that it leads; return whether it is news.

        :param asked_at: when the question was sent; a denial that had arrived by then is newer
        """
        if asked_at < self._denied_at.get(member, NEVER):
            return False
        self._denying.discard(member)
        if member == self._primary and asked_at >= self.changed_at:
            self._is_confirmed = True
        return True

    def forget(self, member: str) -> None:
        """Forget what an earlier process of a member said."""
        self._denying.discard(member)
        self._denied_at.pop(member, None)
        if member == self._primary:
            self._is_confirmed = False

    def denies(self, member: str) -> bool:
        """Tell whether a member denied that it leads, since the record last changed."""
        return member in self._denying

    def is_confirmed(self, member: str) -> bool:
        """Tell whether a member is recorded, has since said that it leads, and not denied it."""
        return self._is_confirmed and member == self._primary
