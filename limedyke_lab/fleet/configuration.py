"""Files of a fleet: settings of each process, secrets, relay settings and the declaration."""

from __future__ import annotations

import json
from pathlib import Path

import yaml

from limedyke_lab.fleet.addresses import LINK_PORT
from limedyke_lab.fleet.process import REPOSITORY
from limedyke_lab.fleet.secrets import (
    OPERATOR_NAME,
    OPERATOR_SECRET_NAME,
    member_passwords,
    process_secrets,
)
from limedyke_lab.fleet.topology import Node, Topology
from limedyke_lab.geography import Zone

SECRET_FILE_MODE = 0o600
REQUEST_DEADLINE_MS = 8_000
"""Shorter than the client timeout of the lab, so that a missing response is a fault."""
EXAMPLES = REPOSITORY / "examples"
EXAMPLE_ADDRESS_PREFIX = "127.2."
"""Prefix of members' addresses in the committed declarations; a fleet replaces it."""


class FleetFiles:
    """Paths of one fleet's files in its run folder, and functions that write them."""

    def __init__(self, folder: Path, topology: Topology) -> None:
        self.folder = folder
        self._topology = topology
        self.secrets = folder / "secrets.yaml"
        self.member_passwords = folder / "member-passwords.yaml"

    def data(self, name: str) -> Path:
        """Return the data folder of a process."""
        return self.folder / "data" / name

    def log(self, name: str) -> Path:
        """Return the log file of a process."""
        return self.folder / "logs" / f"{name}.log"

    def history(self, name: str) -> Path:
        """Return the history file of a member."""
        return self.folder / "history" / f"{name}.jsonl"

    def settings(self, name: str) -> Path:
        """Return the settings file of a process."""
        return self.folder / "settings" / f"{name}.yaml"

    def prepare(self) -> None:
        """Create the folders and write the secrets."""
        for part in ("data", "logs", "history", "settings"):
            (self.folder / part).mkdir(parents=True, exist_ok=True)
        _write_secret(self.secrets, process_secrets())
        _write_secret(self.member_passwords, member_passwords())

    def write_relay(self, zone: Zone) -> Path:
        """Write the settings of the relay of a zone."""
        nodes = [
            {
                "name": node.name,
                "zone": node.zone.name,
                "ip": node.ip,
                "advertised_ip": node.advertised_ip,
                "ports": node.ports,
            }
            for node in self._topology.nodes
        ]
        path = self.folder / "settings" / f"relay-{zone.name}.json"
        values = {
            "control": self._topology.relay_control(zone),
            "zone": zone.name,
            "nodes": nodes,
            "delays_ms": self._topology.delays_ms(),
        }
        path.write_text(json.dumps(values, indent=1))
        return path

    def _common(self, node: Node) -> dict[str, object]:
        return {
            "name": node.name,
            "zone": node.zone.name,
            "region": node.zone.region,
            "data_folder": str(self.data(node.name)),
            "source_ip": node.ip,
            "secrets_file": str(self.secrets),
            "status_listen": node.status,
        }

    def write_controller(self, node: Node, overrides: dict[str, object]) -> Path:
        """Write the settings of a controller."""
        peers = [
            {"name": peer.name, "address": peer.advertise}
            for peer in self._topology.controllers
            if peer.name != node.name
        ]
        values = {
            **self._common(node),
            "listen": node.listen,
            "advertise": node.advertise,
            "peers": peers,
            "operators": [{"name": OPERATOR_NAME, "secret": OPERATOR_SECRET_NAME}],
            "platform_list_url": f"http://{self._topology.platform}/machines",
            **overrides,
        }
        return self._write_settings(node.name, values)

    def write_proxy(self, node: Node, overrides: dict[str, object]) -> Path:
        """Write the settings of a proxy."""
        values = {
            **self._common(node),
            "client_listen": node.listen,
            "link_listen": f"{node.ip}:{LINK_PORT}",
            "link_advertise": f"{node.advertised_ip}:{LINK_PORT}",
            "controllers": [peer.advertise for peer in self._topology.controllers],
            "request_deadline_ms": REQUEST_DEADLINE_MS,
            **overrides,
        }
        return self._write_settings(node.name, values)

    def write_operator(self) -> Path:
        """Write the settings of the operator's commands."""
        values = {
            "operator": OPERATOR_NAME,
            "secret": OPERATOR_SECRET_NAME,
            "secrets_file": str(self.secrets),
            "controllers": [node.advertise for node in self._topology.controllers],
        }
        return self._write_settings("operator", values)

    def _write_settings(self, name: str, values: dict[str, object]) -> Path:
        path = self.settings(name)
        path.write_text(yaml.safe_dump(values, sort_keys=False))
        return path

    def write_declaration(self, source: Path) -> Path:
        """Copy a committed declaration, replacing the addresses with those of this fleet."""
        prefix = f"127.{self._topology.addresses.advertised_octet}."
        path = self.folder / source.name
        path.write_text(source.read_text().replace(EXAMPLE_ADDRESS_PREFIX, prefix))
        return path

    def write_client_limit(self, declaration: Path, client_limit: int) -> Path:
        """Write a copy of a declaration with a different client limit for the first tenant."""
        values = yaml.safe_load(declaration.read_text())
        values["tenants"][0]["client_limit"] = client_limit
        path = self.folder / f"changed-{declaration.name}"
        path.write_text(yaml.safe_dump(values, sort_keys=False))
        return path


def _write_secret(path: Path, values: dict[str, str]) -> None:
    path.touch(mode=SECRET_FILE_MODE)
    path.write_text(yaml.safe_dump(values))


def describe_topology(topology: Topology) -> list[dict[str, str]]:
    """Return name, zone and addresses of each node."""
    return [
        {
            "name": node.name,
            "zone": node.zone.name,
            "listen": node.listen,
            "advertise": node.advertise,
        }
        for node in topology.nodes
    ]
