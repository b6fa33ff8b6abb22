"""Tracks members' announcements in the leader's memory; performs no I/O.

The replicated log holds what all proxies must know about a member.  The time and sequence number
of its last announcement are kept in memory only: a new leader receives an announcement from every
member within one announcement interval.

A member may restart under the same identity with an empty log and with sequence numbers that start
over.  Incarnations are distinguished by their start time if members report it, otherwise by the
time between two announcements.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from limedyke.core.control.displaced_members import DisplacedMembers
from limedyke.core.control.ended_incarnations import EndedIncarnations
from limedyke.messages.control_entries import EndedIncarnation, RecordMembers
from limedyke.messages.databases import AnnouncedMember, MemberState

LATE_ANNOUNCEMENT_S = 3.0
"""Within this time of a higher sequence number, a lower one is a late announcement; after it, the
member has restarted. Applies only to members that do not report their start time."""
WITHDRAWAL_RETENTION_S = 60.0
"""How long announcements are ignored after a member withdrew, if it does not report its start time.
Covers the drain, the shutdown and announcements still in transit."""


@dataclass(slots=True)
class _LastAnnouncement:
    """Arrival time, sequence number and incarnation of a member's last announcement."""

    at: float
    sequence: int
    started_at_ms: int


@dataclass(frozen=True, slots=True)
class _Withdrawn:
    """When a member withdrew, and the start time of that incarnation; 0 if unknown."""

    at: float
    started_at_ms: int


class AnnouncementTracker:
    """Decides which announcements must be recorded in the log.

    :param members: the recorded members by identity, read only
    :param displaced: members whose address now belongs to another member, read only
    :param now: when this controller became the leader
    :param ended: incarnations that have withdrawn, read only
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
        self._last_announcements: dict[str, _LastAnnouncement] = {}
        self._withdrawn: dict[str, _Withdrawn] = {}

    def last_announced_at(self, identity: str) -> float:
        """Return when a member last announced itself; the leader's start time if it has not yet."""
        last = self._last_announcements.get(identity)
        return last.at if last is not None else self._started_at

    def announced_since(self, identity: str, moment: float) -> bool:
        """Return whether a member announced itself to this leader after a moment.

        The announcement may have been sent before that moment, as the network can hold it.
        """
        last = self._last_announcements.get(identity)
        return last is not None and last.at > moment

    def announced(self, member: AnnouncedMember, sequence: int, now: float) -> RecordMembers | None:
        """Process an announcement; return the entry that records it, or None if nothing changed.

        :param sequence: increases with each announcement of one incarnation of the member
        """
        if self._is_foreign(member) or self._is_outdated(member, sequence, now):
            return None
        self._last_announcements[member.identity] = _LastAnnouncement(
            now, sequence, member.started_at_ms
        )
        known = self._members.get(member.identity)
        if known == member:
            return None
        if known is not None and _reverts_drain(known, member):
            return None
        return RecordMembers((member,), self._displaced_by(member))

    def withdrawn(self, identity: str, now: float, started_at_ms: int = 0) -> RecordMembers | None:
        """Process a withdrawal; return the entry that records it, or None if nothing changed.

        :param started_at_ms: start time of the incarnation that withdraws; 0 if not reported
        """
        known = self._members.get(identity)
        if known is not None and 0 < started_at_ms < known.started_at_ms:
            return None
        known_start_ms = known.started_at_ms if known is not None else 0
        self._withdrawn[identity] = _Withdrawn(now, started_at_ms or known_start_ms)
        for name, withdrawn in list(self._withdrawn.items()):
            if withdrawn.at < now - WITHDRAWAL_RETENTION_S:
                del self._withdrawn[name]
        self._last_announcements.pop(identity, None)
        is_new_end = started_at_ms > 0 and not self._ended.has_ended(identity, started_at_ms)
        if known is None and not is_new_end:
            return None
        removed = (identity,) if known is not None else ()
        ended = (EndedIncarnation(identity, started_at_ms),) if started_at_ms > 0 else ()
        return RecordMembers((), removed, ended)

    def remove_silent(self, limit_s: float, now: float) -> RecordMembers | None:
        """Return the entry that removes members silent for longer than ``limit_s``, or None."""
        silent = tuple(
            name for name in self._members if now - self.last_announced_at(name) > limit_s
        )
        return RecordMembers((), silent) if silent else None

    def _is_foreign(self, member: AnnouncedMember) -> bool:
        """Return whether an announcement lacks the start time that its member would report.

        Such an announcement was made by some other writer. Normally all members report their start
        time or none does. During a software upgrade only some do, and a member that is not yet
        recorded may be of either kind.
        """
        if member.started_at_ms > 0:
            return False
        known = self._members.get(member.identity)
        if known is not None:
            return known.started_at_ms > 0
        starts = [other.started_at_ms for other in self._members.values()]
        return bool(starts) and all(starts)

    def _is_outdated(self, member: AnnouncedMember, sequence: int, now: float) -> bool:
        """Return whether what is known about its member makes an announcement obsolete."""
        if self._displaced.is_displaced(member):
            return True
        if self._ended.has_ended(member.identity, member.started_at_ms):
            return True
        return self._has_withdrawn(member, now) or self._is_late(member, sequence, now)

    def _has_withdrawn(self, member: AnnouncedMember, now: float) -> bool:
        withdrawn = self._withdrawn.get(member.identity)
        if withdrawn is None or now - withdrawn.at > WITHDRAWAL_RETENTION_S:
            return False
        return member.started_at_ms <= withdrawn.started_at_ms

    def _is_late(self, member: AnnouncedMember, sequence: int, now: float) -> bool:
        known = self._members.get(member.identity)
        if known is not None and member.started_at_ms != known.started_at_ms:
            return member.started_at_ms < known.started_at_ms
        last = self._last_announcements.get(member.identity)
        if last is None or last.started_at_ms != member.started_at_ms:
            return False
        if sequence >= last.sequence:
            return False
        return member.started_at_ms > 0 or now - last.at < LATE_ANNOUNCEMENT_S

    def _displaced_by(self, member: AnnouncedMember) -> tuple[str, ...]:
        """Return the other recorded members that have the address of this one."""
        return tuple(
            name
            for name, known in self._members.items()
            if known.address == member.address and name != member.identity
        )


def _reverts_drain(known: AnnouncedMember, member: AnnouncedMember) -> bool:
    """Return whether a draining incarnation claims at the same address to be ready."""
    if known.state is not MemberState.DRAINING or member.state is not MemberState.READY:
        return False
    is_same = known.started_at_ms == member.started_at_ms
    return is_same and known.address == member.address
