"""A fake group: a primary, lagging replicas, promotion and fault injection."""

from __future__ import annotations

import itertools
import time
from dataclasses import dataclass, field

import curio
from curio import socket

from features.support.line_platform.member_log import Commit, MemberLog, Run
from features.support.line_platform.member_session import MemberSession

RECEIVE_POLL_S = 0.002
RECENT_COMMITS = 200


@dataclass(slots=True)
class MemberFaults:
    """Faults injected at a member.

    :ivar busy: number of statements still to be refused as busy
    :ivar fail_reads: number of reads still to fail
    :ivar lose_answers: number of answers still to be lost with a connection reset
    :ivar busy_after_loss: refuse all statements as busy after a lost answer
    :ivar silent: answer no statement
    :ivar resets_when_full: reset connections beyond the limit instead of refusing them
    :ivar lag_s: replication delay; 0 for the group's default
    :ivar deaf: receive no commits from the primary
    :ivar work_s: execution time of a read
    :ivar answers_travel_s: delay of each answer
    """

    busy: int = 0
    fail_reads: int = 0
    lose_answers: int = 0
    busy_after_loss: bool = False
    silent: bool = False
    resets_when_full: bool = False
    lag_s: float = 0.0
    deaf: bool = False
    work_s: float = 0.0
    answers_travel_s: float = 0.0


@dataclass(slots=True)
class StandInMember:
    """One member of a fake group.

    :ivar knows_hold: whether it knows PAUSE, RESUME and STEPDOWN; otherwise it calls them malformed
    :ivar announced_state: what its heartbeats say, ``ready`` or ``draining``
    :ivar announces_itself: whether its heartbeats reach the controllers
    :ivar announcements_travel_s: how long its heartbeats travel, in seconds
    :ivar held_term: term of the PAUSE that keeps it from receiving; 0 for none
    """

    identity: str
    group: StandInGroup
    connection_limit: int = 20
    knows_hold: bool = True
    is_primary: bool = False
    log: MemberLog = field(default_factory=MemberLog)
    faults: MemberFaults = field(default_factory=MemberFaults)
    port: int = 0
    connections: int = 0
    opened: int = 0
    status_questions: int = 0
    held_term: int = 0
    announced_state: str = "ready"
    announces_itself: bool = True
    announcements_travel_s: float = 0.0
    incarnation: int = 1
    listener: socket.socket | None = None
    sessions: set[MemberSession] = field(default_factory=set)
    task: curio.Task | None = None

    @property
    def is_running(self) -> bool:
        """Whether the member runs; one that was never started counts as running."""
        return self.task is None or not self.task.terminated

    @property
    def address(self) -> str:
        """The listen address."""
        return f"127.0.0.1:{self.port}"


class StandInGroup:
    """All members of a group, with a record of the statements run and commits acknowledged.

    :param synchronous_replicas: replicas that must have received a commit before it is answered
    :ivar leader: the member that was promoted last; it leads again when it restarts after a crash
    :ivar lacking: for each promotion, the member-acknowledged commits that its member lacked
    """

    def __init__(
        self,
        name: str,
        identities: tuple[str, ...],
        lag_s: float = 0.0,
        synchronous_replicas: int = 0,
    ) -> None:
        self.name = name
        self.term = 3
        self.lag_s = lag_s
        self.members = {identity: StandInMember(identity, self) for identity in identities}
        self.members[identities[0]].is_primary = True
        self.leader = identities[0]
        self.runs: list[Run] = []
        self.acknowledged: list[tuple[float, Commit]] = []
        self.rolled_back: set[str] = set()
        self.synchronous_replicas = synchronous_replicas
        self.lacking: list[frozenset[Commit]] = []
        self._numbers = itertools.count(1)
        self._signatures = itertools.count(1)

    @property
    def primary(self) -> StandInMember | None:
        """The primary, or None."""
        return next((m for m in self.members.values() if m.is_primary), None)

    async def start(self) -> None:
        """Start all members on loopback."""
        for member in self.members.values():
            await self.start_member(member)

    async def start_member(self, member: StandInMember) -> None:
        """Start one member, on its previous port if it had one."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", member.port))
        listener.listen(64)
        member.port = listener.getsockname()[1]
        member.listener = listener
        member.task = await curio.spawn(self._accept, member, listener, daemon=True)

    async def start_again(self, identity: str, leads: bool) -> None:
        """Crash a member and restart it empty, under the same identity and address.

        As a replica it receives no commits until ``catch_up``.

        :param leads: whether it claims to be the primary
        """
        member = self.members[identity]
        if not member.task.terminated:
            await self.crash(identity)
        member.log = MemberLog()
        member.incarnation += 1
        member.held_term = 0
        member.faults.deaf = not leads
        await self.start_member(member)
        member.is_primary = leads

    def catch_up(self, identity: str) -> bool:
        """Copy the primary's log to a member; return False if no other member is primary."""
        member = self.members[identity]
        lead = self.primary
        if lead is None or lead is member:
            return False
        member.log.commits = list(lead.log.commits)
        member.log.applied = len(member.log.commits)
        member.faults.deaf = False
        return True

    async def crash(self, identity: str) -> None:
        """Crash a member: reset its connections and close its port."""
        member = self.members[identity]
        member.is_primary = False
        await member.task.cancel()
        await member.listener.close()
        for session in list(member.sessions):
            await session.abort()

    async def restart(self, identity: str) -> None:
        """Restart a crashed member with its log; it leads again if no other was promoted."""
        member = self.members[identity]
        member.is_primary = identity == self.leader
        member.held_term = 0
        await self.start_member(member)
        if not member.is_primary:
            await self.release(member)
            member.log.applied = len(member.log.commits)

    async def stop(self) -> None:
        """Stop all members that are running."""
        for name, member in self.members.items():
            if member.task is not None and not member.task.terminated:
                await self.crash(name)

    def promote(self, identity: str) -> None:
        """Make a member the primary of the next term; roll back replicas that are ahead of it."""
        self.leader = identity
        for member in self.members.values():
            member.is_primary = member.identity == identity
            member.held_term = 0
        self.term += 1
        lead = self.members[identity].log
        acknowledged = {commit for _, commit in self.acknowledged}
        lost_before = frozenset().union(*self.lacking)
        self.lacking.append(frozenset(acknowledged - set(lead.commits) - lost_before))
        lead.applied = len(lead.commits)
        for member in self.members.values():
            log = member.log
            keep = len(lead.commits)
            if log.commits[keep:]:
                self.rolled_back |= {commit.request_id for commit in log.commits[keep:]}
                del log.commits[keep:]
                log.applied = min(log.applied, keep)

    def signature(self) -> str:
        """Return a new unique statement signature."""
        return f"sig{next(self._signatures)}"

    async def commit(
        self, member: StandInMember, request_id: str, writes: tuple[tuple[str, str], ...]
    ) -> Commit | None:
        """Append a commit to the primary's log, and wait until enough replicas have received it.

        :returns: None if the member lost the lead before that
        """
        commit = Commit(self.term, next(self._numbers), request_id, writes)
        member.log.commits.append(commit)
        member.log.applied = len(member.log.commits)
        for other in self.members.values():
            if other is not member:
                await self._replicate(member, other)
        while member.is_primary and self._holders(commit, member) < self.synchronous_replicas:
            await curio.sleep(RECEIVE_POLL_S)
        return commit if member.is_primary or not self.synchronous_replicas else None

    def _holders(self, commit: Commit, leader: StandInMember) -> int:
        others = (member for member in self.members.values() if member is not leader)
        return sum(commit in member.log.commits[-RECENT_COMMITS:] for member in others)

    async def _replicate(self, leader: StandInMember, member: StandInMember) -> None:
        """Bring all that a member lacks of the primary's log to it, unless it receives nothing."""
        if member.faults.deaf or member.held_term or not member.is_running:
            return
        member.log.commits += leader.log.commits[len(member.log.commits) :]
        await curio.spawn(self._apply, member, len(member.log.commits), daemon=True)

    def hold(self, member: StandInMember, term: int) -> bool:
        """Keep a replica from receiving; False if the term is not above the newest one."""
        if member.is_primary or term <= max(self.term, member.held_term):
            return False
        member.held_term = term
        return True

    async def release(self, member: StandInMember) -> None:
        """Let a replica receive again, with all that it has missed."""
        member.held_term = 0
        lead = self.primary
        if lead is not None and lead is not member:
            await self._replicate(lead, member)

    async def listen_again(self, identity: str) -> None:
        """End a member's deafness; it receives all that it has missed."""
        member = self.members[identity]
        member.faults.deaf = False
        await self.release(member)

    def step_down(self, member: StandInMember, term: int) -> bool:
        """Turn the primary of a lower term into a replica; False if it is none."""
        if not member.is_primary or term <= self.term:
            return False
        member.is_primary = False
        return True

    async def _apply(self, member: StandInMember, count: int) -> None:
        lag_s = member.faults.lag_s or self.lag_s
        if lag_s:
            await curio.sleep(lag_s)
        member.log.applied = max(member.log.applied, min(count, len(member.log.commits)))

    def note_run(self, run: Run) -> None:
        """Record a statement that a member ran."""
        self.runs.append(run)

    def note_acknowledged(self, commit: Commit) -> None:
        """Record an acknowledged commit and its time."""
        self.acknowledged.append((time.monotonic(), commit))

    async def _accept(self, member: StandInMember, listener: socket.socket) -> None:
        while True:
            client, _ = await listener.accept()
            await curio.spawn(MemberSession(member, client).run, daemon=True)
