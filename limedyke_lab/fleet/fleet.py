"""A fleet: starts its processes, waits until they are ready, and injects faults."""

from __future__ import annotations

import fcntl
import shutil
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path
from signal import Signals
from typing import IO

from limedyke_lab.fleet.addresses import AddressLock
from limedyke_lab.fleet.commands import Commands
from limedyke_lab.fleet.conditions import accepts_connections, is_ready, wait_until
from limedyke_lab.fleet.configuration import EXAMPLES, FleetFiles
from limedyke_lab.fleet.members import MemberAccess
from limedyke_lab.fleet.operator import Operator
from limedyke_lab.fleet.process import ManagedProcess, end_all
from limedyke_lab.fleet.relay_control import RelayControl
from limedyke_lab.fleet.topology import MemberNode, Node, Topology, build_topology
from limedyke_lab.geography import GEOGRAPHIES

START_TIMEOUT_S = 40.0
END_TIMEOUT_S = 5.0
RUN_ROOT = Path("run")
PLATFORM = "platform"


class FleetError(Exception):
    """The fleet cannot start, or a name matches none of its processes."""


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """Options of a fleet.

    :param geography: name of a geography
    :param name: name of the run folder; two fleets with the same name cannot run concurrently
    :param controller_settings: settings that override the defaults of every controller
    :param proxy_settings: settings that override the defaults of every proxy
    :param member_options: options that override those of every member, such as ``lag_ms``
    :param proxy_module: Python module that runs ``proxy``; tests can replace it
    :param product: whether to start controllers and proxies besides members and relays
    :param delays: apply the geography's delays
    :param relayed: whether nodes connect through relays, which cuts and delays require
    :param declaration: committed declaration to confirm; None for that of the geography
    """

    geography: str = "ostmark"
    name: str = ""
    controllers: int = 3
    proxies: int = 3
    run_root: Path = RUN_ROOT
    controller_settings: dict[str, object] = field(default_factory=dict)
    proxy_settings: dict[str, object] = field(default_factory=dict)
    member_options: dict[str, object] = field(default_factory=dict)
    proxy_module: str = "limedyke.cli"
    product: bool = True
    delays: bool = True
    relayed: bool = True
    declaration: Path | None = None

    @property
    def folder(self) -> Path:
        """The run folder."""
        return (self.run_root / (self.name or self.geography)).resolve()


class Fleet:
    """The processes of one fleet; a context manager.

    :ivar relays: cuts, heals and kills connections between places
    :ivar members: direct access to the members for checks and switches
    :ivar operator: the operator's commands
    """

    def __init__(self, options: FleetOptions) -> None:
        self.options = options
        self.topology: Topology = None
        self.files: FleetFiles = None
        self.relays: RelayControl = None
        self.members: MemberAccess = None
        self.operator: Operator = None
        self._commands: Commands = None
        self._address_lock = AddressLock()
        self._folder_lock: IO | None = None
        self._processes: dict[str, ManagedProcess] = {}
        self._declaration: Path | None = None

    def __enter__(self) -> Fleet:
        """Start the fleet; see ``start``."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Stop the fleet; see ``stop``."""
        self.stop()

    # Start and end

    def start(self) -> None:
        """Start all processes, confirm the declaration and wait until all are ready."""
        self._claim_folder()
        self._build_topology_and_files()
        self.start_network_and_members()
        if self.options.product:
            self.start_controllers()
            self.start_proxies()
        self.wait_for_members()
        if not self.options.product:
            return
        self.wait_for_controllers()
        self.declare(self.options.declaration or EXAMPLES / f"{self.options.geography}.yaml")
        self.wait_for_proxies()

    def stop(self) -> None:
        """Stop every process this fleet started and release its addresses."""
        by_order = list(self._processes.values())
        relays = [process for process in by_order if process.name.startswith("relay-")]
        end_all([process for process in by_order if process not in relays], END_TIMEOUT_S)
        end_all(relays, END_TIMEOUT_S)
        self._address_lock.release()
        if self._folder_lock is not None:
            self._folder_lock.close()
            self._folder_lock = None

    def _claim_folder(self) -> None:
        folder = self.options.folder
        folder.mkdir(parents=True, exist_ok=True)
        self._folder_lock = (folder / "lock").open("w")
        try:
            fcntl.flock(self._folder_lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise FleetError(f"another fleet uses {folder}") from error
        for part in ("data", "logs", "history", "settings"):
            shutil.rmtree(folder / part, ignore_errors=True)

    def _build_topology_and_files(self) -> None:
        geography = GEOGRAPHIES[self.options.geography]
        if not self.options.delays:
            geography = geography.without_delays()
        addresses = replace(self._address_lock.acquire(), relayed=self.options.relayed)
        self.topology = build_topology(
            geography, addresses, self.options.controllers, self.options.proxies
        )
        self.files = FleetFiles(self.options.folder, self.topology)
        self.files.prepare()
        self._commands = Commands(sys.executable, self.topology, self.files, self.options)
        controls = tuple(self.topology.relay_control(zone) for zone in geography.zones)
        self.relays = RelayControl(controls)
        self.members = MemberAccess(self.topology)
        self.operator = Operator(sys.executable, self.files)

    def start_network_and_members(self) -> None:
        """Start the relays, the platform and the members."""
        for zone in self.topology.geography.zones if self.options.relayed else ():
            self._start(f"relay-{zone.name}", self._commands.relay(zone))
        self._start(PLATFORM, self._commands.platform())
        for member in self.topology.members:
            self._start(member.node.name, self._commands.member(member))

    def start_controllers(self) -> None:
        """Start the controllers."""
        for node in self.topology.controllers:
            self._start(node.name, self._commands.controller(node))

    def start_proxies(self) -> None:
        """Start the proxies."""
        for node in self.topology.proxies:
            self._start(node.name, self._commands.proxy(node))

    def _start(self, name: str, command: list[str]) -> None:
        process = ManagedProcess(name, command, self.files.log(name))
        self._processes[name] = process
        process.start()

    def wait_for_members(self) -> None:
        """Wait until the relays and members accept connections and each group has a primary."""
        for zone in self.topology.geography.zones if self.options.relayed else ():
            control = self.topology.relay_control(zone)
            self._wait(f"relay-{zone.name}", lambda address=control: accepts_connections(address))
        for member in self.topology.members:
            address = member.node.listen
            self._wait(member.node.name, lambda address=address: accepts_connections(address))
        for group in self.topology.geography.groups:
            self.wait_for_primary(group)

    def wait_for_primary(self, group: str, timeout_s: float = START_TIMEOUT_S) -> MemberNode:
        """Wait until a member of the group reports that it is primary, and return it."""
        wait_until(
            lambda: self.members.primary_of(group) is not None,
            f"{group} has a primary",
            timeout_s,
        )
        return self.members.primary_of(group)

    def wait_for_controllers(self) -> None:
        """Wait until every controller accepts connections; operator commands wait for a leader."""
        for node in self.topology.controllers:
            address = node.listen
            self._wait(node.name, lambda address=address: accepts_connections(address))

    def wait_for_proxies(self) -> None:
        """Wait until every proxy is ready."""
        for node in self.topology.proxies:
            self.wait_ready(node)

    def wait_ready(self, node: Node) -> None:
        """Wait until ``/readyz`` of a product process responds with 200."""
        self._wait(node.name, lambda: is_ready(node.status))

    def _wait(self, name: str, condition) -> None:
        process = self.process(name)
        wait_until(condition, f"{name} is ready", START_TIMEOUT_S, process.failure)

    def declare(self, declaration: Path) -> None:
        """Plan and confirm a committed declaration, adapted to this fleet's addresses."""
        self._declaration = self.files.write_declaration(declaration)
        self.operator.declare(self._declaration)

    def declare_client_limit(self, client_limit: int) -> int:
        """Change the client limit of the first tenant by plan and confirm; return the revision."""
        changed = self.files.write_client_limit(self._declaration, client_limit)
        return int(self.operator.declare(changed)["revision"])

    # Faults and planned stops

    def process(self, name: str) -> ManagedProcess:
        """Return the process with a name.

        :raises FleetError: when the fleet has none such
        """
        if name not in self._processes:
            raise FleetError(f"no process {name} in this fleet")
        return self._processes[name]

    def node(self, name: str) -> Node:
        """Return the node with a name.

        :raises FleetError: when the fleet has none such
        """
        for node in self.topology.nodes:
            if node.name == name:
                return node
        raise FleetError(f"no node {name} in this fleet")

    def member(self, name: str) -> MemberNode:
        """Return the member with a name.

        :raises FleetError: when the fleet has none such
        """
        for member in self.topology.members:
            if member.node.name == name:
                return member
        raise FleetError(f"no member {name} in this fleet")

    def kill(self, name: str) -> None:
        """Kill a process (SIGKILL), simulating a crash."""
        self.process(name).kill()

    def freeze(self, name: str) -> None:
        """Suspend a process (SIGSTOP)."""
        self.process(name).send_signal(Signals.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a suspended process (SIGCONT)."""
        self.process(name).send_signal(Signals.SIGCONT)

    def terminate(self, name: str, timeout_s: float = START_TIMEOUT_S) -> int | None:
        """Stop a process with SIGTERM; return its exit code, None on timeout."""
        process = self.process(name)
        process.send_signal(Signals.SIGTERM)
        return process.wait(timeout_s)

    def restart(self, name: str) -> None:
        """Restart an ended process with its existing data."""
        self.process(name).start()

    def isolate(self, name: str) -> None:
        """Cut all traffic to and from a node."""
        self.relays.cut(name, "*")

    def rejoin(self, name: str) -> None:
        """Undo ``isolate``."""
        self.relays.heal(name, "*")

    def remove_data(self, name: str) -> None:
        """Remove the data folder of an ended process, simulating the loss of its disk.

        :raises FleetError: when the process still runs
        """
        if self.process(name).running:
            raise FleetError(f"{name} still runs")
        shutil.rmtree(self.files.data(name), ignore_errors=True)

    def processes(self) -> Iterator[ManagedProcess]:
        """Return every process of the fleet."""
        return iter(self._processes.values())


@contextmanager
def running_fleet(**options: object) -> Iterator[Fleet]:
    """Run a fleet for the duration of a ``with`` block; takes ``FleetOptions`` as keywords."""
    with Fleet(FleetOptions(**options)) as fleet:
        yield fleet
