"""Messages between controllers: election, replication, snapshots and membership.

Kinds 100 to 149 of the internal protocol.  Indexes and terms count from 1; 0 means "none".
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedyke.messages.registry import message

NO_CLUSTER = ""


class EntryKind(enum.IntEnum):
    """What a log entry holds."""

    NOOP = 0
    PROPOSAL = 1
    CONFIGURATION = 2


@message(100)
@dataclass(frozen=True, slots=True)
class ControllerIdentity:
    """A controller and the incarnation of its data folder.

    :param name: the controller's name in the settings
    :param incarnation: random identifier generated when the data folder was initialised
    """

    name: str
    incarnation: str

    def __str__(self) -> str:
        return f"{self.name}/{self.incarnation}"


@message(101)
@dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry of the replicated log.

    :param kind: a value of :class:`EntryKind`
    """

    index: int
    term: int
    kind: int
    payload: bytes


@message(102)
@dataclass(frozen=True, slots=True)
class MemberConfiguration:
    """The controllers that replicate the log.

    :param cluster: identifier generated when the cluster was founded; empty before
    :param voters: identities that count for elections and commits
    :param learners: identities that receive entries but have no vote
    :param previous_voters: the voters that this configuration replaces in one step; elections and
        commits need a majority of these too until its entry is committed (joint consensus), and the
        leader then appends the configuration without them
    """

    cluster: str = NO_CLUSTER
    voters: tuple[ControllerIdentity, ...] = ()
    learners: tuple[ControllerIdentity, ...] = ()
    previous_voters: tuple[ControllerIdentity, ...] = ()


@message(103)
@dataclass(frozen=True, order=True, slots=True)
class QuorumStamp:
    """Increases only after a majority of voters has confirmed the leader.

    :param counter: the last confirmed heartbeat round of the term
    """

    term: int = 0
    counter: int = 0


@message(110)
@dataclass(frozen=True, slots=True)
class PreVoteRequest:
    """Asks whether a candidate would get the vote in ``term``, without changing any state."""

    term: int
    last_index: int
    last_term: int


@message(111)
@dataclass(frozen=True, slots=True)
class PreVoteResponse:
    """Answer to a pre-vote.

    :param term: the responder's own term
    :param prospective_term: the term of the request
    """

    term: int
    prospective_term: int
    granted: bool


@message(112)
@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Requests the vote in ``term``.

    :param leadership_transfer: the previous leader gave up its lease for this election
    """

    term: int
    last_index: int
    last_term: int
    leadership_transfer: bool


@message(113)
@dataclass(frozen=True, slots=True)
class VoteResponse:
    """Answer to a vote request, sent after the vote is synced to disk."""

    term: int
    granted: bool


@message(114)
@dataclass(frozen=True, slots=True)
class AppendEntriesRequest:
    """Entries after ``previous_index``; a heartbeat if there are none.

    :param round_number: the leader's heartbeat round, echoed in the response
    :param quorum_stamp: the leader's last confirmed stamp
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    round_number: int
    quorum_stamp: QuorumStamp


@message(115)
@dataclass(frozen=True, slots=True)
class AppendEntriesResponse:
    """Answer to entries, sent after they are synced to disk.

    :param previous_index: echo of the request
    :param match_index: if accepted, the last index known to match the leader's log
    :param conflict_index: if refused, the index from which the leader should continue
    :param conflict_term: the follower's term at the conflict; 0 if its log is too short
    """

    term: int
    accepted: bool
    previous_index: int
    match_index: int
    conflict_index: int
    conflict_term: int
    round_number: int


@message(116)
@dataclass(frozen=True, slots=True)
class InstallSnapshotRequest:
    """A chunk of a snapshot; an empty chunk keeps the transfer alive.

    :param offset: position of ``data`` in the snapshot, in bytes
    :param total_bytes: size of the whole snapshot data
    """

    term: int
    snapshot_index: int
    snapshot_term: int
    configuration: MemberConfiguration
    offset: int
    total_bytes: int
    data: bytes
    round_number: int
    quorum_stamp: QuorumStamp


@message(117)
@dataclass(frozen=True, slots=True)
class InstallSnapshotResponse:
    """Answer to a chunk of a snapshot.

    :param next_offset: offset of the first missing byte
    :param installed: the whole snapshot is synced to disk
    """

    term: int
    snapshot_index: int
    next_offset: int
    installed: bool
    round_number: int


@message(118)
@dataclass(frozen=True, slots=True)
class TimeoutNowRequest:
    """Tells the receiver to start an election at once; the leader of ``term`` gave up its lease."""

    term: int


@message(119)
@dataclass(frozen=True, slots=True)
class AgreementEnvelope:
    """Carries one encoded message between two identities of one cluster."""

    cluster: str
    sender: ControllerIdentity
    recipient: ControllerIdentity
    body: bytes


@message(123)
@dataclass(frozen=True, slots=True)
class PeerAddress:
    """The address (``ip:port``) at which other controllers reach a controller."""

    name: str
    address: str


@message(120)
@dataclass(frozen=True, slots=True)
class FoundingQuery:
    """A query from a controller with an empty data folder, which asks a peer for its cluster.

    :param voter_names: the founding voters in the sender's settings
    :param address: the sender's address; empty if the operator must provide it
    """

    voter_names: tuple[str, ...]
    address: str = ""


@message(121)
@dataclass(frozen=True, slots=True)
class FoundingAnswer:
    """Answer to a founding query, addressed to the incarnation that asked.

    :param cluster: the responder's cluster; empty if its data folder is empty too
    :param voter_names: the founding voters in the responder's settings
    :param controllers: the controllers that the responder knows, itself included
    """

    cluster: str
    voter_names: tuple[str, ...]
    controllers: tuple[PeerAddress, ...] = ()


@message(122)
@dataclass(frozen=True, slots=True)
class ClusterFounded:
    """Sends the initial configuration of a new cluster to one of its voters."""

    configuration: MemberConfiguration


FoundingMessage = FoundingQuery | FoundingAnswer | ClusterFounded

AgreementMessage = (
    PreVoteRequest
    | PreVoteResponse
    | VoteRequest
    | VoteResponse
    | AppendEntriesRequest
    | AppendEntriesResponse
    | InstallSnapshotRequest
    | InstallSnapshotResponse
    | TimeoutNowRequest
)
