"""Fault scripts for reads and the lease: cut-off leaders, late messages, clocks."""

from __future__ import annotations

from features.support.agreement_script_tools import propose_accepted, read_at_old_leader, require
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
"""A message takes up to twice the scripts' delay; after that the other voter may vote."""
LONGEST_ROUND_S = 0.165
"""Longer than a heartbeat round: the interval of 0.1 s is checked at ticks of 0.04 to 0.06 s."""
LONG_S = 1e6
"""Added to an election deadline to keep a machine from standing for election."""


def late_answers(cluster: ScriptedCluster) -> None:
    """Responses to heartbeats arrive late, and then the leader is cut off."""
    leader = cluster.make_leader("a")
    cluster.should_hold = lambda sender, to, message: (
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
    read_at_old_leader(cluster, leader)


def cut_off_candidate(cluster: ScriptedCluster) -> None:
    """A voter without contact to the leader asks for the vote of one that has contact."""
    leader = cluster.make_leader("a")
    connected, isolated = cluster.machines["b"], cluster.machines["c"]
    cluster.cut(leader, isolated)
    cluster.run_until(lambda: _stands_within(isolated, 0.02))
    cluster.cut(leader, connected)
    read_at_old_leader(cluster, leader)


def _stands_within(machine, seconds: float) -> bool:
    return machine.agreement._state.election_deadline - machine.local_now < seconds


def _contacted_within(machine, seconds: float) -> bool:
    return machine.local_now - machine.agreement._state.leader_contact_at < seconds


def restarted_voter(cluster: ScriptedCluster) -> None:
    """The only voter that confirms the lease restarts while the other stands for election."""
    leader = cluster.make_leader("a")
    connected, isolated = cluster.machines["b"], cluster.machines["c"]
    cluster.cut(leader, isolated)
    cluster.run_until(lambda: _stands_within(isolated, 0.05) and _contacted_within(connected, 0.01))
    cluster.run(0.003)
    cluster.cut(leader, connected)
    connected.kill_process()
    connected.start()
    read_at_old_leader(cluster, leader)


def former_leader_asks(cluster: ScriptedCluster, restarts: bool = False) -> None:
    """An isolated former leader asks the only voter that confirms the current leader's lease.

    :param restarts: whether that voter restarts first
    """
    isolated = cluster.first_leader()
    connected, successor = cluster.others(isolated)
    leader = cluster.make_leader(successor.name)
    cluster.cut(leader, isolated)
    isolated.agreement._state.election_deadline += LONG_S
    cluster.run(cluster.world.options.timing.election_timeout_minimum_s)
    cluster.run_until(lambda: _contacted_within(connected, 0.01))
    cluster.run(0.003)
    cluster.cut(leader, connected)
    isolated.agreement._state.election_deadline = isolated.local_now
    if restarts:
        connected.kill_process()
        connected.start()
    read_at_old_leader(cluster, leader)


def former_leader_asks_after_restart(cluster: ScriptedCluster) -> None:
    """The same after the voter restarted: it must know which leader it acknowledged last."""
    former_leader_asks(cluster, restarts=True)


def cut_off_leader_reads(cluster: ScriptedCluster) -> None:
    """A leader is cut off without notice, and reads are sent to it until it steps down."""
    leader = cluster.make_leader("a")
    propose_accepted(cluster, leader)
    cluster.cut(leader)
    read_at_old_leader(cluster, leader)


def new_leader_reads(cluster: ScriptedCluster) -> None:
    """A new leader gets its lease from a follower that is behind, and receives reads.

    It does not know yet that its entries are committed, and has not applied them.
    """
    old, behind, new = cluster.make_leader("a"), cluster.machines["b"], cluster.machines["c"]
    base_index = old.agreement.last_index
    cluster.cut(behind)
    cluster.should_hold = lambda sender, to, message: (
        isinstance(message, AppendEntriesRequest) and message.commit_index > base_index
    )
    propose_accepted(cluster, old)
    old.power_loss()
    cluster.held.clear()
    cluster.heal()
    require(cluster.run_until(lambda: is_leading(new)), "c does not lead")
    cluster.run_until(lambda: not cluster.read(new), 0.5)


def drifting_clocks(cluster: ScriptedCluster) -> None:
    """A leader with a slow clock is cut off from followers with fast clocks."""
    cut_off_leader_reads(cluster)


def late_message_of_old_term(cluster: ScriptedCluster) -> None:
    """A heartbeat of an old term arrives when its sender leads again, in a newer term."""
    leader = cluster.make_leader("a")
    other = cluster.machines["b"]
    cluster.run(CUT_OFF_ROUNDS * cluster.world.options.timing.heartbeat_interval_s)
    cluster.should_hold = lambda sender, to, message: (
        sender is leader and to is other and isinstance(message, AppendEntriesRequest)
    )
    cluster.run(0.25)
    late = cluster.held[-1]
    cluster.release_held()
    leader.handle(LeadershipTransferRequested())
    cluster.run_until(lambda: not is_leading(leader))
    cluster.make_leader("a")
    cluster._deliver(*late)
    cluster.run(0.01)
    cluster.cut(leader)
    read_at_old_leader(cluster, leader)


def handing_over(cluster: ScriptedCluster) -> None:
    """A leader hands over, and receives nothing about its successor's candidacy."""
    leader = cluster.make_leader("a")
    for other in cluster.others(leader):
        cluster.cut_one_way(other, leader)
    leader.handle(LeadershipTransferRequested())
    cluster.run(0.0025)
    cluster.cut(leader)
    read_at_old_leader(cluster, leader)


def silent_cut(cluster: ScriptedCluster) -> None:
    """A leader is cut off without notice: it must step down and refuse proposals and reads."""
    leader = cluster.make_leader("a")
    cluster.cut(leader)
    number = cluster.start_proposal(leader)
    cluster.run(cluster.world.options.timing.election_timeout_maximum_s * 1.5)
    require(not is_leading(leader), "it still claims to lead")
    reasons = [stepped_down.reason for stepped_down in leader.step_downs]
    require(reasons[-1:] == [StepDownReason.NO_QUORUM], f"step-downs {reasons}")
    refusal = leader.answers.get(number)
    require(refusal is not None, "the proposal got no answer")
    require(refusal.failure.code.outcome is Outcome.UNKNOWN, f"{refusal}")
    require(not isinstance(cluster.read(leader), ReadReady), "it serves reads")
    stamp = leader.agreement.quorum_stamp
    cluster.run(1.0)
    require(leader.agreement.quorum_stamp == stamp, "its quorum stamp still advances")
