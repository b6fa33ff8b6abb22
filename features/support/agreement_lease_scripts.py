"""Scripts of faults aimed at reads and the lease: cut-off leaders, late messages, clocks."""

from __future__ import annotations

from features.support.agreement_script_tools import accept, read_stale, require
from features.support.agreement_world import ScriptedCluster, is_leading
from limedyke.core.agreement.commands import (
    ReadReady,
    StepDownReason,
)
from limedyke.core.agreement.events import (
    LeadershipTransferRequested,
)
from limedyke.messages.agreement import (
    AppendEntriesRequest,
    AppendEntriesResponse,
)
from limedyke.result_codes import Outcome

CUT_OFF_ROUNDS = 30
LONGEST_DELAY_S = 0.002
"""A message takes up to twice the delay of the scripts: the other voter is free by then."""
LONGEST_ROUND_S = 0.165
"""Spans a heartbeat round: an interval of 0.1 s, found due at a tick of 0.04 to 0.06 s."""
LONG_S = 1e6
"""Keeps a machine from standing for election, as a timeout that another one runs out before."""


def late_answers(cluster: ScriptedCluster) -> None:
    """Answers to heartbeats arrive late, and then the leader is cut off."""
    leader = cluster.lead("a")
    cluster.holds = lambda sender, to, message: (
        to is leader and isinstance(message, AppendEntriesResponse)
    )
    cluster.cut_one_way(leader, *cluster.others(leader))
    cluster.run(0.001)
    cluster.heal()
    cluster.run(LONGEST_ROUND_S)
    cluster.cut_one_way(leader, *cluster.others(leader))
    cluster.run(0.2)
    cluster.machines["b"].agreement._state.election_deadline += LONGEST_DELAY_S
    cluster.machines["c"].agreement._state.election_deadline += LONG_S
    cluster.release_held()
    cluster.cut(leader)
    read_stale(cluster, leader)


def cut_off_candidate(cluster: ScriptedCluster) -> None:
    """One that lost sight of the leader stands for election at one that still hears it."""
    leader = cluster.lead("a")
    hearing, blind = cluster.machines["b"], cluster.machines["c"]
    cluster.cut(leader, blind)
    cluster.run_until(lambda: _stands_within(blind, 0.02))
    cluster.cut(leader, hearing)
    read_stale(cluster, leader)


def _stands_within(machine, seconds: float) -> bool:
    return machine.agreement._state.election_deadline - machine.local_now < seconds


def _heard_within(machine, seconds: float) -> bool:
    return machine.local_now - machine.agreement._state.leader_contact_at < seconds


def restarted_voter(cluster: ScriptedCluster) -> None:
    """The only voter that confirms the lease restarts while the other stands for election."""
    leader = cluster.lead("a")
    hearing, blind = cluster.machines["b"], cluster.machines["c"]
    cluster.cut(leader, blind)
    cluster.run_until(lambda: _stands_within(blind, 0.05) and _heard_within(hearing, 0.01))
    cluster.run(0.003)
    cluster.cut(leader, hearing)
    hearing.kill_process()
    hearing.start()
    read_stale(cluster, leader)


def former_leader_asks(cluster: ScriptedCluster, restarts: bool = False) -> None:
    """The first leader, blind now, asks the only voter that confirms the lease of its successor.

    :param restarts: that voter restarts first
    """
    blind = cluster.first_leader()
    hearing, successor = cluster.others(blind)
    leader = cluster.lead(successor.name)
    cluster.cut(leader, blind)
    blind.agreement._state.election_deadline += LONG_S
    cluster.run(cluster.world.options.timing.election_timeout_minimum_s)
    cluster.run_until(lambda: _heard_within(hearing, 0.01))
    cluster.run(0.003)
    cluster.cut(leader, hearing)
    blind.agreement._state.election_deadline = blind.local_now
    if restarts:
        hearing.kill_process()
        hearing.start()
    read_stale(cluster, leader)


def former_leader_asks_after_restart(cluster: ScriptedCluster) -> None:
    """The same, the voter having restarted: it must know whom it vouched for last."""
    former_leader_asks(cluster, restarts=True)


def cut_off_leader_reads(cluster: ScriptedCluster) -> None:
    """A leader is silently cut off, and read at until it steps down."""
    leader = cluster.lead("a")
    accept(cluster, leader)
    cluster.cut(leader)
    read_stale(cluster, leader)


def new_leader_reads(cluster: ScriptedCluster) -> None:
    """A new leader gets its lease from a follower that is behind, and is read at.

    It does not know yet that what it holds is committed, and has not applied it.
    """
    old, behind, new = cluster.lead("a"), cluster.machines["b"], cluster.machines["c"]
    base_index = old.agreement.last_index
    cluster.cut(behind)
    cluster.holds = lambda sender, to, message: (
        isinstance(message, AppendEntriesRequest) and message.commit_index > base_index
    )
    accept(cluster, old)
    old.power_loss()
    cluster.held.clear()
    cluster.heal()
    require(cluster.run_until(lambda: is_leading(new)), "c does not lead")
    cluster.run_until(lambda: not cluster.read(new), 0.5)


def drifting_clocks(cluster: ScriptedCluster) -> None:
    """A leader with a slow clock is cut off from followers with fast ones."""
    cut_off_leader_reads(cluster)


def late_message_of_old_term(cluster: ScriptedCluster) -> None:
    """A heartbeat of an old term arrives when its sender leads again, in a newer term."""
    leader = cluster.lead("a")
    other = cluster.machines["b"]
    cluster.run(CUT_OFF_ROUNDS * cluster.world.options.timing.heartbeat_interval_s)
    cluster.holds = lambda sender, to, message: (
        sender is leader and to is other and isinstance(message, AppendEntriesRequest)
    )
    cluster.run(0.25)
    late = cluster.held[-1]
    cluster.release_held()
    leader.handle(LeadershipTransferRequested())
    cluster.run_until(lambda: not is_leading(leader))
    cluster.lead("a")
    cluster._deliver(*late)
    cluster.run(0.01)
    cluster.cut(leader)
    read_stale(cluster, leader)


def handing_over(cluster: ScriptedCluster) -> None:
    """A leader hands over, and hears nothing any more of its successor's candidacy."""
    leader = cluster.lead("a")
    for other in cluster.others(leader):
        cluster.cut_one_way(other, leader)
    leader.handle(LeadershipTransferRequested())
    cluster.run(0.0025)
    cluster.cut(leader)
    read_stale(cluster, leader)


def silent_cut(cluster: ScriptedCluster) -> None:
    """A leader is cut off without notice: it neither accepts nor serves, and says so."""
    leader = cluster.lead("a")
    cluster.cut(leader)
    number = cluster.start_proposal(leader)
    cluster.run(cluster.world.options.timing.election_timeout_maximum_s * 1.5)
    require(not is_leading(leader), "it still believes that it leads")
    reasons = [stepped_down.reason for stepped_down in leader.step_downs]
    require(reasons[-1:] == [StepDownReason.NO_QUORUM], f"step-downs {reasons}")
    refusal = leader.answers.get(number)
    require(refusal is not None, "the proposal got no answer")
    require(refusal.failure.code.outcome is Outcome.UNKNOWN, f"{refusal}")
    require(not isinstance(cluster.read(leader), ReadReady), "it serves reads")
    stamp = leader.agreement.quorum_stamp
    cluster.run(1.0)
    require(leader.agreement.quorum_stamp == stamp, "its stamp goes on")
