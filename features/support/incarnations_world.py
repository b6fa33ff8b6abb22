"""Members that restart under their identities, before a leader's announcement tracker."""

from __future__ import annotations

from dataclasses import replace

from features.support.announced_world import a_member, with_address_of
from features.support.control_builders import StateUnderTest
from limedyke.core.control.announcements import AnnouncementTracker
from limedyke.core.control.state import ControlState
from limedyke.messages.control_entries import RecordMembers
from limedyke.messages.databases import AnnouncedMember

NOW = 50.0
FIRST_START_MS = 1_790_000_000_000
BETWEEN_STARTS_MS = 1_000
NOT_REPORTED = 0


def start_of(incarnation: int) -> int:
    """Return the start time of an incarnation; number 0 has none and gives 0."""
    return FIRST_START_MS + incarnation * BETWEEN_STARTS_MS if incarnation else NOT_REPORTED


def incarnation_of(started_at_ms: int) -> int:
    """Return the number of the incarnation with this start time."""
    return (started_at_ms - FIRST_START_MS) // BETWEEN_STARTS_MS if started_at_ms else NOT_REPORTED


class IncarnationsWorld:
    """An announcement tracker over a control state; its entries are applied immediately.

    :param roles: primary or replica, by identity
    :param telling: members that report their start time
    :ivar recorded: the entry that the last event caused, or None
    """

    def __init__(self, roles: dict[str, str], telling: set[str]) -> None:
        self.now = NOW
        self.test = StateUnderTest()
        self.recorded: RecordMembers | None = None
        self.members = {
            name: replace(a_member(name, role), started_at_ms=start_of(int(name in telling)))
            for name, role in roles.items()
        }
        self.test.apply(RecordMembers(tuple(self.members.values())))
        self.lead()
        for name in roles:
            self.announce(name, 5)

    def lead(self) -> None:
        """Start a new leader."""
        state = self.test.state
        self.tracker = AnnouncementTracker(state.announced, state.displaced, self.now, state.ended)

    def read_snapshot(self) -> None:
        """Reload the state from a snapshot, and start a new leader."""
        self.test.state = ControlState.from_bytes(self.test.state.to_bytes())
        self.lead()

    def start_again(self, name: str, elsewhere: bool) -> None:
        """Restart a member under its identity."""
        known = self.members[name]
        started = start_of(incarnation_of(known.started_at_ms) + 1)
        address = f"127.9.9.{ord(name)}:1" if elsewhere else known.address
        again = a_member(name, "replica")
        self.members[name] = replace(again, started_at_ms=started, address=address)

    def take_address(self, name: str, other: str) -> None:
        """Announce a new member at the address of another one."""
        member = with_address_of(a_member(name, "replica"), self.members[other])
        self.members[name] = replace(member, started_at_ms=self.members[other].started_at_ms)
        self.announce(name, 1)

    def drain(self, name: str) -> None:
        """Announce that a member drains."""
        role = "draining primary" if self.members[name].is_primary else "draining replica"
        drained = replace(self.members[name], state=a_member(name, role).state)
        self._take(self.tracker.announced(drained, 6, self.now))

    def announce(self, name: str, number: int, incarnation: int | None = None) -> None:
        """Deliver an announcement of a member, or of an earlier incarnation of it."""
        member = self.members.get(name) or a_member(name, "replica")
        if incarnation is not None:
            member = self._of(name, incarnation)
        self._take(self.tracker.announced(member, number, self.now))

    def withdraw(self, name: str, incarnation: int | None = None) -> None:
        """Withdraw a member."""
        member = self.members[name] if incarnation is None else self._of(name, incarnation)
        self._take(self.tracker.withdrawn(name, self.now, member.started_at_ms))

    def _of(self, name: str, incarnation: int) -> AnnouncedMember:
        member = self.members.get(name) or a_member(name, "replica")
        address = a_member(name, "replica").address
        return replace(member, started_at_ms=start_of(incarnation), address=address)

    def _take(self, entry: RecordMembers | None) -> None:
        self.recorded = entry
        if entry is not None:
            self.test.apply(entry)

    def recorded_text(self) -> str:
        """Return a summary of the last recorded entry."""
        entry = self.recorded
        if entry is None:
            return "-"
        parts = [f"{m.identity} of {incarnation_of(m.started_at_ms)}" for m in entry.members]
        parts += [f"without {name}" for name in entry.removed]
        if not parts:
            parts = [
                f"{e.identity} of {incarnation_of(e.started_at_ms)} ended" for e in entry.ended
            ]
        return ", ".join(parts)
