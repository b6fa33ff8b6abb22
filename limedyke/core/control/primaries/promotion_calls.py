"""The calls to the authority that may still change the primary of a group; performs no I/O.

A call that got no answer may be carried out late, until the authority accepts one with a higher
fencing number.  One that it has accepted is carried out a moment after its answer.  A member that
leads while a call for another one is outstanding may lose its lead at any moment, so its claim is
no reason to record it.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

NEVER = float("inf")
UNKNOWN_MEMBER = ""
"""The member of a call that an earlier leader may have sent."""


@dataclass(frozen=True, slots=True)
class OutstandingCall:
    """A call that may still be carried out.

    :param until: until when; ``NEVER`` as long as the authority has accepted no later call
    """

    member: str
    fence: int
    until: float = NEVER


class PromotionCalls:
    """The outstanding calls for the members of one group."""

    def __init__(self) -> None:
        self._calls: list[OutstandingCall] = []

    def sent_by_earlier_leader(self) -> None:
        """Assume a call for an unknown member, as the group has no primary at a leader's start."""
        self._calls.append(OutstandingCall(UNKNOWN_MEMBER, 0))

    def sent(self, member: str, fence: int) -> None:
        """Add a call that is sent now.

        Of the earlier calls for the same member the newest stands for all: it is outstanding for as
        long as any of them.
        """
        others = [call for call in self._calls if call.member != member]
        newest = [call for call in self._calls if call.member == member][-1:]
        self._calls = [*others, *newest, OutstandingCall(member, fence)]

    def accepted(self, fence: int, until: float) -> None:
        """Process an answer that accepts a call: lower fencing numbers are refused from now on.

        :param until: until when the accepted call, and earlier ones, may be carried out
        """
        self._calls = [
            replace(call, until=min(call.until, until)) if call.fence <= fence else call
            for call in self._calls
        ]

    def refused(self, fence: int) -> None:
        """Remove a call that was refused, so that it will not be carried out."""
        self._calls = [call for call in self._calls if call.fence != fence]

    def primary_recorded(self) -> None:
        """Remove all calls: the recorded member leads, and no call for another is outstanding."""
        self._calls = []

    def others_end_at(self, member: str) -> float:
        """Return from when on no call for another member is outstanding; ``NEVER`` if unknown."""
        return max((c.until for c in self._calls if c.member != member), default=0.0)
