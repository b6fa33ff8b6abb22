"""The recorded term and primary of each group, and the targets of planned switchovers."""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import replace

from limedyke.messages.control import GroupPrimary
from limedyke.messages.control_entries import GrantTerms, RecordPrimaries, SwitchoverTarget


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
            changed.append(self.keep(GroupPrimary(grant.group, grant.term, "", fence=index)))
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
            recorded = GroupPrimary(
                change.group,
                change.term,
                change.primary,
                fence=known.fence,
                started_at_ms=change.started_at_ms,
            )
            changed.append(self.keep(recorded))
        return tuple(changed)
