"""Measures the cost of thousands of idle clients on one proxy, and statement latency among them."""

from __future__ import annotations

import contextlib
import random
import time

import psutil
import psycopg

from limedyke.addresses import split_address
from limedyke_lab.experiments.result import ExperimentResult, Latencies, Value
from limedyke_lab.experiments.settings_file import OverheadSettings
from limedyke_lab.fleet.fleet import Fleet
from limedyke_lab.fleet.secrets import client_password
from limedyke_lab.load.profiles import WATCHERS

WARM_UP_CLIENTS = 50
IDLE_S = 5.0
PROBE = "SELECT 1"


def measure(fleet: Fleet, settings: OverheadSettings, experiment: str) -> ExperimentResult:
    """Log in clients at the first proxy, leave them idle, and run statements on single ones."""
    process = psutil.Process(fleet.process(fleet.topology.proxies[0].name).pid)
    geography = fleet.topology.geography.name
    count = settings.idle_clients
    values: dict[str, Value] = {"clients": count}
    with contextlib.ExitStack() as clients:
        for _ in range(WARM_UP_CLIENTS):
            clients.enter_context(_connect(fleet))
        before = process.memory_info().rss
        started = time.monotonic()
        idle = [clients.enter_context(_connect(fleet)) for _ in range(count)]
        values["logins_per_s"] = count / (time.monotonic() - started)
        values["bytes_per_client"] = (process.memory_info().rss - before) / count
        values["idle_processor_percent"] = _idle_percent(process)
        values.update(_probe(idle, settings).p50_p99("statement"))
    sizes: dict[str, Value] = {"clients": count, "probes": settings.probes}
    variant = f"limedyke idle clients={count}"
    return ExperimentResult(experiment, geography, variant, settings.seed, sizes, values)


def _connect(fleet: Fleet) -> psycopg.Connection:
    geography = fleet.topology.geography
    tenant, user = WATCHERS[geography.name]
    host, port = split_address(fleet.topology.proxies[0].listen)
    return psycopg.connect(
        host=host,
        port=port,
        user=user,
        password=client_password(user),
        dbname=f"{tenant}/{geography.groups[0]}",
        sslmode="disable",
        autocommit=True,
    )


def _idle_percent(process: psutil.Process) -> float:
    """Return the percentage of a core that the process uses while all clients are idle."""
    before = process.cpu_times()
    time.sleep(IDLE_S)
    after = process.cpu_times()
    return 100 * (after.user + after.system - before.user - before.system) / IDLE_S


def _probe(idle: list[psycopg.Connection], settings: OverheadSettings) -> Latencies:
    chooser = random.Random(settings.seed)
    latencies = Latencies()
    for _ in range(settings.probes):
        connection = chooser.choice(idle)
        began = time.monotonic_ns()
        connection.execute(PROBE)
        latencies.add_ns(time.monotonic_ns() - began)
    return latencies
