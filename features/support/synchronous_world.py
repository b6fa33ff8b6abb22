"""A group whose commits wait for replicas: logs, position queries and acknowledgements.

Virtual time, no network.  The leader's decisions and the proxies' rule on acknowledgements are the
product's; members and proxies are models.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from features.support.announced_world import GROUP, INTERVAL_S, AnnouncedWorld, a_member
from limedyke.core.control.events import AuthorityOutcome, PositionReported
from limedyke.core.statements.acknowledgement import AcknowledgementRule, Office, Permission
from limedyke.messages.control import PositionQuery, PositionReport
from limedyke.messages.work import LogPosition

FIRST_TERM = 3
JOINED_AT_MS = 5_000


@dataclass(slots=True)
class ModelMember:
    """One member.

    :ivar log: terms and numbers of the commits that it has received
    :ivar is_deaf: it receives nothing
    :ivar is_held: a proxy told it to receive nothing
    :ivar is_draining: it announces that it will leave, until it restarts
    :ivar is_down: it answers nobody and announces nothing
    :ivar unreached_by: proxies that do not reach it
    :ivar empty_term: term that it names with an empty log
    """

    identity: str
    log: list[LogPosition] = field(default_factory=list)
    is_primary: bool = False
    is_deaf: bool = False
    is_held: bool = False
    is_draining: bool = False
    is_down: bool = False
    unreached_by: set[str] = field(default_factory=set)
    empty_term: int = FIRST_TERM

    @property
    def position(self) -> LogPosition:
        """The last position received."""
        return self.log[-1] if self.log else LogPosition(self.empty_term, 0)


@dataclass(slots=True)
class SentCommit:
    """A commit that a proxy sent to a member.

    :param answer_at: when the answer of the member reaches the proxy at the earliest
    """

    position: LogPosition
    sent_under: Office
    proxy: str
    answer_at: float


class SynchronousWorld(AnnouncedWorld):
    """Plays commits, promotions and position queries.

    :param members: roles by identity
    :param synchronous_replicas: replicas that must have received a commit before it is answered

    :ivar knows_hold: whether members know how to stop receiving
    :ivar acknowledged: commits that clients know to be kept
    :ivar lost: acknowledged commits that a member lacked when it was promoted
    :ivar queries: the queries that proxies received
    :ivar reports: the reports that proxies sent
    """

    def __init__(self, members: dict[str, str], synchronous_replicas: int = 1) -> None:
        self.models = {
            name: ModelMember(name, is_primary=role == "primary") for name, role in members.items()
        }
        self.knows_hold = True
        self.member_term = FIRST_TERM
        self.required = synchronous_replicas
        self.acknowledged: set[LogPosition] = set()
        self.lost: list[tuple[str, set[LogPosition]]] = []
        self.queries: list[PositionQuery] = []
        self.reports: list[tuple[str, PositionReport]] = []
        self.sent_commits: list[SentCommit] = []
        self.number = 0
        self.leader_name = next(name for name, role in members.items() if role == "primary")
        self._announced_at = 0.0
        self._rules: dict[str, AcknowledgementRule] = {}
        self._known: dict[str, Office] = {}
        self._lease_ends: dict[str, float] = {}
        super().__init__(members, JOINED_AT_MS, synchronous_replicas)

    def run(self, seconds: float) -> None:
        """Advance the clock; members announce themselves also when it advances in small steps."""
        super().run(seconds)
        if self.now - self._announced_at >= INTERVAL_S:
            self._announced_at = self.now
            for name in list(self.members):
                if name not in self.silent:
                    self.announce(name)

    def beat(self, proxy: str, first: bool = False) -> None:
        """Deliver a heartbeat; the proxy has applied the recorded primary and has a new lease."""
        rule = self._rules.setdefault(proxy, AcknowledgementRule())
        recorded = self.test.state.primaries.get(GROUP)
        office = Office(recorded.primary, recorded.term) if recorded is not None else Office()
        if office != self._known.get(proxy, Office()):
            rule.primary_recorded(office, self._lease_ends.get(proxy, 0.0), self.now)
            self._known[proxy] = office
        self._lease_ends[proxy] = self.now + self.timing.primary_lease_s
        super().beat(proxy, first)
        self.answer_commits()
        if self.primary:
            self._release_held()

    def _release_held(self) -> None:
        """Release held members, as home proxies do once a primary is recorded."""
        for name, model in self.models.items():
            if model.is_held and not model.is_down:
                self.release(name)

    def deliver(self, proxy: str, message: object) -> None:
        """Answer a position query for each member that the proxy reaches."""
        if not isinstance(message, PositionQuery):
            super().deliver(proxy, message)
            return
        self.queries.append(message)
        for name in message.members:
            model = self.models.get(name)
            if model is None or model.is_down or proxy in model.unreached_by:
                continue
            if proxy in self.unconfirming:
                continue
            if message.hold and not model.is_primary:
                model.is_held = self.knows_hold
            elif model.is_held:
                self.release(name)
            started_at_ms = self.members[name].started_at_ms
            report = PositionReport(GROUP, message.round_id, name, started_at_ms, model.position)
            self.reports.append((proxy, report))
            self.post(PositionReported(proxy, report))

    def tells_lead(self, proxy: str, member: str) -> bool:
        """Tell whether a member answers a proxy now that it leads."""
        model = self.models.get(member)
        if model is None or model.is_down or proxy in model.unreached_by:
            return False
        return model.is_primary and proxy not in self.unconfirming

    def release(self, name: str) -> None:
        """Let a held member receive again."""
        model = self.models[name]
        model.is_held = False
        self._receive(model)

    def listen(self, name: str) -> None:
        """End a member's deafness."""
        self.models[name].is_deaf = False
        self._receive(self.models[name])

    def _receive(self, model: ModelMember) -> None:
        """Copy what the primary has to a member, unless something prevents it."""
        lead = self.primary_model
        if lead is None or lead is model or model.is_deaf or model.is_held or model.is_down:
            return
        model.log = list(lead.log)

    @property
    def primary_model(self) -> ModelMember | None:
        """The running primary, or None."""
        leading = (m for m in self.models.values() if m.is_primary and not m.is_down)
        return next(leading, None)

    def commit(self, proxy: str = "p", travel_s: float = 0.0) -> SentCommit | None:
        """Commit a write at the primary; None without one.

        :param travel_s: how long the answer travels at least
        """
        lead = self.primary_model
        if lead is None or proxy in lead.unreached_by:
            return None
        self.number += 1
        position = LogPosition(self.member_term, self.number)
        lead.log.append(position)
        for model in self.models.values():
            self._receive(model)
        rule = self._rules[proxy]
        sent = SentCommit(position, rule.office_of(lead.identity), proxy, self.now + travel_s)
        self.sent_commits.append(sent)
        self.answer_commits()
        return sent

    def answer_commits(self) -> None:
        """Acknowledge the commits that enough replicas hold, where the proxy's rule allows it."""
        for sent in list(self.sent_commits):
            member = self.models.get(sent.sent_under.member)
            holders = [
                m for m in self.models.values() if sent.position in m.log and m is not member
            ]
            if member is None or sent.position not in member.log:
                self.sent_commits.remove(sent)
                continue
            is_answered = member.is_primary and not member.is_down and len(holders) >= self.required
            if not is_answered or self.now < sent.answer_at:
                continue
            permission = self._rules[sent.proxy].permission(
                sent.sent_under, self._lease_ends[sent.proxy], self.now
            )
            if permission is Permission.GRANTED:
                self.acknowledged.add(sent.position)
            if permission is not Permission.PENDING:
                self.sent_commits.remove(sent)

    def crash(self, name: str) -> None:
        """Crash a member, which says nothing any more."""
        self.models[name].is_down = True
        self.silent.add(name)

    def come_back(self, name: str) -> None:
        """Restart a crashed member with its log, as a replica if another was promoted."""
        model = self.models[name]
        model.is_down = model.is_held = False
        model.is_primary = name == self.leader_name
        self._receive(model)
        self.silent.discard(name)
        self.announce(name, self.role_of(name))

    def come_back_empty(self, name: str, leads: bool = False) -> None:
        """Restart a member with an empty log; a replica receives nothing until ``listen``.

        :param leads: whether it claims to be the primary
        """
        model = self.models[name]
        model.log = []
        model.is_draining = False
        model.is_down = model.is_held = False
        model.is_primary = leads
        model.is_deaf = True
        self.silent.discard(name)
        self.start_again(name, self.role_of(name))

    def join(self, name: str) -> None:
        """Let a new replica join, with an empty log until ``listen``."""
        self.models[name] = ModelMember(name, is_deaf=True)
        self.members[name] = replace(a_member(name, "replica"), started_at_ms=JOINED_AT_MS)
        self.silent.discard(name)
        self.announce(name)

    def leave(self, name: str) -> None:
        """Let a member withdraw and end."""
        self.models.pop(name)
        self.withdraw(name)
        self.members.pop(name)

    def carry_out_call(self) -> None:
        """Carry out the newest call to the authority: its member leads with what it has."""
        name = self.calls[-1].member
        model = self.models.get(name)
        if model is None or model.is_down:
            self.answer(AuthorityOutcome.REFUSED)
            return
        self.answer(AuthorityOutcome.PROMOTED)
        self.lead_by_promotion(model)

    def lead_by_promotion(self, model: ModelMember) -> None:
        """Let a member lead the next term; the others are cut back to its log."""
        lacking = self.acknowledged - set(model.log)
        if lacking:
            self.lost.append((model.identity, lacking))
            self.acknowledged -= lacking
        if not model.is_primary:
            self.member_term += 1
        self.leader_name = model.identity
        for other in self.models.values():
            other.is_primary = other is model
            other.is_held = False
            other.log = [position for position in other.log if position in model.log]
        for name, other in self.models.items():
            if not other.is_down:
                self._receive(other)
                self.announce(name, self.role_of(name))

    def drain(self, name: str) -> None:
        """Let a member announce that it will leave."""
        self.models[name].is_draining = True
        self.announce(name, self.role_of(name))

    def role_of(self, name: str) -> str:
        """Return what a member announces of itself."""
        model = self.models[name]
        role = "primary" if model.is_primary else "replica"
        return f"draining {role}" if model.is_draining else role
