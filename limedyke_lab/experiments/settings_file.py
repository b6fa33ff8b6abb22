"""Settings of the experiments, from the committed YAML files."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TypeVar

import yaml
from pydantic import BaseModel, ConfigDict, Field

FOLDER = Path(__file__).resolve().parent / "settings"
BENCH_FILE = "bench.yaml"


class ExperimentSettings(BaseModel):
    """Base of all experiment settings; unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    seed: int = 1
    workers: int = Field(default=2, ge=1)
    session_scale: float = Field(default=1.0, gt=0)


class FailoverSettings(ExperimentSettings):
    """Settings of ``failover``.

    :param rounds: number of failures of each kind in each geography
    :param round_s: time from one failure to the next
    :param undo_after_s: time from the failure until it is undone
    """

    kinds: tuple[str, ...]
    rounds: int = Field(ge=1)
    round_s: float
    undo_after_s: float
    replica_lag_ms: float


class ReplicaReadsSettings(ExperimentSettings):
    """Settings of ``replica-reads``: one run of ``seconds`` for each lag."""

    lags_ms: tuple[float, ...]
    seconds: float


class NoisyTenantSettings(ExperimentSettings):
    """Settings of ``noisy-tenant``.

    :param rounds: measurements of the steady tenant alone and beside each flood, ``seconds`` each
    :param flood_sessions: number of sessions of the flooding tenant, without pauses
    """

    rounds: int = Field(ge=1)
    seconds: float
    steady_sessions: int
    flood_sessions: int


class DrainSettings(ExperimentSettings):
    """Settings of ``drain``: planned stops of proxies and members under load.

    :param hold_s: time that a member stays declared as leaving
    """

    proxy_rounds: int
    member_rounds: int
    round_s: float
    hold_s: float


class ConfigStormSettings(ExperimentSettings):
    """Settings of ``config-storm``.

    :param changes: number of changes, each waited for until it is in force
    :param storm_changes: number of changes confirmed without pauses
    """

    changes: int
    storm_changes: int
    racing_operators: int
    races: int


class FaultSettings(ExperimentSettings):
    """Settings of ``faults``.

    :param lead_s: duration of the load before the fault
    :param hold_s: duration of a fault
    :param tail_s: duration of the load after the fault is undone
    :param limit_s: time after which the load ends by itself
    :param watchers_per_group: number of sessions that write continuously to each group
    """

    lead_s: float
    hold_s: float
    tail_s: float
    limit_s: float
    replica_lag_ms: float
    watchers_per_group: int = Field(default=2, ge=1)


class OverheadSettings(ExperimentSettings):
    """Settings of ``overhead``: sessions without pauses, on a network without delays.

    :param idle_clients: number of clients logged in at one proxy, almost all idle
    :param probes: number of statements sent by single idle clients
    """

    seconds: float
    sessions: tuple[int, ...]
    idle_clients: int
    probes: int


SettingsType = TypeVar("SettingsType", bound=ExperimentSettings)


_shortened: dict[str, dict[str, object]] = {}
"""Settings that the benchmark overrides, by experiment; empty otherwise."""


@contextmanager
def bench_settings() -> Iterator[None]:
    """Apply the shorter settings of the benchmark file within a ``with`` block."""
    _shortened.update(yaml.safe_load((FOLDER / BENCH_FILE).read_text()))
    try:
        yield
    finally:
        _shortened.clear()


def load_experiment(model: type[SettingsType], name: str) -> SettingsType:
    """Return the settings of an experiment from its YAML file."""
    values = yaml.safe_load((FOLDER / f"{name}.yaml").read_text())
    return model.model_validate({**values, **_shortened.get(name, {})})
