"""State that the parts of the agreement core share, and the ways to change it."""

from __future__ import annotations

import itertools
import random
from collections import deque
from collections.abc import Collection, Mapping

from limedyke.core.agreement.commands import (
    AppendEntries,
    ApplyEntries,
    Command,
    PersistHardState,
    Role,
    RoleChanged,
    SendMessage,
    TruncateLog,
)
from limedyke.core.agreement.entry_log import EntryLog
from limedyke.core.agreement.records import HardState, StoredState
from limedyke.core.agreement.timing import AgreementTiming
from limedyke.messages.agreement import (
    AgreementMessage,
    ControllerIdentity,
    LogEntry,
    MemberConfiguration,
    QuorumStamp,
)


class AgreementInvariantError(Exception):
    """A rule of the agreement was broken; the process must not go on."""


def majority_of(voters: Collection[ControllerIdentity]) -> int:
    """Return how many of the voters make a majority."""
    return len(voters) // 2 + 1


def _reached_by_majority(
    voters: Collection[ControllerIdentity], values: Mapping[ControllerIdentity, int]
) -> int:
    if not voters:
        return 0
    reached = sorted((values.get(voter, 0) for voter in voters), reverse=True)
    return reached[majority_of(voters) - 1]


class AgreementState:
    """Role, term, log and unsynced writes of one controller.

    ``now`` is set by the caller before each event, in seconds of the monotonic clock.
    """

    def __init__(
        self,
        identity: ControllerIdentity,
        stored: StoredState,
        timing: AgreementTiming,
        rng: random.Random,
        now: float,
    ) -> None:
        self.identity = identity
        self.timing = timing
        self.rng = rng
        self.now = now
        self.log = EntryLog(stored.snapshot, stored.entries)
        self.term = stored.hard_state.term
        self.vote = stored.hard_state.vote
        self.vouched_for = stored.hard_state.vouched_for
        if self.log.last_term > self.term:
            self.term = self.log.last_term
            self.vote = None
        self.commit_index = stored.snapshot.index
        self.applied_index = stored.snapshot.index
        self.synced_index = self.log.last_index
        self.role = Role.FOLLOWER
        self.leader: ControllerIdentity | None = None
        self.quorum_stamp = QuorumStamp()
        # When it isn't known what this controller vouched for before it restarted, it waits as
        # if it had heard a leader just now, so that no lease is broken.
        self.leader_contact_at = now
        if stored.leader_contact_at is not None:
            self.leader_contact_at = min(now, stored.leader_contact_at)
        elif stored.hard_state.term == 0:
            # Before a leader is answered its term is on the disk: none was answered yet.
            self.leader_contact_at = float("-inf")
        self.election_deadline = now
        self.commands: list[Command] = []
        self._write_number = 0
        self._synced_write_number = 0
        self._held_messages: deque[tuple[int, SendMessage]] = deque()
        self._unsynced_entries: deque[tuple[int, int]] = deque()
        self._reported: tuple[Role, int, ControllerIdentity | None] | None = None
        self.reset_first_election_deadline()

    @property
    def configuration(self) -> MemberConfiguration:
        """The newest configuration in the log, committed or not."""
        return self.log.configuration

    @property
    def is_voter(self) -> bool:
        """Whether this very incarnation counts."""
        return self.identity in self.configuration.voters

    @property
    def membership_settled(self) -> bool:
        """Whether the newest configuration is committed and ends the change that it is part of."""
        is_committed = self.log.configuration_index <= self.commit_index
        return is_committed and not self.configuration.previous_voters

    @property
    def voter_sets(self) -> tuple[tuple[ControllerIdentity, ...], ...]:
        """The sets of voters of each of which a majority is needed.

        While the newest configuration is not known committed, those that it replaces count too.
        """
        configuration = self.configuration
        is_committed = self.log.configuration_index <= self.commit_index
        if is_committed or not configuration.previous_voters:
            return (configuration.voters,)
        return (configuration.voters, configuration.previous_voters)

    def holds_majorities(self, identities: Collection[ControllerIdentity]) -> bool:
        """Tell whether ``identities`` hold a majority of every set of voters in force."""
        return all(
            sum(voter in identities for voter in voters) >= majority_of(voters)
            for voters in self.voter_sets
        )

    def reached_by_majorities(self, values: Mapping[ControllerIdentity, int]) -> int:
        """Return the highest value that majorities of all sets of voters have reached.

        :param values: what each known voter has reached; 0 for those not named
        """
        return min(_reached_by_majority(voters, values) for voters in self.voter_sets)

    def is_member(self, identity: ControllerIdentity) -> bool:
        """Tell whether this very incarnation is a voter or learner."""
        configuration = self.configuration
        return identity in configuration.voters or identity in configuration.learners

    def other_members(self) -> tuple[ControllerIdentity, ...]:
        """Return all voters and learners but this controller."""
        members = dict.fromkeys(itertools.chain(*self.voter_sets, self.configuration.learners))
        return tuple(member for member in members if member != self.identity)

    def other_voters(self) -> tuple[ControllerIdentity, ...]:
        """Return all voters but this controller, those being replaced included."""
        voters = dict.fromkeys(itertools.chain(*self.voter_sets))
        return tuple(voter for voter in voters if voter != self.identity)

    def reset_election_deadline(self) -> None:
        """Draw a new random time to stand for election, if no leader is heard before."""
        timeout = self.rng.uniform(
            self.timing.election_timeout_minimum_s, self.timing.election_timeout_maximum_s
        )
        self.election_deadline = self.now + timeout

    def reset_first_election_deadline(self) -> None:
        """Draw the time to stand for election after a restart.

        Voters that restart together are all bound for the shortest timeout; beyond it, only
        a little chance is needed to keep them apart.  A leader gets some time to be heard.
        The last leader itself is bound by no lease but its own, which ended with its process:
        it stands first.
        """
        if self.vouched_for == self.identity:
            self.election_deadline = self.now + self.timing.pre_vote_retry_minimum_s / 2
            return
        spread = self.rng.uniform(0.0, self.timing.pre_vote_retry_minimum_s)
        bound_until = self.leader_contact_at + self.timing.election_timeout_minimum_s
        links_are_up_at = self.now + self.timing.pre_vote_retry_minimum_s
        self.election_deadline = max(bound_until, links_are_up_at) + spread

    def ask_again_soon(self) -> None:
        """Draw a new random time to repeat a pre-vote; unlike a candidacy it disturbs no one."""
        self.election_deadline = self.now + self.rng.uniform(
            self.timing.pre_vote_retry_minimum_s, self.timing.pre_vote_retry_maximum_s
        )

    def heard_leader_recently(self) -> bool:
        """Tell whether a lease that this voter vouched for may still run."""
        return self.now < self.leader_contact_at + self.timing.election_timeout_minimum_s

    def set_role(self, role: Role, leader: ControllerIdentity | None) -> None:
        """Change the role and the known leader, and report a change."""
        self.role = role
        self.leader = leader
        self.report_role()

    @property
    def visible_role(self) -> Role:
        """The role, with followers that do not count told apart."""
        if self.role is Role.FOLLOWER and not self.is_voter:
            return Role.LEARNER
        return self.role

    def report_role(self) -> None:
        """Emit ``RoleChanged`` when anything in it is new."""
        current = (self.visible_role, self.term, self.leader)
        if current != self._reported:
            self._reported = current
            self.emit(RoleChanged(*current))

    def emit(self, command: Command) -> None:
        """Hand a command to the shell."""
        self.commands.append(command)

    def send(self, to: ControllerIdentity, message: AgreementMessage) -> None:
        """Send a message that vouches for nothing unsynced."""
        self.emit(SendMessage(to, message))

    def send_after_sync(self, to: ControllerIdentity, message: AgreementMessage) -> None:
        """Send a message once everything written so far is synced."""
        if self.is_synced(self._write_number):
            self.send(to, message)
        else:
            self._held_messages.append((self._write_number, SendMessage(to, message)))

    def is_synced(self, write_number: int) -> bool:
        """Tell whether a write, and all before it, is on disk."""
        return write_number <= self._synced_write_number

    def next_write_number(self) -> int:
        """Number the next storage command."""
        self._write_number += 1
        return self._write_number

    def persist_hard_state(self, term: int, vote: ControllerIdentity | None) -> int:
        """Change the term and vote; return the write number to wait for."""
        self.term = term
        self.vote = vote
        return self._write_hard_state()

    def vouch_for(self, leader: ControllerIdentity) -> None:
        """Note on disk which leader is answered from now on, or is this controller itself.

        Its lease may rest on that until it asks for votes itself: by then it leads no more.
        """
        if self.vouched_for != leader:
            self.vouched_for = leader
            self._write_hard_state()

    def _write_hard_state(self) -> int:
        write_number = self.next_write_number()
        hard_state = HardState(self.term, self.vote, self.vouched_for)
        self.emit(PersistHardState(write_number, hard_state))
        return write_number

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Add entries to the log and start writing them."""
        self.log.append(entries)
        write_number = self.next_write_number()
        self._unsynced_entries.append((write_number, self.log.last_index))
        self.emit(AppendEntries(write_number, entries))

    def truncate_after(self, index: int) -> None:
        """Drop conflicting entries from the log and the disk."""
        if index < self.commit_index:
            raise AgreementInvariantError(
                f"entry {index + 1} conflicts but {self.commit_index} is committed"
            )
        self.log.truncate_after(index)
        self.synced_index = min(self.synced_index, index)
        self._unsynced_entries = deque(
            (write_number, min(last_index, index))
            for write_number, last_index in self._unsynced_entries
        )
        self.emit(TruncateLog(self.next_write_number(), index))

    def forget_unsynced_entries(self) -> None:
        """Treat the log as it stands as replaced by a snapshot that is being written."""
        self._unsynced_entries.clear()

    def note_synced(self, write_number: int) -> None:
        """Record that writes are on disk, and send what waited for them."""
        self._synced_write_number = max(self._synced_write_number, write_number)
        while self._unsynced_entries and self.is_synced(self._unsynced_entries[0][0]):
            _, last_index = self._unsynced_entries.popleft()
            self.synced_index = max(self.synced_index, last_index)
        while self._held_messages and self.is_synced(self._held_messages[0][0]):
            _, held = self._held_messages.popleft()
            self.emit(held)

    def drop_held_messages(self) -> None:
        """Forget messages that vouch for writes which failed."""
        self._held_messages.clear()

    def advance_commit(self, commit_index: int) -> None:
        """Raise the commit index and apply what is committed and synced here."""
        self.commit_index = max(self.commit_index, commit_index)
        last = min(self.commit_index, self.synced_index)
        if last <= self.applied_index:
            return
        entries = self.log.entries_between(self.applied_index + 1, last)
        self.applied_index = last
        self.emit(ApplyEntries(entries))
