"""One seeded run: a phase with faults, followed by one without in which to recover."""

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
"""Machine names; a run uses as many as its options say."""
CLUSTER = "simulated"
NEW_LEADER_PROPOSAL_DELAYS_S = (0.005, 0.03)
"""Seconds after its election at which a new leader gets proposals."""
STALE_READ_DELAYS_S = (0.0, 0.03, 0.15)
"""Seconds after an accepted proposal at which other leaders are tested for stale reads."""


@dataclass(frozen=True, slots=True)
class SimulationReport:
    """The result of one run.

    :param digest: digest of the events of the run; equal for identical runs
    """

    seed: int
    events: int
    accepted: int
    reads: int
    digest: int
    violations: tuple[Violation, ...]


class Callers:
    """Send proposals and reads to random controllers, mostly to leaders."""

    def __init__(self, world: World, machines: dict[str, Machine]) -> None:
        self._world = world
        self._machines = machines
        self._numbers = itertools.count()

    def start(self) -> None:
        """Start to propose and read."""
        self._world.accepted = self._read_from_other_leaders
        self._world.elected = self._propose_to_new_leader
        self._propose()
        self._read()

    def _read_from_other_leaders(self, accepted_by: str) -> None:
        """Read from all others that consider themselves leaders after a proposal was accepted."""
        for machine in self._machines.values():
            if machine.name != accepted_by:
                for delay_s in STALE_READ_DELAYS_S:
                    self._world.after(delay_s, lambda asked=machine: self._read_if_leader(asked))

    def _read_if_leader(self, machine: Machine) -> None:
        if machine.is_up and machine.agreement.role is Role.LEADER:
            machine.handle(ReadRequested(f"read{next(self._numbers)}"))

    def _choose_machine(self) -> Machine:
        """Choose a machine, mostly one that considers itself the leader; there may be several."""
        leaders = [
            machine
            for machine in self._machines.values()
            if machine.is_up and machine.agreement.role is Role.LEADER
        ]
        if leaders and self._world.rng.random() < 0.9:
            return self._world.rng.choice(leaders)
        return self._world.rng.choice(list(self._machines.values()))

    def _propose_to_new_leader(self, name: str) -> None:
        """Send proposals to a new leader shortly after its election."""
        machine = self._machines[name]
        for delay_s in NEW_LEADER_PROPOSAL_DELAYS_S:
            self._world.after(delay_s, lambda: self._propose_at(machine))

    def _propose_at(self, machine: Machine) -> None:
        number = next(self._numbers)
        if machine.is_up and not machine.frozen:
            request_id = f"proposal{number}"
            payload = request_id.encode()
            machine.proposals[request_id] = payload
            machine.handle(Proposed(request_id, payload))

    def _propose(self) -> None:
        self._propose_at(self._choose_machine())
        delay_s = self._world.rng.expovariate(self._world.options.proposals_per_s)
        self._world.after(delay_s, self._propose)

    def _read(self) -> None:
        machine = self._choose_machine()
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
        world.checkers.add_violation("invariant", str(error))
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
    if not operator.is_fully_repaired():
        world.checkers.add_violation("not-repaired", f"{leader.agreement.configuration}")
