"""An index of the recorded members by group.

A leader evaluates each group several times a second, and a group with each report on a member.
Without an index each round would cost the number of groups times the number of members.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from limedyke.core.member_record import invalid_field
from limedyke.messages.databases import AnnouncedMember


class GroupMembers:
    """An index of the recorded members, updated as changes are applied.

    :param members: the recorded members by identity, read only
    """

    def __init__(self, members: Mapping[str, AnnouncedMember]) -> None:
        self._members = members
        self._identities: dict[str, dict[str, None]] = {}
        self._groups: dict[str, str] = {}
        self.applied(members.values(), ())

    def applied(self, changed: Iterable[AnnouncedMember], removed: Iterable[str]) -> set[str]:
        """Apply a recorded change of members; return the affected groups."""
        touched = {self._drop(identity) for identity in removed}
        for member in changed:
            touched |= {self._drop(member.identity), member.group}
            self._groups[member.identity] = member.group
            self._identities.setdefault(member.group, {})[member.identity] = None
        return touched - {""}

    def of(self, group: str) -> list[AnnouncedMember]:
        """Return the members of a group whose records are valid."""
        records = (self._members.get(identity) for identity in self._identities.get(group, ()))
        return [
            member
            for member in records
            if member is not None and member.group == group and not invalid_field(member)
        ]

    def _drop(self, identity: str) -> str:
        """Remove a member; return the group that it belonged to, or an empty string."""
        group = self._groups.pop(identity, "")
        identities = self._identities.get(group, {})
        identities.pop(identity, None)
        if group and not identities:
            del self._identities[group]
        return group
