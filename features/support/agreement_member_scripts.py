"""Fault scripts for membership changes: old incarnations, learners, replacements."""

from __future__ import annotations

from features.support.agreement_script_tools import propose_accepted, require
from features.support.agreement_world import ScriptedCluster, is_leading
from limedyke.core.agreement.commands import (
    ProposalAccepted,
    ProposalRefused,
)
from limedyke.core.agreement.events import (
    AddLearner,
    PromoteLearner,
    RemoveMember,
)
from limedyke.messages.agreement import (
    PreVoteResponse,
    VoteRequest,
    VoteResponse,
)


def old_incarnation_votes(cluster: ScriptedCluster) -> None:
    """An old incarnation returns after its machine was repaired, and asks for votes."""
    cluster.make_leader("a")
    old = cluster.machines["c"].identity
    cluster.machines["c"].lose_disk()
    cluster.machines["c"].start()
    require(cluster.repair("c"), "c was not repaired")
    deliver_old_incarnation_messages(cluster, old)


def deliver_old_incarnation_messages(cluster: ScriptedCluster, old) -> None:
    """Deliver messages of an old incarnation; the term must not change."""
    machine = cluster.machines["b"]
    term = machine.agreement.term
    cluster.machines["a"].power_loss()
    cluster.run(0.5)
    for message in old_incarnation_messages(term + 5):
        machine.receive(old, message)
        require(machine.agreement.term < term + 5, f"{message} of an old incarnation counts")


def old_incarnation_messages(term: int) -> list:
    """Return messages that an old incarnation may send in a high term."""
    from_candidate = [VoteRequest(term, 10**6, term, False), PreVoteResponse(term, term, True)]
    return [*from_candidate, VoteResponse(term, True)]


def two_changes(cluster: ScriptedCluster) -> None:
    """A cut-off leader is asked to remove one voter after the other."""
    leader = cluster.make_leader("a")
    first, second = cluster.others(leader)
    cluster.cut(leader)
    cluster.change_members(leader, RemoveMember(first.identity))
    cluster.change_members(leader, RemoveMember(second.identity))
    cluster.start_proposal(leader)
    cluster.run(0.05)
    cluster.run_until(lambda: any(is_leading(machine) for machine in (first, second)), 5.0)
    cluster.run(1.0)


def early_promotion(cluster: ScriptedCluster) -> None:
    """The promotion of an unreachable learner is refused, and the others continue."""
    leader = cluster.make_leader("a")
    lost = cluster.machines["c"]
    old = lost.identity
    for _ in range(10):
        propose_accepted(cluster, leader)
    lost.lose_disk()
    number = cluster.change_members(leader, AddLearner(lost.identity))
    require(cluster.run_until(lambda: number in leader.answers, 3.0), "no learner")
    cluster.run(1.0)
    number = cluster.change_members(leader, PromoteLearner(lost.identity, replaces=old))
    cluster.run_until(lambda: number in leader.answers, 2.0)
    answer = leader.answers.get(number)
    require(isinstance(answer, ProposalRefused), f"an unreachable learner became a voter: {answer}")
    propose_accepted(cluster, leader)


def learner_counts(cluster: ScriptedCluster) -> None:
    """A leader keeps contact only with a learner."""
    leader = cluster.make_leader("a")
    lost = cluster.machines["c"]
    lost.lose_disk()
    lost.start()
    number = cluster.change_members(leader, AddLearner(lost.identity))
    require(cluster.run_until(lambda: number in leader.answers, 3.0), "no learner")
    cluster.run(0.3)
    cluster.cut(cluster.machines["b"])
    answer = cluster.propose(leader, 3.0)
    require(not isinstance(answer, ProposalAccepted), "accepted without a majority of voters")
    cluster.run(3.0)
    require(not is_leading(leader) and not is_leading(lost), "leads with a learner's vote")


def snapshot_to_learner(cluster: ScriptedCluster) -> None:
    """A replaced machine is so far behind that it gets a snapshot in several chunks."""
    leader = cluster.make_leader("a")
    for _ in range(40):
        propose_accepted(cluster, leader)
    lost = cluster.machines["b"]
    lost.lose_disk()
    lost.start()
    require(cluster.repair("b"), "b was not repaired")
    require(lost.applied.index >= leader.applied.index - 2, f"b is at {lost.applied.index}")
