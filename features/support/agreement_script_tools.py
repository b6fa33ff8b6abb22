"""What scripts of faults against the agreement have in common."""

from __future__ import annotations

from features.support.agreement_world import ScriptedCluster, is_leading
from limedyke.core.agreement.commands import ProposalAccepted
from limedyke_lab.agreement_simulation.machine import Machine


class ScriptFailureError(Exception):
    """The controllers did what they must not, or did not do what they must."""


def require(condition: object, what: str) -> None:
    """Fail the script unless a condition holds."""
    if not condition:
        raise ScriptFailureError(what)


def propose_accepted(cluster: ScriptedCluster, machine: Machine) -> None:
    """Have a proposal accepted by a leader; the script fails unless it is."""
    answer = cluster.propose(machine, 2.0)
    require(isinstance(answer, ProposalAccepted), f"{machine.name} answered {answer}")


def read_at_old_leader(cluster: ScriptedCluster, old: Machine, seconds: float = 2.0) -> None:
    """Let the others commit as soon as they can, and read at the old leader all the while."""
    new = []

    def step() -> bool:
        if is_leading(old):
            cluster.read(old)
        for machine in cluster.others(old):
            if is_leading(machine) and not new:
                new.append(machine)
                cluster.start_proposal(machine)
        return False

    cluster.run_until(step, seconds)
