"""What members said of themselves, as the leader holds it beside the log; sans-IO.

The log holds what all proxies must know of a member.  When it was heard last, and the number of
its newest announcement, is kept in the leader's memory: a new leader hears it anew within one
interval.

A member may start again under its identity, empty, with numbers that begin anew.  Where members
tell when they started, incarnations are told apart by that; else by the time between two numbers.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from limedyke.core.control.displaced_members import DisplacedMembers
from limedyke.core.control.ended_incarnations import EndedIncarnations
from limedyke.messages.control_entries import EndedIncarnation, RecordMembers
from limedyke.messages.databases import AnnouncedMember, MemberState

LATE_WITHIN_S = 3.0
"""A lower number so soon after a higher one is a late announcement; afterwards, a restart. Only
where members do not tell when they started."""
WITHDRAWN_KEPT_S = 60.0
"""For so long nothing more is taken from a member that withdrew and does not tell when it started:
some seconds of drain, some until it ends, and some for an announcement on its way."""


@dataclass(slots=True)
class _Heard:
    """When a member was heard, and the number and incarnation of that announcement."""

    at: float
    sequence: int
    started_at_ms: int


@dataclass(frozen=True, slots=True)
class _Withdrawn:
    """When a member withdrew, and which incarnation; 0 when its start is not known."""

    at: float
    started_at_ms: int


class AnnouncementTracker:
    """Decides which announcements change the log.

    :param members: the recorded members by identity, read only
    :param displaced: those whose address has passed to another one, read only
    :param now: when this controller began to lead
    :param ended: incarnations that said that they end, read only
    """

    def __init__(
        self,
        members: Mapping[str, AnnouncedMember],
        displaced: DisplacedMembers,
        now: float,
        ended: EndedIncarnations | None = None,
    ) -> None:
        self._members = members
        self._displaced = displaced
        self._ended = ended if ended is not None else EndedIncarnations()
        self._started_at = now
        self._heard: dict[str, _Heard] = {}
        self._withdrawn: dict[str, _Withdrawn] = {}

    def heard_at(self, identity: str) -> float:
        """Return when a member was heard; the leader's start when it was not since."""
        heard = self._heard.get(identity)
        return heard.at if heard is not None else self._started_at

    def announced(self, member: AnnouncedMember, sequence: int, now: float) -> RecordMembers | None:
        """Take an announcement; return the entry that records it, or None when nothing is new.

        :param sequence: rises with each announcement of one incarnation of the member
        """
        if self._is_foreign(member) or self._is_over(member, sequence, now):
            return None
        self._heard[member.identity] = _Heard(now, sequence, member.started_at_ms)
        known = self._members.get(member.identity)
        if known == member:
            return None
        if known is not None and _takes_drain_back(known, member):
            return None
        return RecordMembers((member,), self._displaced_by(member))

    def withdrawn(self, identity: str, now: float, started_at_ms: int = 0) -> RecordMembers | None:
        """Take a member's word that it ends; None when the log knows that.

        :param started_at_ms: of the incarnation that ends; 0 when it does not tell
        """
        known = self._members.get(identity)
        if known is not None and 0 < started_at_ms < known.started_at_ms:
            return None
        known_start_ms = known.started_at_ms if known is not None else 0
        self._withdrawn[identity] = _Withdrawn(now, started_at_ms or known_start_ms)
        for name, withdrawn in list(self._withdrawn.items()):
            if withdrawn.at < now - WITHDRAWN_KEPT_S:
                del self._withdrawn[name]
        self._heard.pop(identity, None)
        is_news = started_at_ms > 0 and not self._ended.has_ended(identity, started_at_ms)
        if known is None and not is_news:
            return None
        removed = (identity,) if known is not None else ()
        ended = (EndedIncarnation(identity, started_at_ms),) if started_at_ms > 0 else ()
        return RecordMembers((), removed, ended)

    def remove_silent(self, limit_s: float, now: float) -> RecordMembers | None:
        """Return the entry that forgets members not heard for so long, or None."""
        gone = tuple(name for name in self._members if now - self.heard_at(name) > limit_s)
        return RecordMembers((), gone) if gone else None

    def _is_foreign(self, member: AnnouncedMember) -> bool:
        """Tell whether an announcement tells no start where its member would tell it.

        Another writer made it. All members tell their start or none does; while their software is
        being replaced some do, and one that is not known yet may be of either kind.
        """
        if member.started_at_ms > 0:
            return False
        known = self._members.get(member.identity)
        if known is not None:
            return known.started_at_ms > 0
        starts = [other.started_at_ms for other in self._members.values()]
        return bool(starts) and all(starts)

    def _is_over(self, member: AnnouncedMember, sequence: int, now: float) -> bool:
        """Tell whether an announcement was overtaken by what is known of its member."""
        if self._displaced.is_displaced(member):
            return True
        if self._ended.has_ended(member.identity, member.started_at_ms):
            return True
        return self._has_withdrawn(member, now) or self._is_late(member, sequence, now)

    def _has_withdrawn(self, member: AnnouncedMember, now: float) -> bool:
        withdrawn = self._withdrawn.get(member.identity)
        if withdrawn is None or now - withdrawn.at > WITHDRAWN_KEPT_S:
            return False
        return member.started_at_ms <= withdrawn.started_at_ms

    def _is_late(self, member: AnnouncedMember, sequence: int, now: float) -> bool:
        known = self._members.get(member.identity)
        if known is not None and member.started_at_ms != known.started_at_ms:
            return member.started_at_ms < known.started_at_ms
        heard = self._heard.get(member.identity)
        if heard is None or heard.started_at_ms != member.started_at_ms:
            return False
        if sequence >= heard.sequence:
            return False
        return member.started_at_ms > 0 or now - heard.at < LATE_WITHIN_S

    def _displaced_by(self, member: AnnouncedMember) -> tuple[str, ...]:
        """Return recorded members whose address has passed to this one."""
        return tuple(
            name
            for name, known in self._members.items()
            if known.address == member.address and name != member.identity
        )


def _takes_drain_back(known: AnnouncedMember, member: AnnouncedMember) -> bool:
    """Tell whether an incarnation that drains says at the same address that it is ready."""
    if known.state is not MemberState.DRAINING or member.state is not MemberState.READY:
        return False
    is_same = known.started_at_ms == member.started_at_ms
    return is_same and known.address == member.address
