"""One simulated machine: a disk, a drifting clock and a controller process."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import ormsgpack

from limedyke.core.agreement import Agreement
from limedyke.core.agreement.commands import (
    ApplyEntries,
    Command,
    ProposalAccepted,
    ProposalRefused,
    ReadReady,
    RestoreState,
    Role,
    RoleChanged,
    SendMessage,
    StorageCommand,
)
from limedyke.core.agreement.events import (
    Event,
    MessageReceived,
    SnapshotTaken,
    Started,
    Tick,
)
from limedyke.core.agreement.records import Snapshot
from limedyke.messages.agreement import AgreementMessage, ControllerIdentity, VoteResponse
from limedyke.storage.agreement_storage import AgreementStorage
from limedyke.storage.durable_log import DurableLog
from limedyke.storage.open_log import open_durable_log
from limedyke_lab.agreement_simulation.checkers import fold_digest
from limedyke_lab.agreement_simulation.world import World
from limedyke_lab.simulated_disk import SimulatedDisk, SimulatedPowerLoss

FOLDER = Path("/data")
SEGMENT_BYTES = 2048
TICK_INTERVAL_S = 0.05
SNAPSHOT_PADDING_BYTES = 300


@dataclass(slots=True)
class AppliedState:
    """The replicated state machine, whose state is the digest of all applied entries."""

    index: int = 0
    digest: bytes = b""
    since_snapshot: int = 0

    def serialise(self) -> bytes:
        """Return the state as snapshot data."""
        return ormsgpack.packb([self.index, self.digest, bytes(SNAPSHOT_PADDING_BYTES)])

    def restore(self, snapshot: Snapshot) -> None:
        """Restore the state from a snapshot."""
        self.index = snapshot.index
        self.digest = ormsgpack.unpackb(snapshot.data)[1] if snapshot.data else b""
        self.since_snapshot = 0


class Machine:
    """A machine with a stable name; each new disk has a new incarnation."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.agreement: Agreement | None = None
        self.applied = AppliedState()
        self.frozen = False
        self.proposals: dict[str, bytes] = {}
        self._rng = random.Random(world.rng.random())
        drift = world.options.timing.clock_drift_bound
        self._clock_rate = self._rng.uniform(1.0 - drift, 1.0 + drift)
        self._clock_offset = self._rng.uniform(0.0, 1000.0)
        self._disk_number = 0
        self._life = 0
        self._disk_busy_until = 0.0
        self._log: DurableLog | None = None
        self._storage: AgreementStorage | None = None
        self._events_while_frozen: list[Event] = []
        self._saved_leader_contact_at = 0.0
        self.disk = SimulatedDisk(self._rng)
        self.identity = self.new_identity()

    def new_identity(self) -> ControllerIdentity:
        """Return the identity for a new data folder."""
        self._disk_number += 1
        return ControllerIdentity(self.name, f"{self.name}{self._disk_number}")

    @property
    def local_now(self) -> float:
        """The time by this machine's own clock, in seconds."""
        return self._clock_offset + self.world.now * self._clock_rate

    @property
    def is_up(self) -> bool:
        """Whether the controller's process runs."""
        return self.agreement is not None

    def initialise(self, genesis: Snapshot | None) -> None:
        """Create the data folder; an initial voter installs the genesis snapshot."""
        log = self._open_log()
        if genesis is not None:
            log.install_snapshot(genesis, keep_entries=False).unwrap()
        log.close()

    def _open_log(self) -> DurableLog:
        opened = open_durable_log(FOLDER, self.identity, self.disk, segment_bytes=SEGMENT_BYTES)
        if opened.is_err():
            self.world.checkers.add_violation("log-refused", str(opened.unwrap_err()))
        return opened.unwrap()

    def start(self) -> None:
        """Start the controller's process."""
        self._life += 1
        self.frozen = False
        self._events_while_frozen = []
        self.applied = AppliedState()
        self._log = self._open_log()
        self.identity = self._log.identity
        self._storage = AgreementStorage(self._log)
        self.agreement = self.make_agreement()
        self._saved_leader_contact_at = self.agreement.leader_contact_at
        self.world.record_event(f"start {self.identity}")
        self.world.checkers.process_started(self.identity)
        self.handle(Started())
        self._tick(self._life)

    def make_agreement(self) -> Agreement:
        """Create the protocol core from the state on disk."""
        stored = self._log.take_stored_state()
        rng = random.Random(self._rng.random())
        return Agreement(self.identity, stored, self.world.options.timing, rng, self.local_now)

    def _tick(self, life: int) -> None:
        if life != self._life or not self.is_up:
            return
        self.handle(Tick())
        delay_s = TICK_INTERVAL_S * self._rng.uniform(0.8, 1.2)
        self.world.after(delay_s, lambda: self._tick(life))

    def power_loss(self) -> None:
        """Stop at once; unsynced data is lost or partly written."""
        self._end_process()
        self.disk.crash()

    def kill_process(self) -> None:
        """Kill the process; the machine and its disk cache keep running."""
        self._end_process()
        self.disk.kill_process()

    def _end_process(self) -> None:
        self.world.record_event(f"stop {self.identity}")
        self._life += 1
        self.agreement = None
        self.proposals = {}

    def lose_disk(self) -> None:
        """Lose the disk; the machine gets an empty one under a new incarnation."""
        self.power_loss()
        self.world.checkers.disk_lost(self.identity)
        self.disk = SimulatedDisk(self._rng)
        self.identity = self.new_identity()
        self.initialise(genesis=None)

    def freeze(self) -> None:
        """Freeze the process, as SIGSTOP does."""
        self.frozen = True

    def thaw(self) -> None:
        """Resume the process and handle the events that arrived meanwhile."""
        self.frozen = False
        events, self._events_while_frozen = self._events_while_frozen, []
        for event in events:
            self.handle(event)

    def receive(self, sender: ControllerIdentity, message: AgreementMessage) -> None:
        """Handle a message from the network."""
        self.handle(MessageReceived(sender, message))

    def handle(self, event: Event) -> None:
        """Pass an event to the core; dropped if the process is down, queued while it is frozen."""
        if not self.is_up:
            return
        if self.frozen:
            if not isinstance(event, Tick):
                self._events_while_frozen.append(event)
            return
        commands = self.agreement.handle(event, self.local_now)
        if self.agreement.leader_contact_at != self._saved_leader_contact_at:
            self._saved_leader_contact_at = self.agreement.leader_contact_at
            self._storage.save_leader_contact(self._saved_leader_contact_at)
        self._execute(commands)
        self._take_snapshot_if_due()

    def _execute(self, commands: list[Command]) -> None:
        writes = [command for command in commands if isinstance(command, StorageCommand)]
        if writes:
            life = self._life
            starts_at = max(self.world.now, self._disk_busy_until)
            self._disk_busy_until = starts_at + self._rng.uniform(0.0005, 0.004)
            delay_s = self._disk_busy_until - self.world.now
            self.world.after(delay_s, lambda: self._write(life, writes))
        for command in commands:
            self._observe(command)
        self.world.checkers.stamp_shown(self.identity, self.agreement.quorum_stamp)

    def _write(self, life: int, writes: Iterable[Command]) -> None:
        """Execute storage commands after their simulated delay, unless the process ended."""
        if life != self._life:
            return
        try:
            outcome = self._storage.execute(writes)
        except SimulatedPowerLoss:
            self.power_loss()
            return
        self.handle(outcome)

    def _take_snapshot_if_due(self) -> None:
        if self.is_up and self.applied.since_snapshot >= self.world.options.snapshot_every:
            self.applied.since_snapshot = 0
            self.handle(SnapshotTaken(self.applied.index, self.applied.serialise()))

    def _observe(self, command: Command) -> None:
        checkers = self.world.checkers
        match command:
            case SendMessage():
                if isinstance(command.message, VoteResponse):
                    checkers.vote_sent(self.identity, command.to, command.message)
                self.world.send(self.identity, command.to, command.message)
            case ApplyEntries():
                self._apply(command)
            case RestoreState():
                self.applied.restore(command.snapshot)
                checkers.state_restored(self.identity, self.applied.index, self.applied.digest)
            case RoleChanged():
                self.world.record_event(f"{self.identity} {command.role} {command.term}")
                if command.role is Role.LEADER:
                    checkers.leader_elected(self.identity, command.term)
                    self.world.elected(self.name)
            case ProposalAccepted():
                payload = self.proposals.pop(command.request_id, None)
                if payload is not None:
                    checkers.proposal_accepted(payload, command.index, command.term)
                    self.world.accepted(self.name)
            case ProposalRefused():
                payload = self.proposals.pop(command.request_id, None)
                if payload is not None:
                    checkers.proposal_refused(payload, command)
            case ReadReady():
                checkers.read_served(self.identity, self.applied.index)

    def _apply(self, command: ApplyEntries) -> None:
        for entry in command.entries:
            if entry.index != self.applied.index + 1:
                detail = f"{self.identity} applied {entry.index} after {self.applied.index}"
                self.world.checkers.add_violation("state-diverged", detail)
            self.applied.index = entry.index
            self.applied.digest = fold_digest(self.applied.digest, entry)
            self.applied.since_snapshot += 1
            self.world.checkers.entry_applied(self.identity, entry, self.applied.digest)
        self.world.record_event(f"{self.identity} applied {self.applied.index}")
