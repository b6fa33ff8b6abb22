"""Bootstrap with empty data folders: found a cluster, or join the existing one.

The controller with the lowest name founds the cluster, and only after every founding voter named in
the settings has told this very incarnation that its folder is empty too. A machine that lost its
disk therefore never founds a second cluster while another voter still knows the first: it joins
with its new incarnation and waits to be added as a learner.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedyke.core.agreement.records import Snapshot, genesis_snapshot
from limedyke.messages.agreement import (
    NO_CLUSTER,
    ClusterFounded,
    ControllerIdentity,
    FoundingAnswer,
    FoundingMessage,
    FoundingQuery,
    MemberConfiguration,
    PeerAddress,
)

QUERY_INTERVAL_S = 0.25
ANY_INCARNATION = ""


class JoinReason(enum.StrEnum):
    """Why a controller with an empty folder joins a cluster instead of founding one."""

    CLUSTER_EXISTS = "cluster-exists"
    NOT_A_FOUNDING_VOTER = "not-a-founding-voter"


@dataclass(frozen=True, slots=True)
class SendFoundingMessage:
    """Send a message; an empty incarnation addresses any incarnation of the name."""

    to: ControllerIdentity
    message: FoundingMessage


@dataclass(frozen=True, slots=True)
class InstallGenesis:
    """Install this snapshot on disk, then start the agreement as a voter."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class JoinCluster:
    """Start the agreement with the empty folder and wait to be added as a learner."""

    reason: JoinReason


@dataclass(frozen=True, slots=True)
class SettingsDisagree:
    """A peer's settings name other founding voters, so no cluster is founded."""

    peer: ControllerIdentity
    voter_names: tuple[str, ...]


FoundingCommand = SendFoundingMessage | InstallGenesis | JoinCluster | SettingsDisagree


class Founding:
    """Decides whether to found or to join a cluster; used while the data folder is empty.

    :param voter_names: the founding voters in the settings
    :param new_cluster: a random cluster identifier, used only if this controller founds the cluster
    """

    def __init__(
        self, identity: ControllerIdentity, voter_names: tuple[str, ...], new_cluster: str
    ) -> None:
        self._identity = identity
        self._voter_names = tuple(sorted(voter_names))
        self._new_cluster = new_cluster
        self._empty_peers: dict[str, ControllerIdentity] = {}
        self._next_query_at = float("-inf")
        self._finished = False

    def tick(self, now: float) -> list[FoundingCommand]:
        """Query the peers periodically."""
        if self._finished or now < self._next_query_at:
            return []
        self._next_query_at = now + QUERY_INTERVAL_S
        query = FoundingQuery(self._voter_names)
        queries: list[FoundingCommand] = [
            SendFoundingMessage(ControllerIdentity(name, ANY_INCARNATION), query)
            for name in self._voter_names
            if name != self._identity.name
        ]
        return queries + self._found_when_all_are_empty()

    def handle(self, sender: ControllerIdentity, message: FoundingMessage) -> list[FoundingCommand]:
        """Handle a message from a peer."""
        match message:
            case FoundingQuery():
                return [self._answer(sender)]
            case _ if self._finished:
                return []
            case FoundingAnswer():
                return self._on_answer(sender, message)
            case ClusterFounded():
                return self._on_founded(message)

    def on_leader_contact(self) -> list[FoundingCommand]:
        """Join: a leader already replicates to this incarnation."""
        return self._join(JoinReason.CLUSTER_EXISTS)

    def _answer(self, sender: ControllerIdentity) -> SendFoundingMessage:
        answer = FoundingAnswer(NO_CLUSTER, self._voter_names)
        return SendFoundingMessage(sender, answer)

    def _on_answer(
        self, sender: ControllerIdentity, answer: FoundingAnswer
    ) -> list[FoundingCommand]:
        if answer.cluster != NO_CLUSTER:
            return self._join(JoinReason.CLUSTER_EXISTS)
        if tuple(sorted(answer.voter_names)) != self._voter_names:
            return [SettingsDisagree(sender, answer.voter_names)]
        self._empty_peers[sender.name] = sender
        return self._found_when_all_are_empty()

    def _found_when_all_are_empty(self) -> list[FoundingCommand]:
        if self._finished or self._identity.name != self._voter_names[0]:
            return []
        known = {**self._empty_peers, self._identity.name: self._identity}
        if any(name not in known for name in self._voter_names):
            return []
        self._finished = True
        voters = tuple(known[name] for name in self._voter_names)
        genesis = genesis_snapshot(self._new_cluster, voters)
        founded = ClusterFounded(genesis.configuration)
        notifications: list[FoundingCommand] = [
            SendFoundingMessage(voter, founded) for voter in voters if voter != self._identity
        ]
        return [*notifications, InstallGenesis(genesis)]

    def _on_founded(self, message: ClusterFounded) -> list[FoundingCommand]:
        configuration = message.configuration
        if self._identity not in configuration.voters:
            return self._join(JoinReason.NOT_A_FOUNDING_VOTER)
        self._finished = True
        return [InstallGenesis(genesis_snapshot(configuration.cluster, configuration.voters))]

    def _join(self, reason: JoinReason) -> list[FoundingCommand]:
        if self._finished:
            return []
        self._finished = True
        return [JoinCluster(reason)]


def answer_founding_query(
    sender: ControllerIdentity,
    snapshot: Snapshot,
    configuration: MemberConfiguration,
    voter_names: tuple[str, ...],
    controllers: tuple[PeerAddress, ...] = (),
) -> SendFoundingMessage:
    """Return a cluster member's answer to the query of a controller with an empty folder.

    :param snapshot: the responder's newest snapshot; while this is still the genesis snapshot, a
        founding voter that missed the founding receives it
    :param configuration: the responder's newest configuration
    :param controllers: the addresses of the controllers that the responder knows
    """
    is_genesis = (snapshot.index, snapshot.data) == (1, b"")
    if is_genesis and sender in snapshot.configuration.voters:
        return SendFoundingMessage(sender, ClusterFounded(snapshot.configuration))
    answer = FoundingAnswer(configuration.cluster, tuple(voter_names), controllers)
    return SendFoundingMessage(sender, answer)
