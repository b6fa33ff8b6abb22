"""Events that the shell passes to the agreement core."""

from __future__ import annotations

from dataclasses import dataclass

from limedyke.messages.agreement import AgreementMessage, ControllerIdentity


@dataclass(frozen=True, slots=True)
class Started:
    """The process has started; the core emits the stored state again."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; the shell sends this at least every quarter of the heartbeat interval."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from another controller; its envelope is already checked."""

    sender: ControllerIdentity
    message: AgreementMessage


@dataclass(frozen=True, slots=True)
class Proposed:
    """A caller proposes ``payload`` as a log entry."""

    request_id: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class ReadRequested:
    """A caller wants to read the applied state."""

    request_id: str


@dataclass(frozen=True, slots=True)
class StorageSynced:
    """All storage commands up to ``write_number`` are on disk."""

    write_number: int


@dataclass(frozen=True, slots=True)
class StorageFailed:
    """A storage command failed; writes since the last sync may be lost."""

    reason: str


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """The shell serialised its applied state as of ``index``."""

    index: int
    data: bytes


@dataclass(frozen=True, slots=True)
class AddLearner:
    """Add a controller as a non-voting learner.

    It replaces a learner of the same name, whose machine lost its disk again.
    """

    identity: ControllerIdentity


@dataclass(frozen=True, slots=True)
class PromoteLearner:
    """Make a caught-up learner a voter.

    :param replaces: a voter to remove once the promotion is committed
    """

    identity: ControllerIdentity
    replaces: ControllerIdentity | None = None


@dataclass(frozen=True, slots=True)
class RemoveMember:
    """Remove a voter or learner."""

    identity: ControllerIdentity


MembershipChange = AddLearner | PromoteLearner | RemoveMember


@dataclass(frozen=True, slots=True)
class MembershipChangeRequested:
    """Requests one membership change."""

    request_id: str
    change: MembershipChange


@dataclass(frozen=True, slots=True)
class LeadershipTransferRequested:
    """The leader is about to stop and should hand over to a caught-up voter."""


Event = (
    Started
    | Tick
    | MessageReceived
    | Proposed
    | ReadRequested
    | StorageSynced
    | StorageFailed
    | SnapshotTaken
    | MembershipChangeRequested
    | LeadershipTransferRequested
)
