"""Fault scripts for elections: terms, entries of old terms, restarts."""

from __future__ import annotations

from features.support.agreement_script_tools import propose_accepted, require
from features.support.agreement_world import ScriptedCluster, is_leading
from limedyke.messages.agreement import (
    AppendEntriesRequest,
)

LONG_S = 1e6
RESTART_S = 0.3
RESTART_MARGIN_S = 0.05


def late_candidate(cluster: ScriptedCluster) -> None:
    """A controller without the accepted proposal asks for the vote of one that has it."""
    leader = cluster.make_leader("a")
    behind = cluster.machines["b"]
    cluster.cut(behind)
    propose_accepted(cluster, leader)
    cluster.machines["c"].agreement._state.election_deadline += LONG_S
    leader.power_loss()
    cluster.heal()
    cluster.run(4.0)
    require(not is_leading(behind), "a leader without the accepted proposal was elected")


def old_term_entries(cluster: ScriptedCluster) -> None:
    """An entry of an old term reaches a majority, but no entry of the leader's own term does."""
    first, third = cluster.make_leader("a"), cluster.machines["c"]
    cluster.cut(first)
    cluster.start_proposal(first)
    cluster.run(0.01)
    first.power_loss()
    cluster.machines["b"].agreement._state.election_deadline += LONG_S
    cluster.should_hold = lambda sender, to, message: sender is third and _has_entries(message)
    require(cluster.run_until(lambda: is_leading(third), 8.0), "c does not lead")
    cluster.run(0.02)
    third.power_loss()
    cluster.held.clear()
    cluster.heal()
    cluster.should_hold = lambda sender, to, message: (
        sender is first
        and _has_own_entries(message)
        and to.is_up
        and to.agreement.last_index >= message.previous_index
    )
    first.start()
    require(cluster.run_until(lambda: is_leading(first), 8.0), "a does not lead again")
    cluster.run(0.2)
    first.power_loss()
    cluster.held.clear()
    third.start()
    cluster.run_until(lambda: is_leading(third), 8.0)
    cluster.run(1.0)


def _has_entries(message) -> bool:
    return isinstance(message, AppendEntriesRequest) and bool(message.entries)


def _has_own_entries(message) -> bool:
    return _has_entries(message) and message.entries[-1].term == message.term


def all_processes_restart(cluster: ScriptedCluster) -> None:
    """All processes end and restart a little later; the machines keep their power.

    The former leader stays down: it could stand at once, so that no voter would have to know when
    the lease ends.
    """
    leader = cluster.make_leader("a")
    for machine in cluster.machines.values():
        machine.kill_process()
    cluster.run(RESTART_S)
    for machine in cluster.others(leader):
        machine.start()
    timing = cluster.world.options.timing
    bound_s = timing.election_timeout_minimum_s - RESTART_S
    timeout_s = bound_s + timing.pre_vote_retry_minimum_s + RESTART_MARGIN_S
    require(cluster.run_until(cluster.leader, timeout_s), "no leader in time")


def all_lose_power(cluster: ScriptedCluster) -> None:
    """All machines lose power and restart; the last leader leads without waiting for a lease."""
    cluster.make_leader("a")
    for machine in cluster.machines.values():
        machine.power_loss()
    cluster.run(RESTART_S)
    for machine in cluster.machines.values():
        machine.start()
    timing = cluster.world.options.timing
    timeout_s = timing.election_timeout_minimum_s / 2
    require(cluster.run_until(cluster.leader, timeout_s), "no leader in time")


def pending_proposal(cluster: ScriptedCluster) -> None:
    """A leader is cut off right after its followers received a proposal, and steps down."""
    leader = cluster.make_leader("a")
    number = cluster.start_proposal(leader)
    cluster.run(0.0021)
    cluster.cut(leader)
    cluster.run_until(lambda: not is_leading(leader))
    require(number in leader.answers, "the pending proposal got no answer")
    cluster.run(2.0)


def diverged_follower(cluster: ScriptedCluster) -> None:
    """A new leader needs a follower that is behind, and then one with conflicting entries."""
    old, behind, new = cluster.make_leader("a"), cluster.machines["b"], cluster.machines["c"]
    cluster.cut(behind)
    for _ in range(6):
        propose_accepted(cluster, old)
    cluster.cut(old)
    cluster.heal()
    cluster.cut(old)
    for _ in range(6):
        cluster.start_proposal(old)
    require(cluster.run_until(lambda: is_leading(new)), "c does not lead")
    propose_accepted(cluster, new)
    cluster.heal()
    propose_accepted(cluster, new)
    followed = cluster.run_until(lambda: old.applied.index == new.applied.index, 4.0)
    require(followed, f"a stays at {old.applied.index}")
