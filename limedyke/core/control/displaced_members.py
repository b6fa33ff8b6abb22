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
    """

    def __init__(self, displaced: Iterable[DisplacedMember] = ()) -> None:
        self._addresses = {member.identity: member.address for member in displaced}

    def recorded(self) -> tuple[DisplacedMember, ...]:
        """Return them as they stand in a snapshot, the oldest first."""
        return tuple(DisplacedMember(*item) for item in self._addresses.items())

    def is_displaced(self, member: AnnouncedMember) -> bool:
        """Tell whether a member announces itself at an address that it has lost."""
        return self._addresses.get(member.identity) == member.address

    def apply(self, entry: RecordMembers, known: Mapping[str, AnnouncedMember]) -> None:
        """Follow an entry of the log.

        :param known: the members recorded before it, by identity
        """
        taken = {member.address for member in entry.members}
        for member in entry.members:
            self._addresses.pop(member.identity, None)
        for identity in entry.removed:
            member = known.get(identity)
            if member is not None and member.address in taken:
                self._addresses[identity] = member.address
        while len(self._addresses) > MAXIMUM_KEPT:
            del self._addresses[next(iter(self._addresses))]
