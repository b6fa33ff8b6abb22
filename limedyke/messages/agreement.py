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
    """One controller and one life of its data folder.

    :param name: the controller's name in the settings
    :param incarnation: random identifier made when the data folder was initialised
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

    :param cluster: identifier made when the cluster was founded; empty before
    :param voters: identities that count for elections and commits
    :param learners: identities that receive entries but do not count
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
    """Grows only when a majority of voters has just confirmed the leader.

    :param counter: the last confirmed heartbeat round of the term
    """

    term: int = 0
    counter: int = 0


@message(110)
@dataclass(frozen=True, slots=True)
class PreVoteRequest:
    """Asks whether a candidacy in ``term`` would get the vote; changes nothing."""

    term: int
    last_index: int
    last_term: int


@message(111)
@dataclass(frozen=True, slots=True)
class PreVoteResponse:
    """Answer to a pre-vote.

    :param term: the responder's own term
    :param prospective_term: the term that was asked for
    """

    term: int
    prospective_term: int
    granted: bool


@message(112)
@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for the vote in ``term``.

    :param leadership_transfer: the leader of the preceding term gave up its lease for this
    """

    term: int
    last_index: int
    last_term: int
    leadership_transfer: bool


@message(113)
@dataclass(frozen=True, slots=True)
class VoteResponse:
    """Answer to a vote request, sent after the vote is synced."""

    term: int
    granted: bool


@message(114)
@dataclass(frozen=True, slots=True)
class AppendEntriesRequest:
    """Entries after ``previous_index``, or a heartbeat when there are none.

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
    """Answer to entries, sent after they are synced.

    :param previous_index: echo of the request
    :param match_index: the last index known equal to the leader's, when accepted
    :param conflict_index: where the leader should continue, when refused
    :param conflict_term: the follower's term at the conflict; 0 when its log is too short
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
    """A part of a snapshot; an empty part keeps the transfer alive.

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
    """Answer to a part of a snapshot.

    :param next_offset: the first byte still missing
    :param installed: the whole snapshot is synced
    """

    term: int
    snapshot_index: int
    next_offset: int
    installed: bool
    round_number: int


@message(118)
@dataclass(frozen=True, slots=True)
class TimeoutNowRequest:
    """The leader of ``term`` gave up its lease: the receiver stands for election at once."""

    term: int


@message(119)
@dataclass(frozen=True, slots=True)
class AgreementEnvelope:
    """Carries one encoded message between two exact identities of one cluster."""

    cluster: str
    sender: ControllerIdentity
    recipient: ControllerIdentity
    body: bytes


@message(123)
@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where a controller is reached by the other controllers (``ip:port``)."""

    name: str
    address: str


@message(120)
@dataclass(frozen=True, slots=True)
class FoundingQuery:
    """A controller with an empty data folder asks a peer, by name only, for a cluster.

    :param voter_names: the founding voters according to the sender's settings
    :param address: where the sender is reached; empty when the operator is to say it
    """

    voter_names: tuple[str, ...]
    address: str = ""


@message(121)
@dataclass(frozen=True, slots=True)
class FoundingAnswer:
    """Answer to a founding query, to exactly the incarnation that asked.

    :param cluster: the responder's cluster; empty when its data folder is empty too
    :param voter_names: the founding voters according to the responder's settings
    :param controllers: the controllers that the responder knows, itself included
    """

    cluster: str
    voter_names: tuple[str, ...]
    controllers: tuple[PeerAddress, ...] = ()


@message(122)
@dataclass(frozen=True, slots=True)
class ClusterFounded:
    """The configuration that a cluster was founded with, to one of its voters."""

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
