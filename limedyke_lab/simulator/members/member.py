"""A simulated member of a group: terms, promises, majority commit, lag and truncation.

It follows the same contract as the lab's database: a commit is acknowledged when a majority
of the group holds it in the current term; a member that promises a higher term stops leading
or following a lower one; a primary opens for writes only when a majority holds the first
record of its term.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from limedyke_lab.simulator.history import History
from limedyke_lab.simulator.machine.kernel import Future, Process
from limedyke_lab.simulator.machine.network import Network
from limedyke_lab.simulator.members.member_log import AppliedState, MemberLog, Record

SEND_INTERVAL_S = 0.1
MAXIMUM_RECORDS = 64
INITIAL_TERM = 1
SYNC_S = 0.001
APPLY_INTERVAL_S = 0.01


@dataclass(frozen=True, slots=True)
class AppendRecords:
    """A primary's records for a replica; a heartbeat if there are none."""

    primary: str
    term: int
    previous: int
    previous_term: int
    records: tuple[Record, ...]
    committed: int
    round_number: int


@dataclass(frozen=True, slots=True)
class AppendAnswer:
    """A replica's answer to :class:`AppendRecords`.

    :param position: if accepted, the position up to which it holds the primary's log; else the
        position from which to send again
    :param round_number: round number of the request
    :param rebuild: number of the rebuild in progress, during which the replica does not count
        towards a majority; 0 for none
    """

    member: str
    term: int
    accepted: bool
    position: int
    round_number: int
    rebuild: int


@dataclass(slots=True)
class ReplicaProgress:
    """A primary's view of one replica."""

    matched: int = 0
    next: int = 0
    answered_round: int = 0
    rebuild: int = 0
    rebuild_asked_in: int = 0


@dataclass(slots=True)
class Leadership:
    """Volatile state of a member that leads or is being promoted to lead."""

    term: int
    start: int
    progress: dict[str, ReplicaProgress]
    round_number: int = 0
    open: bool = False
    opened: Future = field(default_factory=Future)
    waiting: list[tuple[int, Future]] = field(default_factory=list)


class Member:
    """One member of a replicated group; ``member_server`` has its connections.

    :param peers: names of the other members
    :param usual_lag_s: seconds until a replica applies a committed record, without faults
    """

    def __init__(
        self,
        process: Process,
        network: Network,
        history: History,
        group: str,
        peers: tuple[str, ...],
        registry: dict[str, Member],
        usual_lag_s: float = 0.005,
    ) -> None:
        self.process = process
        self.network = network
        self.history = history
        self.group = group
        self.name = process.name
        self.peers = peers
        self.lag_s = usual_lag_s
        self.usual_lag_s = usual_lag_s
        self.lose_acknowledged = False
        self.disk = MemberLog()
        self._disk_state = AppliedState()
        self._rebuilds = 0
        self._registry = registry
        registry[self.name] = self
        self._reset()
        self.on_start: Callable[[], None] = lambda: None
        process.start = self.start

    def _reset(self) -> None:
        self.leadership: Leadership | None = None
        self.verified_term = 0
        self.committed = 0
        self.sessions: list = []
        self.state = self._disk_state
        self._apply_queue: list[tuple[float, int]] = []
        self._applying = False

    # ----- lifecycle -----

    def start(self) -> None:
        """Start from the state on disk."""
        self._reset()
        self.on_start()
        self.process.after(SEND_INTERVAL_S, self._send_periodically)

    def start_initial_primary(self) -> None:
        """Lead the initial term of an empty group."""
        self.disk.promise(INITIAL_TERM, "initial", taken=True)
        self._start_leading(INITIAL_TERM)

    def lose_disk(self) -> None:
        """Replace the disk with an empty one; the member has no vote until it is rebuilt."""
        self._rebuilds += 1
        self.disk = MemberLog()
        self.disk.rebuild = self._rebuilds
        self._disk_state = AppliedState()

    @property
    def is_primary(self) -> bool:
        """Whether the member accepts writes."""
        return self.leadership is not None and self.leadership.open

    # ----- leading -----

    def _start_leading(self, term: int) -> None:
        self.disk.records.append(Record(term, self.name, ()))
        progress = {peer: ReplicaProgress(next=self.disk.end - 1) for peer in self.peers}
        self.leadership = Leadership(term, self.disk.end, progress)
        self.history.add("leading", member=self.name, group=self.group, term=term)
        self._send_all()

    def _send_periodically(self) -> None:
        if self.leadership is not None:
            self._send_all()
        self.process.after(SEND_INTERVAL_S, self._send_periodically)

    def _send_all(self) -> None:
        if self.leadership is not None:
            self.leadership.round_number += 1
        for peer in self.peers:
            self._send(peer)

    def _send(self, peer: str) -> None:
        leadership = self.leadership
        if leadership is None:
            return
        start = leadership.progress[peer].next
        records = tuple(self.disk.records[start : start + MAXIMUM_RECORDS])
        message = AppendRecords(
            self.name,
            leadership.term,
            start,
            self.disk.term_at(start),
            records,
            self.committed,
            leadership.round_number,
        )
        leadership.progress[peer].next = start + len(records)
        self.network.send_datagram(
            self.process, peer, self._registry[peer].on_append, message, self.process.life
        )

    def on_answer(self, answer: AppendAnswer) -> None:
        """Handle a replica's answer and update its progress."""
        leadership = self.leadership
        if leadership is None or answer.term < leadership.term:
            return
        if answer.term > leadership.term:
            self._step_down(answer.term)
            return
        progress = leadership.progress[answer.member]
        if not answer.accepted:
            progress.next = min(answer.position, self.disk.end)
            self._send(answer.member)
            return
        progress.answered_round = max(progress.answered_round, answer.round_number)
        if answer.rebuild:
            progress.matched = 0
            self._confirm_rebuild(answer, progress)
            return
        progress.rebuild = 0
        progress.matched = max(progress.matched, answer.position)
        self._advance_commit()

    def _confirm_rebuild(self, answer: AppendAnswer, progress: ReplicaProgress) -> None:
        """Let a rebuilt member vote again once all others have confirmed this term.

        A member that lost its disk has lost its promises and acknowledgements.  Only the
        remaining members know them, so each of these must confirm, in a round after the rebuild
        started, that it still follows this primary.
        """
        leadership = self.leadership
        if progress.rebuild != answer.rebuild:
            progress.rebuild = answer.rebuild
            progress.rebuild_asked_in = leadership.round_number
        others = [p for name, p in leadership.progress.items() if name != answer.member]
        confirmed = leadership.open and all(
            not other.rebuild and other.answered_round > progress.rebuild_asked_in
            for other in others
        )
        if confirmed and answer.position >= self.committed:
            target = self._registry[answer.member]
            arguments = (leadership.term, answer.position, answer.rebuild)
            self.network.send_datagram(self.process, answer.member, target.on_rebuilt, *arguments)

    def _advance_commit(self) -> None:
        leadership = self.leadership
        positions = [self.disk.end, *(p.matched for p in leadership.progress.values())]
        positions.sort(reverse=True)
        position = positions[len(positions) // 2]
        if position < leadership.start or position <= self.committed:
            return
        self.committed = position
        if not leadership.open:
            self._open_for_writes()
        due = [entry for entry in leadership.waiting if entry[0] <= position]
        leadership.waiting = [entry for entry in leadership.waiting if entry[0] > position]
        for _, future in due:
            future.set(True)
        self._send_all()

    def _open_for_writes(self) -> None:
        leadership = self.leadership
        leadership.open = True
        self.verified_term = leadership.term
        self._apply_now(self.disk.end)
        self.history.add("primary", member=self.name, group=self.group, term=leadership.term)
        leadership.opened.set(True)

    def append(self, writes: tuple) -> Future:
        """Append a transaction; the future tells whether a majority acknowledged it."""
        leadership = self.leadership
        acknowledged = Future()
        self.disk.records.append(Record(leadership.term, self.name, writes))
        self._apply_now(self.disk.end)
        if self.lose_acknowledged:
            acknowledged.set(True)
        else:
            leadership.waiting.append((self.disk.end, acknowledged))
        self._send_all()
        return acknowledged

    def _step_down(self, term: int) -> None:
        leadership = self.leadership
        if leadership is None:
            return
        self.leadership = None
        if self.state.position > self.committed:
            self.verified_term = 0
        self.history.add(
            "stepped-down", member=self.name, group=self.group, term=leadership.term, higher=term
        )
        for _, future in leadership.waiting:
            future.set(False)
        leadership.opened.set(False)
        for session in list(self.sessions):
            session.abort_write()

    # ----- promises and promotion -----

    def promise(self, term: int, promoter: str) -> bool:
        """Promise a term; return False if that term or a higher one is promised to another."""
        disk = self.disk
        if disk.rebuild:
            return False
        repeated = term == disk.promised_term and promoter == disk.promoter
        if not repeated and term <= disk.promised_term:
            return False
        if not repeated:
            disk.promise(term, promoter, taken=False)
            self._step_down(term)
            self.history.add("promised", member=self.name, group=self.group, term=term)
        return True

    def promote(self, term: int) -> Future | None:
        """Start to lead a promised term; return None if this is not allowed."""
        disk = self.disk
        if disk.promised_term != term or disk.rebuild:
            return None
        if not disk.promise_taken:
            disk.promise(term, disk.promoter, taken=True)
            self._start_leading(term)
        if self.leadership is None or self.leadership.term != term:
            return None
        return self.leadership.opened

    # ----- following -----

    def on_append(self, message: AppendRecords, primary_life: int) -> None:
        """Accept records of a primary unless a higher term is promised."""
        disk = self.disk
        if message.term < disk.promised_term:
            self._send_answer(message, primary_life, False, 0)
            return
        if message.term > disk.promised_term or not disk.promise_taken:
            disk.promise(message.term, disk.promoter, taken=True)
            self._step_down(message.term)
        known = message.previous <= disk.end
        if not known or disk.term_at(message.previous) != message.previous_term:
            back = min(message.previous - 1, disk.end)
            self._send_answer(message, primary_life, False, max(0, back))
            return
        self._merge(message)
        end = message.previous + len(message.records)
        self.process.after(SYNC_S, self._send_answer, message, primary_life, True, end)
        self._update_committed(message, end)

    def _merge(self, message: AppendRecords) -> None:
        """Append the missing records, after truncating a conflicting tail."""
        records = self.disk.records
        for offset, record in enumerate(message.records):
            position = message.previous + offset
            if position < len(records):
                if records[position] is record or records[position].term == record.term:
                    continue
                self._truncate(position)
            records.append(record)

    def _truncate(self, position: int) -> None:
        del self.disk.records[position:]
        self._apply_queue = [entry for entry in self._apply_queue if entry[1] <= position]
        if self.state.position > position:
            self.verified_term = 0
            self._disk_state = AppliedState()
            self.state = self._disk_state
            self.history.add("truncated", member=self.name, group=self.group, position=position)

    def _update_committed(self, message: AppendRecords, end: int) -> None:
        if self.verified_term != message.term:
            # The applied records may conflict with this primary's log until all are compared.
            self.verified_term = 0
        committed = min(message.committed, end)
        self.committed = max(self.committed, committed)
        if self.state.position > end and self.verified_term != message.term:
            return
        due = self.process.clock() + self.lag_s
        self._apply_queue.append((due, self.committed))
        if self.committed >= self.state.position and end >= self.state.position:
            self.verified_term = message.term
        if not self._applying:
            self._applying = True
            self.process.after(self.lag_s, self._apply_due)

    def _apply_due(self) -> None:
        now = self.process.clock()
        queue = self._apply_queue
        reached = 0
        while queue and queue[0][0] <= now + 1e-9:
            reached = max(reached, queue.pop(0)[1])
        if reached > self.state.position and self.leadership is None:
            self._apply_now(min(reached, self.disk.end))
        if queue:
            self.process.after(queue[0][0] - now, self._apply_due)
        else:
            self._applying = False

    def _apply_now(self, position: int) -> None:
        while self.state.position < position:
            self.state.apply(self.disk.records[self.state.position])

    def _send_answer(
        self, message: AppendRecords, primary_life: int, accepted: bool, position: int
    ) -> None:
        disk = self.disk
        if accepted and disk.promised_term != message.term:
            accepted, position = False, 0
        answer = AppendAnswer(
            self.name, disk.promised_term, accepted, position, message.round_number, disk.rebuild
        )
        primary = self._registry[message.primary]
        self.network.send_datagram(
            self.process, message.primary, primary.on_answer_if_same_life, answer, primary_life
        )

    def on_answer_if_same_life(self, answer: AppendAnswer, life: int) -> None:
        """Handle an answer unless it was meant for this process before a restart."""
        if life == self.process.life:
            self.on_answer(answer)

    def on_rebuilt(self, term: int, position: int, rebuild: int) -> None:
        """Finish the rebuild: the disk holds all acknowledged records, so the member may vote."""
        disk = self.disk
        current = disk.rebuild == rebuild and disk.promised_term == term
        if current and disk.end >= position:
            disk.rebuild = 0
            self.history.add("rebuilt", member=self.name, group=self.group, term=term)
