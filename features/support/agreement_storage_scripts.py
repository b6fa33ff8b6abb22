"""Fault scripts for disks: lost power, lost disks, full or failing disks."""

from __future__ import annotations

from collections.abc import Callable

from features.support.agreement_script_tools import propose_accepted, require
from features.support.agreement_world import ScriptedCluster, is_leading
from limedyke.core.agreement.commands import (
    ProposalRefused,
    Role,
    StepDownReason,
)
from limedyke_lab.simulated_disk import SimulatedDisk


def unsynced_entries(cluster: ScriptedCluster) -> None:
    """All machines lose power right after a proposal is accepted, on slow disks."""
    leader = cluster.make_leader("a")
    for machine in cluster.machines.values():
        machine._disk_busy_until = cluster.world.now + 0.1
    propose_accepted(cluster, leader)
    for machine in cluster.machines.values():
        machine.power_loss()


def unsynced_disk(cluster: ScriptedCluster) -> None:
    """All machines lose power some time after proposals are accepted."""
    leader = cluster.make_leader("a")
    for _ in range(5):
        propose_accepted(cluster, leader)
    for machine in cluster.machines.values():
        machine.power_loss()
    for machine in cluster.machines.values():
        machine.start()


def lost_disk(cluster: ScriptedCluster) -> None:
    """A holder of an accepted proposal loses its disk, and meets one without the proposal."""
    leader = cluster.make_leader("a")
    behind, lost = cluster.machines["b"], cluster.machines["c"]
    cluster.cut(behind)
    propose_accepted(cluster, leader)
    lost.lose_disk()
    cluster.heal()
    leader.power_loss()
    lost.start()
    cluster.run(4.0)
    require(not is_leading(behind), "a leader without the accepted proposal was elected")


def second_machine(cluster: ScriptedCluster) -> None:
    """A machine loses its disk and is repaired, and right after that a second one is lost."""
    leader = cluster.make_leader("a")
    behind, first = cluster.machines["b"], cluster.machines["c"]
    cluster.cut(behind)
    propose_accepted(cluster, leader)
    cluster.heal()
    first.lose_disk()
    first.start()
    require(cluster.repair("c"), "c was not repaired")
    behind_since = behind.applied.index
    cluster.cut(behind)
    propose_accepted(cluster, leader)
    leader.lose_disk()
    cluster.heal()
    require(behind.applied.index == behind_since, "b must be behind")
    require(cluster.run_until(lambda: is_leading(first), 8.0), "the repaired c does not lead")
    leader.start()
    require(cluster.repair("a"), "a was not repaired")


def power_and_disk_lost_after_repair(cluster: ScriptedCluster) -> None:
    """Long after a repair, all machines lose power at once, and the leader also its disk."""
    leader = cluster.make_leader("a")
    repaired = cluster.machines["c"]
    repaired.lose_disk()
    repaired.start()
    cluster.repair("c")
    propose_accepted(cluster, leader)
    cluster.run(1.0)
    for machine in cluster.machines.values():
        machine.power_loss()
    leader.lose_disk()
    for machine in cluster.machines.values():
        machine.start()
    elected = cluster.run_until(lambda: cluster.leader() in cluster.others(leader), 5.0)
    require(elected, "two of three voters with their disks elect nobody")
    require(cluster.repair("a"), "a was not repaired")


def two_lost_disks(cluster: ScriptedCluster) -> None:
    """Two of three disks are lost at once: the last holder must not continue alone."""
    leader = cluster.make_leader("a")
    propose_accepted(cluster, leader)
    for machine in cluster.others(leader):
        machine.lose_disk()
        machine.start()
    cluster.run(5.0)
    leading = [machine.name for machine in cluster.machines.values() if is_leading(machine)]
    require(not leading, f"{leading} lead without a majority")


def full_disk(cluster: ScriptedCluster) -> None:
    """The leader's disk is full: it refuses proposals and steps down, and the others continue."""
    _failing_disk(cluster, lambda disk: setattr(disk, "capacity_bytes", disk._used_bytes() + 10))


def failing_sync(cluster: ScriptedCluster) -> None:
    """One sync of the leader's disk fails."""
    _failing_disk(cluster, lambda disk: disk.fail_syncs(1))


def _failing_disk(cluster: ScriptedCluster, fail: Callable[[SimulatedDisk], None]) -> None:
    leader = cluster.make_leader("a")
    propose_accepted(cluster, leader)
    fail(leader.disk)
    answer = cluster.propose(leader, 3.0)
    require(isinstance(answer, ProposalRefused), f"answered {answer}")
    reasons = [stepped_down.reason for stepped_down in leader.step_downs]
    require(reasons[-1:] == [StepDownReason.STORAGE_FAILED], f"step-downs {reasons}")
    require(leader.agreement.role is Role.STOPPED, f"a is a {leader.agreement.role}")
    require(cluster.run_until(lambda: cluster.leader() not in (None, leader), 4.0), "no leader")
    cluster.run(0.2)
    propose_accepted(cluster, cluster.leader())
    leader.disk.capacity_bytes = None
    leader.kill_process()
    leader.start()
    caught_up = cluster.run_until(
        lambda: leader.applied.index == cluster.leader().applied.index, 4.0
    )
    require(caught_up, "a does not follow after the repair of its disk")
