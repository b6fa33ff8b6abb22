"""State shared by the parts of the agreement core, and the operations that change it."""

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
    """An invariant of the agreement is violated; the process must not continue."""


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
        self.started_at = now
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
        # If the time of the last leader contact is unknown, assume that it is now: this voter then
        # waits until any lease that it may have confirmed has expired.
        self.leader_contact_at = now
        if stored.leader_contact_at is not None:
            self.leader_contact_at = min(now, stored.leader_contact_at)
        elif stored.hard_state.term == 0:
            # The term is stored before a leader is acknowledged, so term 0 means that none was.
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
        """Whether this incarnation is a voter."""
        return self.identity in self.configuration.voters

    @property
    def membership_settled(self) -> bool:
        """Whether no membership change is pending: the configuration is committed and not joint."""
        is_committed = self.log.configuration_index <= self.commit_index
        return is_committed and not self.configuration.previous_voters

    @property
    def voter_sets(self) -> tuple[tuple[ControllerIdentity, ...], ...]:
        """The voter sets that must each contribute a majority.

        A joint configuration that is not known to be committed adds the previous voters.
        """
        configuration = self.configuration
        is_committed = self.log.configuration_index <= self.commit_index
        if is_committed or not configuration.previous_voters:
            return (configuration.voters,)
        return (configuration.voters, configuration.previous_voters)

    def holds_majorities(self, identities: Collection[ControllerIdentity]) -> bool:
        """Tell whether ``identities`` include a majority of every voter set in force."""
        return all(
            sum(voter in identities for voter in voters) >= majority_of(voters)
            for voters in self.voter_sets
        )

    def reached_by_majorities(self, values: Mapping[ControllerIdentity, int]) -> int:
        """Return the highest value that a majority of every voter set has reached.

        :param values: the value that each voter has reached; 0 for voters not named
        """
        return min(_reached_by_majority(voters, values) for voters in self.voter_sets)

    def is_member(self, identity: ControllerIdentity) -> bool:
        """Tell whether this identity, including its incarnation, is a voter or learner."""
        configuration = self.configuration
        return identity in configuration.voters or identity in configuration.learners

    def was_replaced(self, identity: ControllerIdentity) -> bool:
        """Tell whether a former member's name belongs to another incarnation, as it lost its disk.

        A member that was only removed may have been added again since.
        """
        configuration = self.configuration
        names = {member.name for member in configuration.voters + configuration.learners}
        is_former = identity in self.log.known_members and not self.is_member(identity)
        return is_former and identity.name in names

    def other_members(self) -> tuple[ControllerIdentity, ...]:
        """Return all voters and learners except this controller."""
        members = dict.fromkeys(itertools.chain(*self.voter_sets, self.configuration.learners))
        return tuple(member for member in members if member != self.identity)

    def other_voters(self) -> tuple[ControllerIdentity, ...]:
        """Return all voters except this controller, including those being replaced."""
        voters = dict.fromkeys(itertools.chain(*self.voter_sets))
        return tuple(voter for voter in voters if voter != self.identity)

    def reset_election_deadline(self) -> None:
        """Draw a new random election timeout, counted from now."""
        timeout = self.rng.uniform(
            self.timing.election_timeout_minimum_s, self.timing.election_timeout_maximum_s
        )
        self.election_deadline = self.now + timeout

    def reset_first_election_deadline(self) -> None:
        """Draw the election deadline after a restart.

        Voters that restart together are all bound by the lease for the minimum timeout; after it, a
        small random spread is enough to separate their candidacies. The wait also gives a current
        leader time to connect. The last leader stands first: the only lease that could bind it was
        its own, which ended with its process.
        """
        if self.vouched_for == self.identity:
            self.election_deadline = self.now + self.timing.pre_vote_retry_minimum_s / 2
            return
        spread = self.rng.uniform(0.0, self.timing.pre_vote_retry_minimum_s)
        bound_until = self.leader_contact_at + self.timing.election_timeout_minimum_s
        links_are_up_at = self.now + self.timing.pre_vote_retry_minimum_s
        self.election_deadline = max(bound_until, links_are_up_at) + spread

    def schedule_pre_vote_retry(self) -> None:
        """Draw a new random deadline to repeat a pre-vote.

        It is shorter than an election timeout, because a pre-vote does not disturb a current
        leader.
        """
        self.election_deadline = self.now + self.rng.uniform(
            self.timing.pre_vote_retry_minimum_s, self.timing.pre_vote_retry_maximum_s
        )

    def lease_may_be_valid(self) -> bool:
        """Tell whether a lease that this voter confirmed may still be valid."""
        return self.now < self.leader_contact_at + self.timing.election_timeout_minimum_s

    def set_role(self, role: Role, leader: ControllerIdentity | None) -> None:
        """Change the role and the known leader, and report the change."""
        self.role = role
        self.leader = leader
        self.report_role()

    @property
    def visible_role(self) -> Role:
        """The role; a follower that is not a voter is a learner."""
        if self.role is Role.FOLLOWER and not self.is_voter:
            return Role.LEARNER
        return self.role

    def report_role(self) -> None:
        """Emit ``RoleChanged`` if the role, term or leader has changed."""
        current = (self.visible_role, self.term, self.leader)
        if current != self._reported:
            self._reported = current
            self.emit(RoleChanged(*current))

    def emit(self, command: Command) -> None:
        """Add a command for the shell."""
        self.commands.append(command)

    def send(self, to: ControllerIdentity, message: AgreementMessage) -> None:
        """Send a message that does not depend on unsynced writes."""
        self.emit(SendMessage(to, message))

    def send_after_sync(self, to: ControllerIdentity, message: AgreementMessage) -> None:
        """Send a message once all writes issued so far are synced."""
        if self.is_synced(self._write_number):
            self.send(to, message)
        else:
            self._held_messages.append((self._write_number, SendMessage(to, message)))

    def is_synced(self, write_number: int) -> bool:
        """Tell whether a write and all earlier ones are synced."""
        return write_number <= self._synced_write_number

    def next_write_number(self) -> int:
        """Allocate the number of the next storage command."""
        self._write_number += 1
        return self._write_number

    def persist_hard_state(self, term: int, vote: ControllerIdentity | None) -> int:
        """Change the term and vote; return the write number to wait for."""
        self.term = term
        self.vote = vote
        return self._write_hard_state()

    def acknowledge_leader(self, leader: ControllerIdentity) -> None:
        """Store which leader, possibly itself, this controller acknowledges from now on.

        That leader's lease may rest on the acknowledgement until the leader asks for votes itself;
        by then it no longer leads.
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
        """Append entries to the log and start writing them."""
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
        """Forget the unsynced entries: a snapshot has replaced the log."""
        self._unsynced_entries.clear()

    def note_synced(self, write_number: int) -> None:
        """Record that writes are synced, and send the messages that waited for them."""
        self._synced_write_number = max(self._synced_write_number, write_number)
        while self._unsynced_entries and self.is_synced(self._unsynced_entries[0][0]):
            _, last_index = self._unsynced_entries.popleft()
            self.synced_index = max(self.synced_index, last_index)
        while self._held_messages and self.is_synced(self._held_messages[0][0]):
            _, held = self._held_messages.popleft()
            self.emit(held)

    def drop_held_messages(self) -> None:
        """Discard messages that acknowledge failed writes."""
        self._held_messages.clear()

    def advance_commit(self, commit_index: int) -> None:
        """Raise the commit index and apply entries that are committed and synced here."""
        self.commit_index = max(self.commit_index, commit_index)
        last = min(self.commit_index, self.synced_index)
        if last <= self.applied_index:
            return
        entries = self.log.entries_between(self.applied_index + 1, last)
        self.applied_index = last
        self.emit(ApplyEntries(entries))
