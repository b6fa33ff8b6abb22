"""Draws and runs waves of load: bursts of clients that send almost without pause."""

from __future__ import annotations

import enum
import random
import time
from dataclasses import dataclass

import curio

from features.soak.load import BATCH_DATABASE, TENANTS, ClientRecord, SoakClient, SoakTenant

MIN_PAUSE_S, MAX_PAUSE_S = 0.5, 2.0
MIN_WAVE_S, MAX_WAVE_S = 0.5, 2.5
MIN_CLIENTS, MAX_CLIENTS = 20, 60
WAVE_PAUSE_S = 0.002
ANSWER_TIME_S = 0.03
"""Time in seconds that members take to answer, so that connections are scarce in a wave."""


class WaveKind(enum.StrEnum):
    """Which clients a wave consists of.

    ``BATCH``: clients of a tenant without a limit.
    ``HOT_TENANT``: clients of a tenant that goes far over its limit.

    Both use the database with the lowest priority.
    """

    BATCH = "batch"
    HOT_TENANT = "hot-tenant"


@dataclass(frozen=True, slots=True)
class Wave:
    """A burst of clients.

    :param at_s: its start, in seconds from the start of the load
    :param for_s: its duration
    """

    kind: WaveKind
    at_s: float
    for_s: float
    clients: int

    def __str__(self) -> str:
        return f"{self.kind}/{self.clients}@{self.at_s:.2f}+{self.for_s:.2f}"


def draw_waves(seed: int, seconds: float) -> tuple[Wave, ...]:
    """Return the waves of a seed that start within the given seconds; they may overlap."""
    generator = random.Random(f"waves/{seed}")
    waves: list[Wave] = []
    at_s = generator.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
    while at_s < seconds:
        kind = generator.choice(list(WaveKind))
        for_s = generator.uniform(MIN_WAVE_S, MAX_WAVE_S)
        clients = generator.randint(MIN_CLIENTS, MAX_CLIENTS)
        waves.append(Wave(kind, at_s, for_s, clients))
        at_s += generator.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
    return tuple(waves)


class WaveLoad:
    """Runs waves, and keeps the records of their clients.

    :ivar records: records of the clients of all waves
    """

    def __init__(self, proxies: tuple[str, ...], seed: int) -> None:
        self.records: list[ClientRecord] = []
        self._proxies = proxies
        self._seed = seed

    async def run(self, waves: tuple[Wave, ...]) -> None:
        """Run all waves; return when the last one has ended."""
        started_at = time.monotonic()
        async with curio.TaskGroup() as tasks:
            for number, wave in enumerate(waves):
                await curio.sleep(max(0.0, started_at + wave.at_s - time.monotonic()))
                await tasks.spawn(self._run_wave, wave, f"wave{number}")

    async def _run_wave(self, wave: Wave, name: str) -> None:
        clients = [self._make_client(wave, f"{name}c{number}") for number in range(wave.clients)]
        self.records += [client.record for client in clients]
        tasks = [await curio.spawn(client.run) for client in clients]
        await curio.sleep(wave.for_s)
        for task in tasks:
            await task.cancel()

    def _make_client(self, wave: Wave, name: str) -> SoakClient:
        return SoakClient(
            name,
            self._proxies,
            self._seed,
            _tenant_of(wave.kind),
            database=BATCH_DATABASE,
            pause_s=WAVE_PAUSE_S,
        )


def _tenant_of(kind: WaveKind) -> SoakTenant:
    free, limited = TENANTS
    return limited if kind is WaveKind.HOT_TENANT else free
