"""Members whose address now belongs to another member; their late announcements are ignored."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from limedyke.messages.control_entries import DisplacedMember, RecordMembers
from limedyke.messages.databases import AnnouncedMember

MAXIMUM_ENTRIES = 256
"""Announcements arrive at most seconds late; at 260 restarts a day this covers about a day."""


class DisplacedMembers:
    """The addresses that members lost; replicated, so that a new leader knows them too.

    A network partition may delay an announcement until its sender has crashed and another member
    has registered at its address. The sequence number does not reveal this, as it counts from the
    sender's own start. A later incarnation of the sender may reuse the address.
    """

    def __init__(self, displaced: Iterable[DisplacedMember] = ()) -> None:
        self._displaced = {member.identity: member for member in displaced}

    def recorded(self) -> tuple[DisplacedMember, ...]:
        """Return the displaced members for a snapshot, the oldest first."""
        return tuple(self._displaced.values())

    def is_displaced(self, member: AnnouncedMember) -> bool:
        """Return whether a member announces itself at an address that it has lost."""
        lost = self._displaced.get(member.identity)
        if lost is None or lost.address != member.address:
            return False
        return member.started_at_ms <= lost.started_at_ms

    def apply(self, entry: RecordMembers, known: Mapping[str, AnnouncedMember]) -> None:
        """Apply a log entry.

        :param known: the members recorded before the entry, by identity
        """
        taken = {member.address for member in entry.members}
        for member in entry.members:
            self._displaced.pop(member.identity, None)
        for identity in entry.removed:
            member = known.get(identity)
            if member is not None and member.address in taken:
                lost = DisplacedMember(identity, member.address, member.started_at_ms)
                self._displaced[identity] = lost
        while len(self._displaced) > MAXIMUM_ENTRIES:
            del self._displaced[next(iter(self._displaced))]
