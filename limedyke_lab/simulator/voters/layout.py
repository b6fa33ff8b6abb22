"""The machines and settings of a run."""

from __future__ import annotations

from pathlib import Path

from limedyke.settings.controller import ControllerPeer, ControllerSettings
from limedyke_lab.geography import COLD_CHAIN, OSTMARK, Geography
from limedyke_lab.simulator.layout import LINK_PORT, STATUS_PORT, Place

INITIAL_CONTROLLERS = 5
SUCCESSORS = 4
SEEDS = 3
OPERATORS = 3
LOST_DISKS_TOLERATED = 2
ELECTION_TIMEOUT_MS = 450
HEARTBEAT_MS = 150
TICK_MS = 40
VOTER_SILENCE_MS = 2_400


def geography_of(seed: int) -> Geography:
    """Return the geography of a seed; its parity selects it."""
    return OSTMARK if seed % 2 else COLD_CHAIN


def make_places(geography: Geography, role: str, count: int, first_host: int) -> tuple[Place, ...]:
    """Return machines of a role, spread over the zones."""
    zones = geography.zones
    return tuple(
        Place(
            f"{role}-{number + 1}",
            zones[number % len(zones)].name,
            f"127.1.{zones[number % len(zones)].number}.{first_host + number}",
        )
        for number in range(count)
    )


def voter_settings(place: Place, seeds: tuple[Place, ...], joins: bool) -> ControllerSettings:
    """Return the settings of a controller.

    :param seeds: the controllers that the settings name
    :param joins: whether it joins a cluster rather than found one
    """
    peers = tuple(
        ControllerPeer(name=seed.name, address=seed.address(LINK_PORT))
        for seed in seeds
        if seed is not place
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
        join=joins,
        voters_wanted=2 * LOST_DISKS_TOLERATED + 1,
        lost_disks_tolerated=LOST_DISKS_TOLERATED,
        voter_silence_limit_ms=VOTER_SILENCE_MS,
        keeps_unsynced_writes=False,
        tick_interval_ms=TICK_MS,
        heartbeat_interval_ms=HEARTBEAT_MS,
        election_timeout_ms=ELECTION_TIMEOUT_MS,
    )
