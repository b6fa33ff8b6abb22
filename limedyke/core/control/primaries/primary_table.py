"""The recorded term and primary of each group, and the targets of planned switchovers."""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import replace

from limedyke.messages.control import Departure, GroupPrimary
from limedyke.messages.control_entries import (
    GrantTerms,
    ProveDepartures,
    RecordPrimaries,
    SwitchoverTarget,
)
from limedyke.messages.databases import AnnouncedMember
from limedyke.messages.work import FIRST_POSITION


class PrimaryTable:
    """The recorded primary of each group.

    A log entry takes effect only if the term it was based on is still the recorded one.

    :ivar primaries: recorded primaries by group; groups without a record are absent
    :ivar switchover_targets: target member of the planned switchover, by group
    """

    def __init__(
        self,
        primaries: Iterable[GroupPrimary] = (),
        switchover_targets: Iterable[SwitchoverTarget] = (),
    ) -> None:
        self.primaries = {primary.group: primary for primary in primaries}
        self.switchover_targets = {target.group: target.member for target in switchover_targets}

    def recorded_targets(self) -> tuple[SwitchoverTarget, ...]:
        """Return the targets of planned switchovers, for the snapshot."""
        return tuple(
            SwitchoverTarget(group, member) for group, member in self.switchover_targets.items()
        )

    def find(self, group: str, declared: Container[str]) -> GroupPrimary | None:
        """Return the record of a group, with term 0 if there is none.

        :param declared: the names of the declared groups
        :returns: None if the group is not declared
        """
        if group not in declared:
            return None
        return self.primaries.get(group, GroupPrimary(group, 0, ""))

    def keep(self, primary: GroupPrimary) -> GroupPrimary:
        """Record a group's term and primary, and return them."""
        self.primaries[primary.group] = primary
        return primary

    def begin_switchover(self, known: GroupPrimary, target: str) -> GroupPrimary:
        """Record the start of a planned switchover; return the new record.

        :param known: the current record of the group
        :param target: the member that is to become the primary
        """
        self.switchover_targets[known.group] = target
        return self.keep(replace(known, switching_over=True))

    def forget(self, group: str) -> None:
        """Remove the record of a group that is no longer declared."""
        self.primaries.pop(group, None)
        self.switchover_targets.pop(group, None)

    def grant_terms(
        self, index: int, entry: GrantTerms, declared: Container[str]
    ) -> tuple[GroupPrimary, ...]:
        """Record higher terms without a primary; return the changed records.

        :param index: log index of the entry, which is the fencing number of these terms
        """
        changed = []
        for grant in entry.grants:
            known = self.find(grant.group, declared)
            if known is None or known.term != grant.expected_term or grant.term <= known.term:
                continue
            granted = replace(
                known,
                term=grant.term,
                primary="",
                switching_over=False,
                fence=index,
                replaced=known.primary or known.replaced,
            )
            changed.append(self.keep(granted))
        return tuple(changed)

    def record_primaries(
        self, entry: RecordPrimaries, declared: Container[str]
    ) -> tuple[GroupPrimary, ...]:
        """Record the primaries of terms; return the changed records."""
        changed = []
        for change in entry.changes:
            known = self.find(change.group, declared)
            if known is None or known.term != change.expected_term or change.term < known.term:
                continue
            if change.term == known.term and known.primary:
                continue
            self.switchover_targets.pop(change.group, None)
            recorded = replace(
                known,
                term=change.term,
                primary=change.primary,
                switching_over=False,
                started_at_ms=change.started_at_ms,
                replaced="",
                floor=max(known.floor, change.position),
                departures=() if change.position > FIRST_POSITION else known.departures,
            )
            changed.append(self.keep(recorded))
        return tuple(changed)

    def add_departure(self, group: str, departure: Departure) -> None:
        """Record a departure from a group, unless it has no primary yet or it is the primary's.

        The primary's own departure is known from the record: it is the primary, or was replaced.
        """
        known = self.primaries.get(group)
        if known is None or known.term == 0:
            return
        if departure.identity == (known.primary or known.replaced):
            return
        self.keep(replace(known, departures=(*known.departures, departure)))

    def member_returned(self, member: AnnouncedMember) -> None:
        """Forget the departure of an incarnation that comes back, with its log."""
        known = self.primaries.get(member.group)
        if known is None:
            return
        left = tuple(
            found
            for found in known.departures
            if (found.identity, found.started_at_ms) != (member.identity, member.started_at_ms)
        )
        if left != known.departures:
            self.keep(replace(known, departures=left))

    def prove_departures(self, entry: ProveDepartures) -> None:
        """Forget the departures that a proof covers."""
        known = self.primaries.get(entry.group)
        if known is not None:
            left = tuple(found for found in known.departures if found.index > entry.up_to_index)
            self.keep(replace(known, departures=left))
