"""The members of one service: a primary, its replicas and their logs."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from review.standins2.record import Record

RECEIVE_S = 0.008
"""Time until a replica has received a commit."""


@dataclass(frozen=True, slots=True)
class Commit:
    """A commit that writes: its position and what it wrote."""

    term: int
    number: int
    request_id: str
    writes: tuple[tuple[str, str], ...]


@dataclass(slots=True, eq=False)
class Member:
    """One member.

    :ivar log: the commits that it has received, which it has applied as well
    :ivar receives: False while it receives nothing from its primary
    :ivar held_term: term in which it was told to stop receiving; 0 for none
    :ivar is_running: False once it has crashed or ended
    :ivar is_dark: it answers nothing and its connections are silent
    """

    identity: str
    ip: str
    port: int
    zone: str
    log: list[Commit] = field(default_factory=list)
    receives: bool = True
    held_term: int = 0
    is_running: bool = True
    is_dark: bool = False
    connections: int = 0
    busy: int = 0

    @property
    def address(self) -> str:
        """The address that it announces."""
        return f"{self.ip}:{self.port}"


class Group:
    """The service: who leads which term, and how commits reach the replicas.

    :param synchronous: how many replicas have received a commit before it is answered: 0 or 1
    :ivar work_s: time that a statement takes a slot; 0 for the usual one
    :ivar runs: when a member ran a client's statement, and its identity
    """

    def __init__(self, name: str, synchronous: int, record: Record) -> None:
        self.name = name
        self.synchronous = synchronous
        self.members: dict[str, Member] = {}
        self.primary = ""
        self.term = 1
        self.record = record
        self.work_s = 0.0
        self.runs: list[tuple[float, str]] = []
        self._changed = asyncio.Event()

    def add(self, member: Member) -> None:
        """Add a member; one that joins has the log of the primary."""
        leader = self.members.get(self.primary)
        if leader is not None:
            member.log = list(leader.log)
        self.members[member.identity] = member
        if not self.primary:
            self.primary = member.identity
            member.log = [Commit(self.term, 1, "first", ())]
        self.record.write("member-starts", id=member.identity, primary=self.leads(member))

    def leads(self, member: Member) -> bool:
        """Tell whether a member is the primary."""
        return member.identity == self.primary

    def position(self, member: Member) -> str:
        """Return the position of a member's last commit."""
        if not member.log:
            return f"{self.term}.0"
        return f"{member.log[-1].term}.{member.log[-1].number}"

    def holds(self, member: Member, position: str) -> bool:
        """Tell whether a member has applied a position."""
        term, _, number = position.partition(".")
        last = (member.log[-1].term, member.log[-1].number) if member.log else (0, 0)
        return last >= (int(term), int(number))

    def note_run(self, member: Member, request_id: str, text: str) -> None:
        """Record that a member runs a client's statement."""
        self.runs.append((self.record.now(), member.identity))
        self.record.write("runs", id=member.identity, request=request_id, text=text)

    async def commit(
        self, member: Member, request_id: str, writes: tuple[tuple[str, str], ...]
    ) -> Commit | None:
        """Commit on the primary; None if it lost the lead or ended before it may answer."""
        if not self.leads(member) or not member.is_running:
            return None
        number = member.log[-1].number + 1 if member.log else 1
        made = Commit(self.term, number, request_id, writes)
        member.log.append(made)
        term = self.term
        asyncio.get_running_loop().call_later(RECEIVE_S, self.replicate)
        while self.synchronous and not self._is_received(member, made):
            self._changed.clear()
            await self._changed.wait()
            if self.term != term or not member.is_running:
                return None
        return made

    def _is_received(self, leader: Member, commit: Commit) -> bool:
        others = (m for m in self.members.values() if m is not leader and m.is_running)
        return any(commit in member.log[-400:] for member in others)

    def replicate(self) -> None:
        """Bring the primary's commits to all replicas that receive."""
        leader = self.members[self.primary]
        if leader.is_running and not leader.is_dark:
            for member in self.members.values():
                if member is not leader and self._receives(member):
                    member.log += leader.log[len(member.log) :]
        self._changed.set()

    @staticmethod
    def _receives(member: Member) -> bool:
        return member.is_running and member.receives and not member.held_term

    def promote(self, identity: str) -> None:
        """Make a member the primary of the next term with the log that it has."""
        self.term += 1
        self.primary = identity
        leader = self.members[identity]
        for member in self.members.values():
            member.held_term = 0
            common = 0
            for mine, lead in zip(member.log, leader.log, strict=False):
                if mine != lead:
                    break
                common += 1
            del member.log[common if member is not leader else len(member.log) :]
        self.record.write("leads", id=identity, term=self.term, position=self.position(leader))
        self.replicate()

    def hold(self, member: Member, term: int) -> bool:
        """Keep a replica from receiving; False if the term is not above the newest."""
        if self.leads(member) or term <= max(self.term, member.held_term):
            return False
        member.held_term = term
        return True

    def release(self, member: Member) -> None:
        """Let a held replica receive again."""
        member.held_term = 0
        self.replicate()

    def crash(self, member: Member) -> None:
        """End a member without a word; its log stays."""
        member.is_running = False
        self.record.write("member-crashes", id=member.identity, position=self.position(member))
        self._changed.set()
