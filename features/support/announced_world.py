"""A leader with one group of announced members and connected proxies, on virtual time."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from features.support.control_builders import StateUnderTest
from limedyke.core.control.events import (
    AuthorityAnswered,
    AuthorityOutcome,
    HeartbeatReceived,
    LogDecision,
    MemberReported,
    PrimaryClaimed,
    Propose,
    ProxyConnected,
    RequestPromotion,
    SendToProxy,
    TimePassed,
    UpdateApplied,
)
from limedyke.core.control.leader import LeaderDecisions
from limedyke.core.control.timing import ControlTiming
from limedyke.messages.control import (
    MemberHealth,
    MemberReport,
    PrimaryClaim,
    PrimaryQuery,
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
MS_PER_S = 1_000
FIRST_CLAIMED_TERM = 9
"""Above the terms that the proxies' reports name."""


@dataclass(frozen=True, slots=True)
class _OpenQuery:
    """A query for the primary that a proxy repeats at its member until a moment."""

    proxy: str
    query: PrimaryQuery
    until: float


def a_member(identity: str, role: str) -> AnnouncedMember:
    """Return a member; ``role`` is primary or replica, optionally preceded by draining."""
    state = MemberState.DRAINING if "draining" in role else MemberState.READY
    address = f"127.0.0.{ord(identity)}:1"
    return AnnouncedMember(identity, GROUP, address, "z", "v1", 3, state, "primary" in role)


class AnnouncedWorld:
    """Applies proposals immediately; proxies confirm them, except those in ``unconfirming``.

    :param started_at_ms: start time of all members; 0 if they do not report it
    :param synchronous_replicas: replicas for which the group's commits wait
    :param reports_claims: whether proxies that connect ask members who leads
    :ivar true_roles: whether a member leads, where that is not what it announced last
    :ivar claimed_term: term that a member says that it leads
    """

    def __init__(
        self,
        members: dict[str, str],
        started_at_ms: int = 0,
        synchronous_replicas: int = 0,
        reports_claims: bool = True,
    ) -> None:
        self.now = 100.0
        self.test = StateUnderTest()
        self.version = 0
        self.test.apply(self._declaration(synchronous_replicas))
        self.members = {
            name: replace(a_member(name, role), started_at_ms=started_at_ms)
            for name, role in members.items()
        }
        self.test.apply(RecordMembers(tuple(self.members.values())))
        self.silent: set[str] = set()
        self.unconfirming: set[str] = set()
        self.sequences = dict.fromkeys(members, 1)
        self.calls: list[RequestPromotion] = []
        self.decisions: list[str] = []
        self.heartbeats = 0
        self.proxies = list(PROXIES)
        self.timing = ControlTiming(lease_s=30.0)
        self.reports_claims = reports_claims
        self.true_roles: dict[str, bool] = {}
        self.claimed_term = FIRST_CLAIMED_TERM
        self._open_queries: list[_OpenQuery] = []
        self.lead()

    def _declaration(self, synchronous_replicas: int) -> DeclareVersion:
        self.version += 1
        group = Group(
            GROUP,
            (),
            30,
            1,
            (TenantAccess("shared", GROUP, "", "", 30),),
            "",
            PromotionMode.AUTHORITY,
            announced=True,
            synchronous_replicas=synchronous_replicas,
        )
        return DeclareVersion(self.version, b"{}", Declaration(groups=(group,)))

    def declare(self, synchronous_replicas: int) -> None:
        """Declare how many replicas the group's commits wait for."""
        self.apply(self._declaration(synchronous_replicas))
        self.post()

    def lead(
        self, found_by: Iterable[str] | None = None, heard: Iterable[str] | None = None
    ) -> None:
        """Start a new leader.

        :param found_by: the proxies that connect to it; None for all
        :param heard: the members that announce themselves to it; None for all
        """
        random_generator = random.Random(1)
        self.leader = LeaderDecisions(self.test.state, self.timing, 3, random_generator, self.now)
        for name in self.proxies if found_by is None else found_by:
            self._connect(name)
        for name in list(self.members) if heard is None else heard:
            self.announce(name)

    def add_proxies(self, names: Iterable[str]) -> None:
        """Connect further proxies."""
        for name in names:
            self.proxies.append(name)
            self._connect(name)

    def _connect(self, name: str) -> None:
        """Connect a proxy, or connect it again."""
        address = f"127.1.0.{len(name)}:{ord(name[-1])}"
        hello = ProxyHello(
            name,
            1,
            address,
            "z",
            0,
            0,
            reports_positions=True,
            reports_claims=self.reports_claims,
        )
        self.post(ProxyConnected(hello))
        self.beat(name, first=True)

    def home_proxies(self) -> tuple[str, ...]:
        """Return the home proxies of the group."""
        return self.leader.homes.homes(GROUP)

    def post(self, *events: object) -> None:
        """Handle events, and execute the resulting commands."""
        for event in events:
            self.leader.handle(event, self.now)
        while commands := self.leader.take_commands():
            for command in commands:
                if isinstance(command, RequestPromotion):
                    self.calls.append(command)
                elif isinstance(command, Propose):
                    self.apply(command.entry)
                elif isinstance(command, SendToProxy):
                    self.deliver(command.proxy, command.message)
                elif isinstance(command, LogDecision):
                    self.decisions.append(command.text)

    def deliver(self, proxy: str, message: object) -> None:
        """Deliver a message to a proxy, which only handles queries for the primary."""
        if isinstance(message, PrimaryQuery):
            until = self.now + message.timeout_ms / MS_PER_S
            self._open_queries.append(_OpenQuery(proxy, message, until))
            self.answer_queries()

    def answer_queries(self) -> None:
        """Let proxies report the members that say that they lead, in answer to open queries."""
        self._open_queries = [found for found in self._open_queries if self.now <= found.until]
        for found in list(self._open_queries):
            if found in self._open_queries and self.tells_lead(found.proxy, found.query.member):
                self._open_queries.remove(found)
                self._claim(found.proxy, found.query)

    def tells_lead(self, proxy: str, member: str) -> bool:
        """Tell whether a member answers a proxy now that it leads."""
        known = self.members.get(member)
        return known is not None and self.true_roles.get(member, known.is_primary)

    def _claim(self, proxy: str, query: PrimaryQuery) -> None:
        started_at_ms = self.members[query.member].started_at_ms
        claim = PrimaryClaim(GROUP, query.round_id, query.member, started_at_ms, self.claimed_term)
        self.post(PrimaryClaimed(proxy, claim))

    def apply(self, entry: object) -> None:
        """Apply an entry, and notify the leader."""
        update = self.test.apply(entry).update
        if update is not None:
            self.leader.handle(UpdateApplied(update), self.now)

    def beat(self, proxy: str, first: bool = False) -> None:
        """Deliver a heartbeat; it confirms the applied index, unless the proxy is unconfirming."""
        self.heartbeats += 1
        index = 0 if proxy in self.unconfirming else self.test.state.control_index
        beat = ProxyHeartbeat(self.heartbeats, index, 0, ProxyState.SERVING, 0)
        self.post(HeartbeatReceived(proxy, beat, first))

    def announce(self, name: str, role: str | None = None) -> None:
        """Deliver an announcement of a member, with a new role if given."""
        if role is not None:
            started = self.members[name].started_at_ms if name in self.members else 0
            self.members[name] = replace(a_member(name, role), started_at_ms=started)
        self.sequences[name] = self.sequences.get(name, 0) + 1
        tracker = self.leader.announcements
        entry = tracker.announced(self.members[name], self.sequences[name], self.now)
        if entry is not None:
            self.apply(entry)
        self.post()
        self.answer_queries()

    def start_again(self, name: str, role: str, later_ms: int = 1_000) -> None:
        """Restart a member under its identity; it announces itself."""
        started = self.members[name].started_at_ms + later_ms
        self.members[name] = replace(a_member(name, role), started_at_ms=started)
        self.sequences[name] = 0
        self.announce(name)

    def withdraw(self, name: str) -> None:
        """Withdraw a member."""
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
        """Deliver proxies' reports on members, with the position and term of their logs.

        :param leads: whether they report it as the primary; None for the recorded state
        :param started_at_ms: start time of the observed incarnation; None for the current one
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
        """Deliver the outcome of the newest call to the authority."""
        call = self.calls[-1]
        self.post(AuthorityAnswered(call.group, call.fence, outcome))

    def run(self, seconds: float) -> None:
        """Advance the clock; members announce themselves and proxies send heartbeats."""
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
            self.answer_queries()

    @property
    def primary(self) -> str:
        """The recorded primary, or an empty string."""
        recorded = self.test.state.primaries.get(GROUP)
        return recorded.primary if recorded is not None else ""


def with_address_of(member: AnnouncedMember, other: AnnouncedMember) -> AnnouncedMember:
    """Return a member with another one's address."""
    return replace(member, address=other.address)
