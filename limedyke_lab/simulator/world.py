"""The processes of one run, connected to each other, with operations to crash or freeze them."""

from __future__ import annotations

import random
from collections.abc import Callable
from pathlib import Path

import curio

from limedyke_lab.simulator.clients.caller_requests import CallerPlan
from limedyke_lab.simulator.clients.callers import Caller
from limedyke_lab.simulator.clients.operators import Edit, Operator, replace_declaration
from limedyke_lab.simulator.controllers import SimulatedController
from limedyke_lab.simulator.history import History
from limedyke_lab.simulator.layout import (
    BACK_END_USER,
    CALLERS_PER_ACCESS,
    CLIENT_PORT,
    CONNECTION_LIMIT,
    LINK_PORT,
    OPERATORS,
    PASSWORD,
    SLOTS,
    TENANTS,
    Layout,
    Place,
    caller_verifier,
    controller_settings,
    make_declaration,
    make_layout,
    make_secrets,
    proxy_settings,
    tenant_name,
)
from limedyke_lab.simulator.machine.curio_process import CurioProcess
from limedyke_lab.simulator.machine.environment import Environment
from limedyke_lab.simulator.machine.kernel import Kernel, Process
from limedyke_lab.simulator.machine.network import Network
from limedyke_lab.simulator.members.member import Member
from limedyke_lab.simulator.members.member_server import MemberServer
from limedyke_lab.simulator.proxies import SimulatedProxy

CLOCK_DRIFT = 0.008
"""Largest relative rate error of a process's clock; the product tolerates 0.01."""
CLOCK_OFFSET_S = 5_000.0
RESTART_S = 0.5
THINK_S = 0.25
MEMBER_KEEPALIVE_S = 5.0
"""Seconds until a member drops the connections of a proxy that died silently."""
DEFAULT_LAGS_S = (0.005, 0.05, 0.3)
"""Replication lag without faults; one value is drawn per group."""
INITIAL_DECLARATION_AT_S = 1.5


class World:
    """All processes of a run.

    :param folder: an empty folder for the proxies' files
    """

    def __init__(self, seed: int, environment: Environment, folder: Path) -> None:
        self.seed = seed
        self.layout: Layout = make_layout(seed)
        self.kernel = Kernel(seed)
        self.history = History(self.kernel)
        self.network = Network(self.kernel, self.layout.geography)
        self.environment = environment
        self.processes: dict[str, Process] = {}
        self.secrets = make_secrets()
        self._rng = random.Random(f"{seed}/world")
        self.controllers = {p.name: self._make_controller(p) for p in self.layout.controllers}
        self.members: dict[str, Member] = {}
        self.servers: dict[str, MemberServer] = {}
        for group, places in self.layout.members.items():
            self._make_group(group, places)
        self.proxies = {p.name: self._make_proxy(p, folder / p.name) for p in self.layout.proxies}
        self.operators = {p.name: self._make_operator(p) for p in self.layout.operators}
        self.callers = [self._make_caller(n, p) for n, p in enumerate(self.layout.callers)]
        self.replacing: set[str] = set()
        self.leaving_groups: set[str] = set()

    # ----- construction -----

    def _process(self, place: Place, clock_drifts: bool = True) -> Process:
        rate = 1.0 + self._rng.uniform(-CLOCK_DRIFT, CLOCK_DRIFT) if clock_drifts else 1.0
        offset = self._rng.uniform(100.0, CLOCK_OFFSET_S) if clock_drifts else 0.0
        process = Process(self.kernel, place.name, place.zone, rate, offset)
        self.network.attach(process, place.ip)
        self.processes[place.name] = process
        return process

    def _make_controller(self, place: Place) -> SimulatedController:
        controller = SimulatedController(
            self._process(place),
            self.network,
            self.environment,
            self.history,
            controller_settings(self.layout, place),
            self.secrets,
            random.Random(f"{self.seed}/{place.name}"),
            self._on_controller_exit,
        )
        controller.runtime.on_power_loss = lambda: self._on_power_lost(place.name)
        return controller

    def _make_group(self, group: str, places: tuple[Place, ...]) -> None:
        names = tuple(place.name for place in places)
        passwords = {BACK_END_USER: PASSWORD, "limedyke_admin": PASSWORD}
        usual_lag_s = self._rng.choice(DEFAULT_LAGS_S)
        for place in places:
            peers = tuple(name for name in names if name != place.name)
            process = self._process(place)
            process.keepalive_s = MEMBER_KEEPALIVE_S
            member = Member(
                process, self.network, self.history, group, peers, self.members, usual_lag_s
            )
            address = (place.ip, CLIENT_PORT)
            self.servers[place.name] = MemberServer(
                member, address, passwords, CONNECTION_LIMIT, SLOTS
            )

    def _make_proxy(self, place: Place, folder: Path) -> SimulatedProxy:
        return SimulatedProxy(
            self._process(place),
            self.network,
            self.environment,
            self.history,
            proxy_settings(self.layout, place, folder, self._rng),
            self.secrets,
            self._on_proxy_exit,
        )

    def _make_operator(self, place: Place) -> CurioProcess:
        process = self._process(place, clock_drifts=False)
        operator = Operator(
            place.name,
            (self.secrets.get(place.name) or "").encode(),
            place.ip,
            self.history,
            tuple(p.address(LINK_PORT) for p in self.layout.controllers),
            random.Random(f"{self.seed}/{place.name}"),
        )

        async def program() -> None:
            await curio.Event().wait()

        runtime = CurioProcess(process, self.network, self.environment, program)
        runtime.operator = operator
        return runtime

    def _make_caller(self, number: int, place: Place) -> Caller:
        groups = tuple(self.layout.members)
        access = number // CALLERS_PER_ACCESS
        plan = CallerPlan(
            tenant=tenant_name(access % TENANTS),
            group=groups[access // TENANTS],
            user="caller",
            password=PASSWORD,
            proxies=tuple((p.name, (p.ip, CLIENT_PORT)) for p in self.layout.proxies),
            think_s=THINK_S,
            once_keys=True,
        )
        process = self._process(place, clock_drifts=False)
        return Caller(process, self.network, self.history, plan, f"{self.seed}/{place.name}")

    # ----- startup -----

    def boot(self) -> None:
        """Start everything but the callers."""
        for name, process in self.processes.items():
            if not name.startswith("caller-"):
                process.boot()
        for places in self.layout.members.values():
            self.members[places[0].name].start_initial_primary()
        self.kernel.call_later(INITIAL_DECLARATION_AT_S, self._declare)

    def _declare(self) -> None:
        runtime = self.operators[OPERATORS[0]]
        declaration = make_declaration(self.layout, caller_verifier())

        async def declare() -> None:
            await runtime.operator.change_until_in_force(replace_declaration(declaration))
            self.kernel.call_soon(self._start_callers)

        runtime.spawn(declare)

    def _start_callers(self) -> None:
        self.history.add("declared")
        for caller in self.callers:
            caller.process.boot()

    # ----- operators -----

    def run_as_operator(self, name: str, action: Callable[[Operator], object]) -> None:
        """Run an action of an operator in a separate task."""
        runtime = self.operators[name]

        async def run() -> None:
            await action(runtime.operator)

        runtime.spawn(run)

    def change(self, name: str, edit: Edit) -> None:
        """Make an operator plan and confirm an edit."""
        self.run_as_operator(name, lambda operator: operator.change(edit))

    # ----- process lifecycle -----

    def crash(self, name: str, restart_after: float | None) -> None:
        """Crash a process and restart it after a delay; None for no restart."""
        process = self.processes[name]
        if process.running:
            self.history.add("crash", process=name)
            self._crash_process(name)
        if restart_after is not None:
            self.kernel.call_later(restart_after, self._boot, name)

    def cut_power(self, name: str, restart_after: float) -> None:
        """Crash a controller with the loss of unsynced data, and restart it after a delay."""
        self.controllers[name].power_loss_pending = True
        self.crash(name, restart_after)

    def _crash_process(self, name: str) -> None:
        process = self.processes[name]
        process.crash()
        self.network.process_crashed(process)
        if name in self.controllers:
            self.controllers[name].crashed()
        if name in self.proxies:
            self.history.add("proxy-crashed", proxy=name)
            self.proxies[name].crashed()

    def _boot(self, name: str) -> None:
        process = self.processes[name]
        if not process.running:
            self.history.add("boot", process=name)
            process.boot()

    def _on_power_lost(self, name: str) -> None:
        self.history.add("power-lost", process=name)
        self._crash_process(name)
        self.kernel.call_later(RESTART_S, self._boot, name)

    def _on_controller_exit(self, controller: SimulatedController) -> None:
        """Restart a controller that exited on its own, as a service manager would."""
        self._crash_process(controller.name)
        self.kernel.call_later(RESTART_S, self._boot, controller.name)

    def _on_proxy_exit(self, proxy: SimulatedProxy) -> None:
        """Restart a proxy that exited on its own, as a service manager would."""
        self._crash_process(proxy.name)
        self.kernel.call_later(RESTART_S, self._boot, proxy.name)

    def freeze(self, name: str, seconds: float) -> None:
        """Freeze a process for a while."""
        process = self.processes[name]
        if not process.running or process.frozen:
            return
        self.history.add("freeze", process=name)
        life = process.life
        process.freeze()
        self.kernel.call_later(seconds, self._thaw_same_process, name, life)

    def _thaw_same_process(self, name: str, life: int) -> None:
        if self.processes[name].life == life:
            self.thaw(name)

    def thaw(self, name: str) -> None:
        """Resume a process if it is frozen."""
        process = self.processes[name]
        if process.frozen:
            self.history.add("thaw", process=name)
            process.thaw()

    def leader(self) -> str | None:
        """Return the name of a controller that considers itself the leader, or None."""
        candidates = [name for name, controller in self.controllers.items() if controller.leads]
        return candidates[0] if candidates else None

    def primary_of(self, member: str) -> str:
        """Return the newest primary of a member's group, or the member itself."""
        group = self.members[member].group
        candidates = [
            (found.leadership.term, name)
            for name, found in self.members.items()
            if found.group == group and found.is_primary
        ]
        return max(candidates)[1] if candidates else member
