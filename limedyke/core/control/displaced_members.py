"""Members whose address has passed to another one: what they say late counts no more; sans-IO."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from limedyke.messages.control_entries import DisplacedMember, RecordMembers
from limedyke.messages.databases import AnnouncedMember

MAXIMUM_KEPT = 256
"""An announcement comes some seconds late; at 260 restarts a day this keeps a day's."""


class DisplacedMembers:
    """The addresses that members lost, kept in the log so that a new leader knows them too.

    An announcement may be held up by a cut until after its sender crashed and another member
    registered at its address. Its number says nothing: it counts from the sender's own start.
    A later incarnation may have the address again.
    """

    def __init__(self, displaced: Iterable[DisplacedMember] = ()) -> None:
        self._displaced = {member.identity: member for member in displaced}

    def recorded(self) -> tuple[DisplacedMember, ...]:
        """Return them as they stand in a snapshot, the oldest first."""
        return tuple(self._displaced.values())

    def is_displaced(self, member: AnnouncedMember) -> bool:
        """Tell whether a member announces itself at an address that it has lost."""
        lost = self._displaced.get(member.identity)
        if lost is None or lost.address != member.address:
            return False
        return member.started_at_ms <= lost.started_at_ms

    def apply(self, entry: RecordMembers, known: Mapping[str, AnnouncedMember]) -> None:
        """Follow an entry of the log.

        :param known: the members recorded before it, by identity
        """
        taken = {member.address for member in entry.members}
        for member in entry.members:
            self._displaced.pop(member.identity, None)
        for identity in entry.removed:
            member = known.get(identity)
            if member is not None and member.address in taken:
                lost = DisplacedMember(identity, member.address, member.started_at_ms)
                self._displaced[identity] = lost
        while len(self._displaced) > MAXIMUM_KEPT:
            del self._displaced[next(iter(self._displaced))]
