"""State that a controller keeps on disk: term, vote, entries and a snapshot."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import ormsgpack

from limedyke.messages.agreement import ControllerIdentity, LogEntry, MemberConfiguration


@dataclass(frozen=True, slots=True)
class HardState:
    """The current term and the vote cast in it.

    :param vouched_for: the last leader that this controller acknowledged; itself if it led
    """

    term: int = 0
    vote: ControllerIdentity | None = None
    vouched_for: ControllerIdentity | None = None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The applied state as of one entry.

    :param index: index of the last entry it covers; 0 for the empty state
    :param configuration: the members as of that entry
    """

    index: int = 0
    term: int = 0
    configuration: MemberConfiguration = field(default_factory=MemberConfiguration)
    data: bytes = b""


def genesis_snapshot(cluster: str, voters: tuple[ControllerIdentity, ...]) -> Snapshot:
    """Return the empty state that all founding voters of a cluster start from.

    Each founding voter installs it on its disk before its agreement starts.
    """
    configuration = MemberConfiguration(cluster=cluster, voters=voters)
    return Snapshot(index=1, term=1, configuration=configuration)


@dataclass(frozen=True, slots=True)
class StoredState:
    """Everything that a controller finds on its disk at start.

    :param entries: the entries after the snapshot, without gaps
    :param leader_contact_at: when an earlier process last had contact with a leader, by the clock
        that this process reads; None if unknown
    """

    hard_state: HardState = field(default_factory=HardState)
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: tuple[LogEntry, ...] = ()
    leader_contact_at: float | None = None

    def with_contact_bound(self, started_at: float) -> StoredState:
        """Return this state with an upper bound for the last leader contact, if none is stored.

        Any earlier process on this disk ended before this one started, and this one has not
        acknowledged a leader yet.

        :param started_at: when this process started, by the clock that it reads
        """
        is_bounded = self.leader_contact_at is not None or self.hard_state.term == 0
        return self if is_bounded else replace(self, leader_contact_at=started_at)

    def with_leader_contact(self, contact_at: float) -> StoredState:
        """Return this state for a process that has acknowledged leaders itself.

        :param contact_at: when it last had contact with a leader, by its clock; a time stored on
            disk is never later
        """
        return replace(self, leader_contact_at=contact_at)


def _pack_identity(identity: ControllerIdentity | None) -> list[str] | None:
    return None if identity is None else [identity.name, identity.incarnation]


def _unpack_identity(packed: list[str] | None) -> ControllerIdentity | None:
    return None if packed is None else ControllerIdentity(packed[0], packed[1])


def encode_configuration(configuration: MemberConfiguration) -> bytes:
    """Return the stored form of a configuration.

    The fourth item is always None: an earlier version stored a voter to be removed there. The
    previous voters are appended only if there are any, so that the earlier version can read all
    other entries.
    """
    packed = [
        configuration.cluster,
        [_pack_identity(voter) for voter in configuration.voters],
        [_pack_identity(learner) for learner in configuration.learners],
        None,
    ]
    if configuration.previous_voters:
        packed.append([_pack_identity(voter) for voter in configuration.previous_voters])
    return ormsgpack.packb(packed)


def decode_configuration(data: bytes) -> MemberConfiguration:
    """Return the configuration from its stored form."""
    cluster, voters, learners, _, *rest = ormsgpack.unpackb(data)
    previous_voters = rest[0] if rest else []
    return MemberConfiguration(
        cluster=cluster,
        voters=tuple(ControllerIdentity(*voter) for voter in voters),
        learners=tuple(ControllerIdentity(*learner) for learner in learners),
        previous_voters=tuple(ControllerIdentity(*voter) for voter in previous_voters),
    )


def encode_hard_state(hard_state: HardState) -> bytes:
    """Return the stored form of a term and vote.

    The last acknowledged leader is appended only if there is one, because an earlier version did
    not store it.
    """
    packed = [hard_state.term, _pack_identity(hard_state.vote)]
    if hard_state.vouched_for is not None:
        packed.append(_pack_identity(hard_state.vouched_for))
    return ormsgpack.packb(packed)


def decode_hard_state(data: bytes) -> HardState:
    """Return the term and vote from their stored form."""
    term, vote, *rest = ormsgpack.unpackb(data)
    return HardState(term, _unpack_identity(vote), _unpack_identity(rest[0]) if rest else None)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the stored form of a snapshot."""
    configuration = encode_configuration(snapshot.configuration)
    return ormsgpack.packb([snapshot.index, snapshot.term, configuration, snapshot.data])


def decode_snapshot(data: bytes) -> Snapshot:
    """Return the snapshot from its stored form."""
    index, term, configuration, content = ormsgpack.unpackb(data)
    return Snapshot(index, term, decode_configuration(configuration), content)
