"""Commands that the agreement core passes to the shell, which executes them in order."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedyke.core.agreement.records import HardState, Snapshot
from limedyke.messages.agreement import AgreementMessage, ControllerIdentity, LogEntry
from limedyke.result_codes import Failure


class Role(enum.StrEnum):
    """The current role of a controller."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    STOPPED = "stopped"


class StepDownReason(enum.StrEnum):
    """Why a leader stopped leading."""

    HIGHER_TERM = "higher-term"
    NO_QUORUM = "no-quorum"
    TRANSFER = "transfer"
    STORAGE_FAILED = "storage-failed"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class RoundTimings:
    """Statistics of a leader's heartbeat rounds; ages are in seconds before now.

    :param led_s: age of the leadership
    :param sent: number of the newest round that was sent
    :param confirmed: number of the newest round that a majority of the voters answered; 0 for none
    :param confirmed_s: age of that round, or of the leadership if no round was confirmed
    :param silent_s: age of each other voter's last response, by name
    :param behind: number of log entries that each other voter has not acknowledged, by name
    :param unsynced: number of log entries that are not synced to the leader's own disk yet
    """

    led_s: float
    sent: int
    confirmed: int
    confirmed_s: float
    silent_s: dict[str, float]
    behind: dict[str, int]
    unsynced: int


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to exactly this identity; it may be lost."""

    to: ControllerIdentity
    message: AgreementMessage


@dataclass(frozen=True, slots=True)
class PersistHardState:
    """Write the term and vote; answered by ``StorageSynced``."""

    write_number: int
    hard_state: HardState


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """Append entries to the durable log; answered by ``StorageSynced``."""

    write_number: int
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class TruncateLog:
    """Drop all entries after ``index``; answered by ``StorageSynced``."""

    write_number: int
    index: int


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Save a snapshot of this controller and compact the log; answered by ``StorageSynced``."""

    write_number: int
    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Save the leader's snapshot in place of the log; answered by ``StorageSynced``.

    :param keep_entries: the log holds the snapshot's last entry, so keep the entries after it
    """

    write_number: int
    snapshot: Snapshot
    keep_entries: bool


@dataclass(frozen=True, slots=True)
class RestoreState:
    """Replace the applied state by the snapshot's."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ApplyEntries:
    """Apply committed entries in order; entries of other kinds only advance the applied index."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class ProposalAccepted:
    """The proposal is committed and applied."""

    request_id: str
    index: int
    term: int


@dataclass(frozen=True, slots=True)
class ProposalRefused:
    """The proposal was refused, or its outcome is unknown; the failure's code says which."""

    request_id: str
    failure: Failure
    leader_hint: ControllerIdentity | None


@dataclass(frozen=True, slots=True)
class ReadReady:
    """The applied state is current as of the request; it must be read immediately."""

    request_id: str
    index: int


@dataclass(frozen=True, slots=True)
class ReadRefused:
    """The read is refused: this controller cannot guarantee that its state is current."""

    request_id: str
    failure: Failure
    leader_hint: ControllerIdentity | None


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """The role, term or known leader changed."""

    role: Role
    term: int
    leader: ControllerIdentity | None


@dataclass(frozen=True, slots=True)
class SteppedDown:
    """This controller stopped leading ``term``.

    :param rounds: statistics of its heartbeat rounds
    """

    term: int
    reason: StepDownReason
    rounds: RoundTimings


StorageCommand = PersistHardState | AppendEntries | TruncateLog | SaveSnapshot | InstallSnapshot

Command = (
    StorageCommand
    | SendMessage
    | RestoreState
    | ApplyEntries
    | ProposalAccepted
    | ProposalRefused
    | ReadReady
    | ReadRefused
    | RoleChanged
    | SteppedDown
)
