"""Random faults, and the operator that restores machines after a disk loss."""

from __future__ import annotations

import itertools

from limedyke.core.agreement.commands import Role
from limedyke.core.agreement.events import (
    AddLearner,
    LeadershipTransferRequested,
    MembershipChange,
    MembershipChangeRequested,
    PromoteLearner,
)
from limedyke.messages.agreement import MemberConfiguration
from limedyke_lab.agreement_simulation.machine import Machine
from limedyke_lab.agreement_simulation.world import World

OPERATOR_INTERVAL_S = 0.3
MAXIMUM_CUT_S = 3.0
MAXIMUM_FREEZE_S = 2.5
MAXIMUM_OUTAGE_S = 2.0


class Operator:
    """Adds and promotes the new incarnation of a machine that lost its disk."""

    def __init__(self, world: World, machines: dict[str, Machine]) -> None:
        self._world = world
        self._machines = machines
        self._request_numbers = itertools.count()

    def start(self) -> None:
        """Start to check and repair the membership periodically."""
        self._check()

    def _check(self) -> None:
        leader = current_leader(self._machines)
        if leader is not None:
            self._repair(leader)
        self._world.after(OPERATOR_INTERVAL_S, self._check)

    def _repair(self, leader: Machine) -> None:
        configuration = leader.agreement.configuration
        for machine in self._machines.values():
            change = next_change(machine, configuration)
            if change is not None:
                request_id = f"operator{next(self._request_numbers)}"
                leader.handle(MembershipChangeRequested(request_id, change))

    def is_fully_repaired(self) -> bool:
        """Tell whether the voters are exactly the current incarnations of all machines."""
        leader = current_leader(self._machines)
        if leader is None:
            return False
        current_identities = {machine.identity for machine in self._machines.values()}
        voters = set(leader.agreement.configuration.voters)
        return leader.agreement.membership_settled and voters == current_identities


def next_change(machine: Machine, configuration: MemberConfiguration) -> MembershipChange | None:
    """Return the next change that brings a machine's current incarnation closer to voting."""
    identity = machine.identity
    if identity in configuration.voters:
        return None
    if identity not in configuration.learners:
        return AddLearner(identity)
    same_name_voters = [voter for voter in configuration.voters if voter.name == identity.name]
    return PromoteLearner(identity, replaces=same_name_voters[0] if same_name_voters else None)


def current_leader(machines: dict[str, Machine]) -> Machine | None:
    """Return the leader of the highest term among the running machines, or None."""
    leaders = [
        machine
        for machine in machines.values()
        if machine.is_up and not machine.frozen and machine.agreement.role is Role.LEADER
    ]
    return max(leaders, key=lambda machine: machine.agreement.term, default=None)


class FaultInjector:
    """Injects random faults until the fault phase ends, and then ends all of them."""

    def __init__(self, world: World, machines: dict[str, Machine], operator: Operator) -> None:
        self._world = world
        self._machines = machines
        self._operator = operator
        self._faults = (
            self._cut_both_ways,
            self._cut_one_way,
            self._isolate,
            self._isolate_leader,
            self._freeze,
            self._kill_process,
            self._power_loss,
            self._power_loss_in_write,
            self._power_loss_everywhere,
            self._lose_disk,
            self._lose_disks_and_power,
            self._transfer,
            self._slow_sender,
            self._late_answers_then_deaf,
            self._cut_one_restart_other,
        )

    def start(self) -> None:
        """Schedule the first fault."""
        self._schedule()

    def _schedule(self) -> None:
        delay_s = self._world.rng.expovariate(self._world.options.faults_per_s)
        self._world.after(delay_s, self._inject)

    def _inject(self) -> None:
        if self._world.faults_ended:
            return
        fault = self._world.rng.choice(self._faults)
        self._world.record_event(fault.__name__)
        fault()
        self._schedule()

    def end_all(self) -> None:
        """End every fault, so that the controllers can recover."""
        self._world.faults_ended = True
        self._world.cuts.clear()
        self._world.slow_pairs.clear()
        for machine in self._machines.values():
            machine.disk.lose_power_after(None)
            if machine.frozen:
                machine.thaw()
            if not machine.is_up:
                machine.start()

    def _any_machine(self) -> Machine:
        return self._world.rng.choice(list(self._machines.values()))

    def _cut(self, pairs: set[tuple[str, str]]) -> None:
        self._world.cuts |= pairs
        duration_s = self._world.rng.uniform(0.1, MAXIMUM_CUT_S)
        self._world.after(duration_s, lambda: self._world.cuts.difference_update(pairs))

    def _cut_both_ways(self) -> None:
        first, second = self._world.rng.sample(list(self._machines), 2)
        self._cut({(first, second), (second, first)})

    def _cut_one_way(self) -> None:
        first, second = self._world.rng.sample(list(self._machines), 2)
        self._cut({(first, second)})

    def _isolate(self) -> None:
        self._cut_off(self._any_machine())

    def _isolate_leader(self) -> None:
        self._cut_off(current_leader(self._machines) or self._any_machine())

    def _cut_off(self, machine: Machine) -> None:
        others = [name for name in self._machines if name != machine.name]
        outgoing = {(machine.name, other) for other in others}
        incoming = {(other, machine.name) for other in others}
        self._cut(outgoing | incoming)

    def _freeze(self) -> None:
        machine = self._any_machine()
        if not machine.is_up or machine.frozen:
            return
        machine.freeze()
        duration_s = self._world.rng.uniform(0.1, MAXIMUM_FREEZE_S)
        self._world.after(duration_s, lambda: machine.thaw() if machine.frozen else None)

    def _restart_later(self, machine: Machine) -> None:
        duration_s = self._world.rng.uniform(0.01, MAXIMUM_OUTAGE_S)
        self._world.after(duration_s, lambda: None if machine.is_up else machine.start())

    def _kill_process(self) -> None:
        machine = self._any_machine()
        if machine.is_up:
            machine.kill_process()
            self._restart_later(machine)

    def _power_loss(self) -> None:
        machine = self._any_machine()
        if machine.is_up:
            machine.power_loss()
            self._restart_later(machine)

    def _power_loss_in_write(self) -> None:
        machine = self._any_machine()
        if machine.is_up:
            machine.disk.lose_power_after(self._world.rng.randint(0, 6))
            self._restart_when_down(machine)

    def _restart_when_down(self, machine: Machine) -> None:
        """Poll until the power loss; it waits for a disk write, which may never come."""
        if self._world.faults_ended:
            return
        if machine.is_up:
            self._world.after(0.2, lambda: self._restart_when_down(machine))
        else:
            self._restart_later(machine)

    def _power_loss_everywhere(self) -> None:
        for machine in self._machines.values():
            if machine.is_up:
                machine.power_loss()
                self._restart_later(machine)

    def _lose_disk(self) -> None:
        """Lose a disk unless an earlier disk loss is still being repaired."""
        machine = self._any_machine()
        if self._operator.is_fully_repaired():
            if machine.is_up:
                machine.lose_disk()
            self._restart_later(machine)

    def _lose_disks_and_power(self) -> None:
        """Cut the power of all machines, and lose the disks of a minority of them."""
        if not self._operator.is_fully_repaired():
            return
        machines = list(self._machines.values())
        without_disk = self._world.rng.sample(machines, (len(machines) - 1) // 2)
        for machine in machines:
            if machine in without_disk and machine.is_up:
                machine.lose_disk()
            elif machine.is_up:
                machine.power_loss()
            self._restart_later(machine)

    def _transfer(self) -> None:
        leader = current_leader(self._machines)
        if leader is not None:
            leader.handle(LeadershipTransferRequested())

    def _slow(self, pairs: set[tuple[str, str]]) -> None:
        self._world.slow_pairs |= pairs
        duration_s = self._world.rng.uniform(0.5, MAXIMUM_CUT_S)
        self._world.after(duration_s, lambda: self._world.slow_pairs.difference_update(pairs))

    def _slow_sender(self) -> None:
        machine = self._any_machine()
        self._slow({(machine.name, other) for other in self._machines})

    def _late_answers_then_deaf(self) -> None:
        """Delay the answers to a leader, and soon after cut its outgoing direction."""
        leader = current_leader(self._machines) or self._any_machine()
        others = [name for name in self._machines if name != leader.name]
        self._slow({(other, leader.name) for other in others})
        delay_s = self._world.rng.uniform(0.1, 1.0)
        pairs = {(leader.name, other) for other in others}
        self._world.after(delay_s, lambda: None if self._world.faults_ended else self._cut(pairs))

    def _cut_one_restart_other(self) -> None:
        """Cut one follower off from the leader, and restart another one repeatedly."""
        leader = current_leader(self._machines) or self._any_machine()
        others = [machine for machine in self._machines.values() if machine is not leader]
        cut_off, restarted = self._world.rng.sample(others, 2)
        self._cut({(leader.name, cut_off.name), (cut_off.name, leader.name)})
        for _ in range(6):
            delay_s = self._world.rng.uniform(0.0, MAXIMUM_CUT_S)
            self._world.after(delay_s, lambda: self._restart_at_once(restarted))

    def _restart_at_once(self, machine: Machine) -> None:
        if machine.is_up and not self._world.faults_ended:
            machine.kill_process()
            machine.start()
