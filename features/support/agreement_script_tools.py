"""Helpers shared by the fault scripts for the agreement."""

from __future__ import annotations

from features.support.agreement_world import ScriptedCluster, is_leading
from limedyke.core.agreement.commands import ProposalAccepted
from limedyke_lab.agreement_simulation.machine import Machine


class ScriptFailureError(Exception):
    """The controllers did not behave as the script requires."""


def require(condition: object, what: str) -> None:
    """Fail the script unless a condition holds."""
    if not condition:
        raise ScriptFailureError(what)


def propose_accepted(cluster: ScriptedCluster, machine: Machine) -> None:
    """Propose at a leader; the script fails unless the proposal is accepted."""
    answer = cluster.propose(machine, 2.0)
    require(isinstance(answer, ProposalAccepted), f"{machine.name} answered {answer}")


def read_at_old_leader(cluster: ScriptedCluster, old: Machine, seconds: float = 2.0) -> None:
    """Let the others commit as soon as they can, while reads are sent to the old leader."""
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
