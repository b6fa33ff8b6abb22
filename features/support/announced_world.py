"""A leader with one group of announced members and proxies that follow, on a clock of its own."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import replace

from features.support.control_builders import StateUnderTest
from limedyke.core.control.events import (
    AuthorityAnswered,
    AuthorityOutcome,
    HeartbeatReceived,
    MemberReported,
    Propose,
    ProxyConnected,
    RequestPromotion,
    TimePassed,
    UpdateApplied,
)
from limedyke.core.control.leader import LeaderDecisions
from limedyke.core.control.timing import ControlTiming
from limedyke.messages.control import (
    MemberHealth,
    MemberReport,
    ProxyHeartbeat,
    ProxyHello,
    ProxyState,
)
from limedyke.messages.control_entries import DeclareVersion, RecordMembers
from limedyke.messages.databases import AnnouncedMember, MemberState
from limedyke.messages.declaration import Declaration, Group, PromotionMode, TenantAccess

GROUP = "g"
STEP_S = 0.05
INTERVAL_S = 1.0
PROXIES = ("p", "q", "r")


def a_member(identity: str, role: str) -> AnnouncedMember:
    """Return a member; ``role`` is primary or replica, with draining before it or not."""
    state = MemberState.DRAINING if "draining" in role else MemberState.READY
    address = f"127.0.0.{ord(identity)}:1"
    return AnnouncedMember(identity, GROUP, address, "z", "v1", 3, state, "primary" in role)


class AnnouncedWorld:
    """Proposals are applied at once; proxies confirm what is applied, unless told not to.

    :param started_at_ms: when all members started; 0 when they do not tell
    """

    def __init__(self, members: dict[str, str], started_at_ms: int = 0) -> None:
        self.now = 100.0
        self.test = StateUnderTest()
        access = TenantAccess("shared", GROUP, "", "", 30)
        group = Group(GROUP, (), 30, 1, (access,), "", PromotionMode.AUTHORITY, announced=True)
        self.test.apply(DeclareVersion(1, b"{}", Declaration(groups=(group,))))
        self.members = {
            name: replace(a_member(name, role), started_at_ms=started_at_ms)
            for name, role in members.items()
        }
        self.test.apply(RecordMembers(tuple(self.members.values())))
        self.silent: set[str] = set()
        self.unconfirming: set[str] = set()
        self.sequences = dict.fromkeys(members, 1)
        self.calls: list[RequestPromotion] = []
        self.heartbeats = 0
        self.proxies = list(PROXIES)
        self.timing = ControlTiming(lease_s=30.0)
        self.lead()

    def lead(self, found_by: Iterable[str] | None = None) -> None:
        """Let a new leader begin.

        :param found_by: the proxies that connect to it; None for all
        """
        random_generator = random.Random(1)
        self.leader = LeaderDecisions(self.test.state, self.timing, 3, random_generator, self.now)
        for name in self.proxies if found_by is None else found_by:
            self._connect(name)
        for name in self.members:
            self.announce(name)

    def add_proxies(self, names: Iterable[str]) -> None:
        """Let further proxies connect."""
        for name in names:
            self.proxies.append(name)
            self._connect(name)

    def _connect(self, name: str) -> None:
        address = f"127.1.0.{len(name)}:{ord(name[-1])}"
        self.post(ProxyConnected(ProxyHello(name, 1, address, "z", 0, 0)))
        self.beat(name, first=True)

    def home_proxies(self) -> tuple[str, ...]:
        """Return the home proxies of the group."""
        return self.leader.homes.homes(GROUP)

    def post(self, *events: object) -> None:
        """Hand events in, and carry out what is decided."""
        for event in events:
            self.leader.handle(event, self.now)
        while commands := self.leader.take_commands():
            for command in commands:
                if isinstance(command, RequestPromotion):
                    self.calls.append(command)
                elif isinstance(command, Propose):
                    self.apply(command.entry)

    def apply(self, entry: object) -> None:
        """Apply an entry, and tell the leader and the proxies."""
        update = self.test.apply(entry).update
        if update is not None:
            self.leader.handle(UpdateApplied(update), self.now)

    def beat(self, proxy: str, first: bool = False) -> None:
        """Let a proxy send a heartbeat that confirms what is applied, unless it doesn't."""
        self.heartbeats += 1
        index = 0 if proxy in self.unconfirming else self.test.state.control_index
        beat = ProxyHeartbeat(self.heartbeats, index, 0, ProxyState.SERVING, 0)
        self.post(HeartbeatReceived(proxy, beat, first))

    def announce(self, name: str, role: str | None = None) -> None:
        """Let a member announce itself, its role changed or not."""
        if role is not None:
            started = self.members[name].started_at_ms if name in self.members else 0
            self.members[name] = replace(a_member(name, role), started_at_ms=started)
        self.sequences[name] = self.sequences.get(name, 0) + 1
        book = self.leader.announcements
        entry = book.announced(self.members[name], self.sequences[name], self.now)
        if entry is not None:
            self.apply(entry)
        self.post()

    def start_again(self, name: str, role: str, later_ms: int = 1_000) -> None:
        """Let a member start anew under its identity, and announce itself."""
        started = self.members[name].started_at_ms + later_ms
        self.members[name] = replace(a_member(name, role), started_at_ms=started)
        self.sequences[name] = 0
        self.announce(name)

    def withdraw(self, name: str) -> None:
        """Let a member end."""
        entry = self.leader.announcements.withdrawn(name, self.now)
        self.silent.add(name)
        if entry is not None:
            self.apply(entry)
        self.post()

    def report(
        self,
        proxies: str,
        members: str,
        health: MemberHealth,
        position: int = 0,
        term: int = 3,
        leads: bool | None = None,
        started_at_ms: int | None = None,
    ) -> None:
        """Let proxies report on members, whose logs they have seen up to a position in a term.

        :param leads: whether they think that it leads; None for what is recorded
        :param started_at_ms: of the incarnation that they have seen; None for the present one
        """
        for proxy in proxies.split():
            for member in members.split():
                known_start = self.members[member].started_at_ms if member in self.members else 0
                report = MemberReport(
                    GROUP,
                    member,
                    health,
                    term,
                    position,
                    member == self.primary if leads is None else leads,
                    known_start if started_at_ms is None else started_at_ms,
                )
                self.post(MemberReported(proxy, report))

    def answer(self, outcome: AuthorityOutcome) -> None:
        """Let the authority answer the newest call."""
        call = self.calls[-1]
        self.post(AuthorityAnswered(call.group, call.fence, outcome))

    def run(self, seconds: float) -> None:
        """Let time pass; members announce themselves and proxies send heartbeats meanwhile."""
        end = self.now + seconds
        next_beat = self.now + INTERVAL_S
        while self.now < end - 1e-9:
            self.now += STEP_S
            for name in self.proxies:
                if name not in self.unconfirming:
                    self.beat(name)
            if self.now >= next_beat:
                next_beat += INTERVAL_S
                for name in self.members:
                    if name not in self.silent:
                        self.announce(name)
            self.post(TimePassed())

    @property
    def primary(self) -> str:
        """The recorded primary, or an empty string."""
        recorded = self.test.state.primaries.get(GROUP)
        return recorded.primary if recorded is not None else ""


def with_address_of(member: AnnouncedMember, other: AnnouncedMember) -> AnnouncedMember:
    """Return a member at another one's address."""
    return replace(member, address=other.address)
