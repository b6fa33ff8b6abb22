"""One seeded run: machines, callers, operator, faults, and then a calm to recover in."""

from __future__ import annotations

import itertools
from dataclasses import dataclass

from limedyke.core.agreement.commands import Role
from limedyke.core.agreement.events import Proposed, ReadRequested
from limedyke.core.agreement.records import genesis_snapshot
from limedyke.core.agreement.state import AgreementInvariantError
from limedyke_lab.agreement_simulation.checkers import Violation
from limedyke_lab.agreement_simulation.faults import FaultInjector, Operator, current_leader
from limedyke_lab.agreement_simulation.machine import Machine
from limedyke_lab.agreement_simulation.world import SimulationOptions, World

MACHINE_NAMES = "abcdefg"
"""Names of the machines, of which a run takes as many as its options say."""
CLUSTER = "simulated"
FIRST_PROPOSALS_S = (0.005, 0.03)
"""How long after its election a new leader gets proposals that waited for it."""
SECOND_LOOK_S = (0.0, 0.03, 0.15)
"""How long after an accepted proposal other controllers are asked for a stale read."""


@dataclass(frozen=True, slots=True)
class SimulationReport:
    """What came of one run.

    :param digest: equal for two runs exactly when they went the same way
    """

    seed: int
    events: int
    accepted: int
    reads: int
    digest: int
    violations: tuple[Violation, ...]


class Callers:
    """Propose and read at random controllers, mostly at the leader."""

    def __init__(self, world: World, machines: dict[str, Machine]) -> None:
        self._world = world
        self._machines = machines
        self._numbers = itertools.count()

    def start(self) -> None:
        """Begin to propose and read."""
        self._world.accepted = self._ask_other_leaders
        self._world.elected = self._ask_new_leader
        self._propose()
        self._read()

    def _ask_other_leaders(self, accepted_by: str) -> None:
        """Read, soon after a proposal was accepted, at all others that still claim to lead."""
        for machine in self._machines.values():
            if machine.name != accepted_by:
                for delay_s in SECOND_LOOK_S:
                    self._world.after(delay_s, lambda asked=machine: self._read_at_leader(asked))

    def _read_at_leader(self, machine: Machine) -> None:
        if machine.is_up and machine.agreement.role is Role.LEADER:
            machine.handle(ReadRequested(f"read{next(self._numbers)}"))

    def _target(self) -> Machine:
        """Mostly ask one that believes it leads, also when another does too."""
        leading = [
            machine
            for machine in self._machines.values()
            if machine.is_up and machine.agreement.role is Role.LEADER
        ]
        if leading and self._world.rng.random() < 0.9:
            return self._world.rng.choice(leading)
        return self._world.rng.choice(list(self._machines.values()))

    def _ask_new_leader(self, name: str) -> None:
        """Propose at a new leader what waited for one."""
        machine = self._machines[name]
        for delay_s in FIRST_PROPOSALS_S:
            self._world.after(delay_s, lambda: self._propose_at(machine))

    def _propose_at(self, machine: Machine) -> None:
        number = next(self._numbers)
        if machine.is_up and not machine.frozen:
            request_id = f"proposal{number}"
            payload = request_id.encode()
            machine.proposals[request_id] = payload
            machine.handle(Proposed(request_id, payload))

    def _propose(self) -> None:
        self._propose_at(self._target())
        delay_s = self._world.rng.expovariate(self._world.options.proposals_per_s)
        self._world.after(delay_s, self._propose)

    def _read(self) -> None:
        machine = self._target()
        if machine.is_up and not machine.frozen:
            machine.handle(ReadRequested(f"read{next(self._numbers)}"))
        delay_s = self._world.rng.expovariate(self._world.options.reads_per_s)
        self._world.after(delay_s, self._read)


def simulate(
    seed: int, options: SimulationOptions | None = None, machine_class: type[Machine] = Machine
) -> SimulationReport:
    """Run one seed and return what the checkers found."""
    options = options or SimulationOptions()
    world = World(seed, options)
    names = MACHINE_NAMES[: options.controllers]
    machines = {name: machine_class(world, name) for name in names}

    def deliver(sender, to, message) -> None:
        machine = machines[to.name]
        if machine.identity == to:
            machine.receive(sender, message)

    world.deliver = deliver
    try:
        _run(world, machines)
    except AgreementInvariantError as error:
        world.checkers.violate("invariant", str(error))
    checkers = world.checkers
    return SimulationReport(
        seed=seed,
        events=world.events,
        accepted=checkers.accepted,
        reads=checkers.reads,
        digest=world.digest,
        violations=tuple(checkers.violations),
    )


def _run(world: World, machines: dict[str, Machine]) -> None:
    genesis = genesis_snapshot(CLUSTER, tuple(machine.identity for machine in machines.values()))
    for machine in machines.values():
        machine.initialise(genesis)
        machine.start()
    operator = Operator(world, machines)
    faults = FaultInjector(world, machines, operator)
    operator.start()
    Callers(world, machines).start()
    faults.start()
    world.run_until(world.options.faulty_s)
    faults.end_all()
    world.run_until(world.options.faulty_s + world.options.calm_s)
    leader = current_leader(machines)
    if leader is None:
        world.checkers.final_state(None, 0)
        return
    world.checkers.final_state(leader.identity, leader.applied.index)
    if not operator.is_whole():
        world.checkers.violate("not-repaired", f"{leader.agreement.configuration}")
