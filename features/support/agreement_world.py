"""Scripted simulation of controllers: no random faults, chosen leaders, held messages."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import replace

from limedyke.core.agreement.commands import (
    Command,
    ProposalAccepted,
    ProposalRefused,
    ReadReady,
    ReadRefused,
    Role,
    SteppedDown,
)
from limedyke.core.agreement.events import (
    LeadershipTransferRequested,
    MembershipChange,
    MembershipChangeRequested,
    Proposed,
    ReadRequested,
)
from limedyke.core.agreement.records import genesis_snapshot
from limedyke.messages.agreement import AgreementMessage, ControllerIdentity
from limedyke_lab.agreement_simulation.faults import current_leader, next_change
from limedyke_lab.agreement_simulation.machine import Machine
from limedyke_lab.agreement_simulation.world import SimulationOptions, World

NAMES = ("a", "b", "c")
STEP_S = 0.001
DELAY_S = 0.001
TIMEOUT_S = 20.0

Answer = ProposalAccepted | ProposalRefused | ReadReady | ReadRefused
Held = tuple[ControllerIdentity, ControllerIdentity, AgreementMessage]


def recording_answers(machine_class: type[Machine]) -> type[Machine]:
    """Return the machine class with its answers and step-downs recorded."""

    class RecordingMachine(machine_class):
        def __init__(self, world: World, name: str) -> None:
            self.answers: dict[str, Answer] = {}
            self.step_downs: list[SteppedDown] = []
            super().__init__(world, name)

        def _observe(self, command: Command) -> None:
            if isinstance(command, Answer):
                self.answers[command.request_id] = command
            elif isinstance(command, SteppedDown):
                self.step_downs.append(command)
            super()._observe(command)

    return RecordingMachine


class ScriptedCluster:
    """Three controllers on virtual time; messages take 0.5 to 2 ms unless held or cut.

    :param timing_changes: changes of the simulation's timing
    :param clock_rates: rates of the machines' clocks by name; 1.0 for those not named
    :param seed: seed of the machines' random timeouts
    """

    def __init__(
        self,
        machine_class: type[Machine] = Machine,
        timing_changes: dict[str, object] | None = None,
        clock_rates: dict[str, float] | None = None,
        seed: int = 1,
    ) -> None:
        options = SimulationOptions(loss=0.0, duplication=0.0, slow=0.0)
        timing = replace(options.timing, **(timing_changes or {}))
        self.world = World(seed, replace(options, timing=timing))
        self.world._base_delay_s = DELAY_S
        self.world.deliver = self._deliver
        self.should_hold: Callable[[Machine, Machine, AgreementMessage], bool] = lambda *_: False
        self.held: list[Held] = []
        self._numbers = itertools.count()
        self._clock_rates = clock_rates or {}
        machines = {name: recording_answers(machine_class)(self.world, name) for name in NAMES}
        self.machines: dict[str, Machine] = machines
        self._found()

    def _found(self) -> None:
        identities = tuple(machine.identity for machine in self.machines.values())
        for name, machine in self.machines.items():
            machine._clock_rate = self._clock_rates.get(name, 1.0)
            machine.initialise(genesis_snapshot("scripted", identities))
            machine.start()

    def _deliver(
        self, sender: ControllerIdentity, to: ControllerIdentity, message: AgreementMessage
    ) -> None:
        machine = self.machines[to.name]
        if self.should_hold(self.machines[sender.name], machine, message):
            self.held.append((sender, to, message))
        elif machine.identity == to:
            machine.receive(sender, message)

    def release_held(self) -> None:
        """Deliver the held messages, and hold no more."""
        self.should_hold = lambda *_: False
        held, self.held = self.held, []
        for sender, to, message in held:
            self._deliver(sender, to, message)

    @property
    def violations(self) -> list[str]:
        """The invariants violated so far."""
        return [violation.rule for violation in self.world.checkers.violations]

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.world.run_until(self.world.now + seconds)

    def run_until(self, condition: Callable[[], object], timeout_s: float = TIMEOUT_S) -> bool:
        """Advance the time until a condition holds; tell whether it did in time."""
        end = self.world.now + timeout_s
        while not condition():
            if self.world.now >= end:
                return False
            self.run(STEP_S)
        return True

    def leader(self) -> Machine | None:
        """Return the leader of the highest term."""
        return current_leader(self.machines)

    def first_leader(self) -> Machine:
        """Return the first leader, once it serves reads."""
        assert self.run_until(lambda: self.leader() and self.serves(self.leader()))
        return self.leader()

    def serves(self, machine: Machine) -> bool:
        """Tell whether a machine leads and serves reads."""
        return machine.is_up and isinstance(self.read(machine), ReadReady)

    def make_leader(self, name: str) -> Machine:
        """Transfer the leadership until the named machine leads and serves reads."""
        machine = self.machines[name]
        for _ in range(30):
            assert self.run_until(lambda: self.leader() and self.serves(self.leader()))
            if self.leader() is machine:
                return machine
            before = self.leader()
            before.handle(LeadershipTransferRequested())
            self.run_until(lambda before=before: self.leader() not in (None, before))
        raise AssertionError(f"{name} never leads")

    def others(self, machine: Machine) -> list[Machine]:
        """Return the other machines."""
        return [other for other in self.machines.values() if other is not machine]

    def cut(self, first: Machine, *others: Machine) -> None:
        """Cut the links between a machine and others, or all others, in both directions."""
        for other in others or self.others(first):
            self.world.cuts |= {(first.name, other.name), (other.name, first.name)}

    def cut_one_way(self, sender: Machine, *recipients: Machine) -> None:
        """Drop what a machine sends to others."""
        self.world.cuts |= {(sender.name, recipient.name) for recipient in recipients}

    def heal(self) -> None:
        """Restore all links."""
        self.world.cuts.clear()

    def start_proposal(self, machine: Machine) -> str:
        """Propose something at a machine; return the request's number."""
        number = f"proposal{next(self._numbers)}"
        machine.proposals[number] = number.encode()
        machine.handle(Proposed(number, number.encode()))
        return number

    def propose(self, machine: Machine, timeout_s: float = TIMEOUT_S) -> Answer | None:
        """Propose and return the answer, or None if there is none in time."""
        number = self.start_proposal(machine)
        self.run_until(lambda: number in machine.answers, timeout_s)
        return machine.answers.get(number)

    def read(self, machine: Machine) -> Answer:
        """Read at a machine and return its immediate answer."""
        number = f"read{next(self._numbers)}"
        machine.handle(ReadRequested(number))
        return machine.answers[number]

    def change_members(self, machine: Machine, change: MembershipChange) -> str:
        """Ask a machine for a membership change; return the request's number."""
        number = f"change{next(self._numbers)}"
        machine.handle(MembershipChangeRequested(number, change))
        return number

    def repair(self, name: str) -> bool:
        """Make a machine's current incarnation a voter, learner first; tell whether it is one."""
        machine = self.machines[name]

        def is_repaired() -> bool:
            leader = self.leader()
            if leader is None or self.world.now < self._next_look:
                return False
            self._next_look = self.world.now + 0.1
            change = next_change(machine, leader.agreement.configuration)
            if change is not None:
                self.change_members(leader, change)
            return change is None and leader.agreement.membership_settled

        self._next_look = 0.0
        return self.run_until(is_repaired)

    def finish(self) -> list[str]:
        """End all faults, let the controllers recover, and return the violated invariants."""
        self.heal()
        self.release_held()
        for machine in self.machines.values():
            if machine.frozen:
                machine.thaw()
            if not machine.is_up:
                machine.start()
        self.run_until(lambda: self.leader() and self.serves(self.leader()), 5.0)
        self.run(1.0)
        leader = self.leader()
        identity = leader.identity if leader else None
        self.world.checkers.final_state(identity, leader.applied.index if leader else 0)
        return self.violations


def is_leading(machine: Machine) -> bool:
    """Tell whether a machine considers itself the leader."""
    return machine.is_up and machine.agreement.role is Role.LEADER
