"""Waves of load: further clients that come at once and ask without pause, drawn from a seed."""

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
"""Members take so long for an answer, so that connections are scarce in a wave."""


class WaveKind(enum.StrEnum):
    """Who comes.

    ``BATCH``: clients of the least urgent database, for a tenant without a limit.
    ``HOT_TENANT``: clients of a tenant that goes far over its limit.
    """

    BATCH = "batch"
    HOT_TENANT = "hot-tenant"


@dataclass(frozen=True, slots=True)
class Wave:
    """Clients that come together.

    :param at_s: when they come, from the start of the load
    :param for_s: how long they stay
    """

    kind: WaveKind
    at_s: float
    for_s: float
    clients: int

    def __str__(self) -> str:
        return f"{self.kind}/{self.clients}@{self.at_s:.2f}+{self.for_s:.2f}"


def draw_waves(seed: int, seconds: float) -> tuple[Wave, ...]:
    """Return the waves of a seed within so many seconds; they may overlap."""
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
    """Brings waves about, and keeps what their clients were told.

    :ivar records: of all clients that came
    """

    def __init__(self, proxies: tuple[str, ...], seed: int) -> None:
        self.records: list[ClientRecord] = []
        self._proxies = proxies
        self._seed = seed

    async def run(self, waves: tuple[Wave, ...]) -> None:
        """Bring all waves about; return when the last one is over."""
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
