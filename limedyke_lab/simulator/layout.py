"""The layout of a run: zones, addresses, settings, secrets and the declaration."""

from __future__ import annotations

import random
from dataclasses import dataclass
from pathlib import Path

from limedyke.messages.declaration import (
    Declaration,
    Group,
    Member,
    Priority,
    Tenant,
    TenantAccess,
    TokenKey,
    User,
)
from limedyke.scram_verifier import make_verifier
from limedyke.settings.controller import ControllerPeer, ControllerSettings, OperatorKey
from limedyke.settings.proxy import ProxySettings
from limedyke.settings.secrets import Secrets
from limedyke_lab.geography import CLIENT, COLD_CHAIN, OSTMARK, Geography

LINK_PORT = 7000
CLIENT_PORT = 5432
STATUS_PORT = 9000
CONTROLLERS = 3
PROXIES = 5
GROUPS = 2
MEMBERS = 3
TENANTS = 2
CALLERS_PER_ACCESS = 2
OPERATORS = ("operator-1", "operator-2")
CONNECTION_LIMIT = 14
SLOTS = 5
BUDGETS = (8, 9)
LEASE_MS = 4_000
BACK_END_USER = "app"
PASSWORD = "simulated"
"""Password of callers and back-end logins; used only inside a run."""
VERIFIER_ITERATIONS = 4_096


@dataclass(frozen=True, slots=True)
class Place:
    """The name, zone and IP address of a process."""

    name: str
    zone: str
    ip: str

    def address(self, port: int) -> str:
        """Return ``ip:port``."""
        return f"{self.ip}:{port}"


@dataclass(frozen=True, slots=True)
class Layout:
    """All processes of a run by role."""

    geography: Geography
    controllers: tuple[Place, ...]
    proxies: tuple[Place, ...]
    members: dict[str, tuple[Place, ...]]
    operators: tuple[Place, ...]
    callers: tuple[Place, ...]

    @property
    def all_members(self) -> tuple[Place, ...]:
        """The members of all groups."""
        return tuple(place for places in self.members.values() for place in places)


def make_layout(seed: int) -> Layout:
    """Return the layout of a seed; its parity selects the geography."""
    geography = OSTMARK if seed % 2 else COLD_CHAIN
    zones = geography.zones

    def place(name: str, number: int, host: int) -> Place:
        zone = zones[number % len(zones)]
        return Place(name, zone.name, f"127.1.{zone.number}.{host + number}")

    groups = geography.groups[:GROUPS]
    members = {
        group: tuple(place(f"{group}-{n + 1}", n, 40 + 10 * g) for n in range(MEMBERS))
        for g, group in enumerate(groups)
    }
    count = GROUPS * TENANTS * CALLERS_PER_ACCESS
    return Layout(
        geography=geography,
        controllers=tuple(place(f"controller-{n + 1}", n, 10) for n in range(CONTROLLERS)),
        proxies=tuple(place(f"proxy-{n + 1}", n, 20) for n in range(PROXIES)),
        members=members,
        operators=tuple(place(name, n, 80) for n, name in enumerate(OPERATORS)),
        callers=tuple(Place(f"caller-{n + 1}", CLIENT, f"127.1.9.{n + 1}") for n in range(count)),
    )


def tenant_name(number: int) -> str:
    """Return the name of a tenant."""
    return f"tenant-{number + 1}"


def caller_verifier() -> str:
    """Return the SCRAM verifier of the callers' password."""
    return make_verifier(PASSWORD, VERIFIER_ITERATIONS)


def make_declaration(layout: Layout, verifier: str) -> Declaration:
    """Return the declaration that the operators confirm first."""
    tenants = tuple(
        Tenant(
            tenant_name(number),
            (User("caller", verifier),),
            client_limit=1_000,
            priority=Priority.ALERT if number == 0 else Priority.INTERACTIVE,
        )
        for number in range(TENANTS)
    )
    access = tuple(
        TenantAccess(tenant_name(number), "data", BACK_END_USER, "back-end", BUDGETS[number])
        for number in range(TENANTS)
    )
    groups = tuple(
        Group(
            name=group,
            members=tuple(
                Member(place.name, place.address(CLIENT_PORT), place.zone) for place in places
            ),
            connection_limit=CONNECTION_LIMIT,
            slots=SLOTS,
            access=access,
            admin_secret="admin",
        )
        for group, places in layout.members.items()
    )
    return Declaration(tenants, groups, token_keys=(TokenKey(1, "token"),))


def make_secrets() -> Secrets:
    """Return the secrets of all processes."""
    values = {"cluster": "cluster-key", "back-end": PASSWORD, "admin": PASSWORD, "token": "token-1"}
    values.update({name: f"key of {name}" for name in OPERATORS})
    return Secrets(values)


def controller_settings(layout: Layout, place: Place) -> ControllerSettings:
    """Return the settings of a controller."""
    peers = tuple(
        ControllerPeer(name=other.name, address=other.address(LINK_PORT))
        for other in layout.controllers
        if other is not place
    )
    return ControllerSettings(
        name=place.name,
        zone=place.zone,
        data_folder=Path("/simulated"),
        secrets_file=Path("/simulated/secrets.yaml"),
        source_ip=place.ip,
        status_listen=place.address(STATUS_PORT),
        listen=place.address(LINK_PORT),
        advertise=place.address(LINK_PORT),
        peers=peers,
        operators=tuple(OperatorKey(name=name, secret=name) for name in OPERATORS),
        connection_lease_ms=LEASE_MS,
    )


def proxy_settings(layout: Layout, place: Place, folder: Path, rng: random.Random) -> ProxySettings:
    """Return the settings of a proxy, with the controllers in a random order."""
    controllers = [other.address(LINK_PORT) for other in layout.controllers]
    rng.shuffle(controllers)
    return ProxySettings(
        name=place.name,
        zone=place.zone,
        data_folder=folder,
        secrets_file=folder / "secrets.yaml",
        source_ip=place.ip,
        status_listen=place.address(STATUS_PORT),
        client_listen=place.address(CLIENT_PORT),
        link_listen=place.address(LINK_PORT),
        link_advertise=place.address(LINK_PORT),
        controllers=tuple(controllers),
        request_deadline_ms=8_000,
        failover_wait_ms=5_000,
        idle_in_transaction_ms=10_000,
        drain_deadline_ms=8_000,
    )
