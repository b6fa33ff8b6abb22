"""Command lines of the processes of a fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limedyke_lab.fleet.configuration import FleetFiles
from limedyke_lab.fleet.topology import MemberNode, Node, Topology
from limedyke_lab.geography import Zone

if TYPE_CHECKING:
    from limedyke_lab.fleet.fleet import FleetOptions

LAB_MODULE = "limedyke_lab.cli"
PRODUCT_MODULE = "limedyke.cli"


class Commands:
    """Builds the command line of each process and writes its settings file."""

    def __init__(
        self, python: str, topology: Topology, files: FleetFiles, options: FleetOptions
    ) -> None:
        self._python = python
        self._topology = topology
        self._files = files
        self._options = options

    def _lab(self, command: str, **flags: object) -> list[str]:
        arguments = [f"--{name.replace('_', '-')}={value}" for name, value in flags.items()]
        return [self._python, "-m", LAB_MODULE, command, *arguments]

    def relay(self, zone: Zone) -> list[str]:
        """Return the command of the relay of a zone."""
        return self._lab("relay", settings=self._files.write_relay(zone))

    def platform(self) -> list[str]:
        """Return the command of the platform server, which serves the list of machines."""
        machines = ",".join(node.name for node in self._topology.proxies)
        return self._lab("platform", listen=self._topology.platform, machines=machines)

    def member(self, member: MemberNode) -> list[str]:
        """Return the command of a database member."""
        node = member.node
        size = self._topology.geography.group_size
        peers = ",".join(
            f"{other.node.name}={other.node.advertise}"
            for other in self._topology.members_of(member.group)
            if other.node.name != node.name
        )
        flags = {
            "name": node.name,
            "listen": node.listen,
            "advertise": node.advertise,
            "data": self._files.data(node.name),
            "peers": peers,
            "initial_primary": member.initial_primary,
            "connection_limit": size.connection_limit,
            "slots": size.slots,
            "connect_delay_ms": size.connect_delay_ms,
            "password_file": self._files.member_passwords,
            "history": self._files.history(node.name),
            **self._options.member_options,
        }
        return self._lab("database", **flags)

    def controller(self, node: Node) -> list[str]:
        """Return the command of a controller."""
        settings = self._files.write_controller(node, self._options.controller_settings)
        return [self._python, "-m", PRODUCT_MODULE, "controller", f"--settings={settings}"]

    def proxy(self, node: Node) -> list[str]:
        """Return the command of a proxy."""
        settings = self._files.write_proxy(node, self._options.proxy_settings)
        return [self._python, "-m", self._options.proxy_module, "proxy", f"--settings={settings}"]
