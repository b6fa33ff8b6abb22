"""What members said of themselves, as the leader holds it beside the log; sans-IO.

The log holds what all proxies must know of a member.  When it was heard last, and the number of
its newest announcement, is kept in the leader's memory: a new leader hears it anew within one
interval.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from limedyke.core.control.displaced_members import DisplacedMembers
from limedyke.messages.control_entries import RecordMembers
from limedyke.messages.databases import AnnouncedMember, MemberState

LATE_WITHIN_S = 3.0
"""A lower number so soon after a higher one is a late announcement; afterwards, a restart."""
WITHDRAWN_KEPT_S = 60.0


@dataclass(slots=True)
class _Heard:
    """When a member was heard, and the number of that announcement."""

    at: float
    sequence: int


class AnnouncementBook:
    """Decides which announcements change the log.

    :param members: the recorded members by identity, read only
    :param displaced: those whose address has passed to another one, read only
    :param now: when this controller began to lead
    """

    def __init__(
        self, members: Mapping[str, AnnouncedMember], displaced: DisplacedMembers, now: float
    ) -> None:
        self._members = members
        self._displaced = displaced
        self._started_at = now
        self._heard: dict[str, _Heard] = {}
        self._withdrawn: dict[str, float] = {}

    def heard_at(self, identity: str) -> float:
        """Return when a member was heard; the leader's start when it was not since."""
        heard = self._heard.get(identity)
        return heard.at if heard is not None else self._started_at

    def announced(self, member: AnnouncedMember, sequence: int, now: float) -> RecordMembers | None:
        """Take an announcement; return the entry that records it, or None when nothing is new.

        :param sequence: rises with each announcement of the member
        """
        if self._displaced.is_displaced(member) or self._is_late(member.identity, sequence, now):
            return None
        self._heard[member.identity] = _Heard(now, sequence)
        known = self._members.get(member.identity)
        if known == member:
            return None
        if known is not None and known.state is MemberState.DRAINING:
            is_ready_again = member.state is MemberState.READY
            if is_ready_again and known.address == member.address:
                return None
        return RecordMembers((member,), self._displaced_by(member))

    def withdrawn(self, identity: str, now: float) -> RecordMembers | None:
        """Take a member's word that it ends; None when it is not recorded."""
        self._withdrawn[identity] = now
        for old in [name for name, at in self._withdrawn.items() if at < now - WITHDRAWN_KEPT_S]:
            del self._withdrawn[old]
        self._heard.pop(identity, None)
        return RecordMembers((), (identity,)) if identity in self._members else None

    def silent(self, limit_s: float, now: float) -> RecordMembers | None:
        """Return the entry that forgets members not heard for so long, or None."""
        gone = tuple(name for name in self._members if now - self.heard_at(name) > limit_s)
        return RecordMembers((), gone) if gone else None

    def _is_late(self, identity: str, sequence: int, now: float) -> bool:
        if identity in self._withdrawn:
            return True
        heard = self._heard.get(identity)
        if heard is None or sequence >= heard.sequence:
            return False
        return now - heard.at < LATE_WITHIN_S

    def _displaced_by(self, member: AnnouncedMember) -> tuple[str, ...]:
        """Return recorded members whose address has passed to this one."""
        return tuple(
            name
            for name, known in self._members.items()
            if known.address == member.address and name != member.identity
        )
