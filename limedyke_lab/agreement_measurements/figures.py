"""Benchmarks of the durable log and three controllers: syncs, commits, restarts."""

from __future__ import annotations

import statistics
import time
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import curio

from limedyke.messages.agreement import ControllerIdentity, EntryKind, LogEntry
from limedyke.messages.declaration import Declaration, Tenant
from limedyke.storage.durable_log import DurableLog
from limedyke.storage.open_log import open_durable_log
from limedyke_lab.agreement_measurements.operator_client import MeasuringOperator
from limedyke_lab.agreement_measurements.trio import ControllerTrio

ENTRY_BYTES = 200
MILLISECONDS_PER_S = 1000.0
QUANTILE_COUNT = 100
SERVE_TIMEOUT_S = 30.0
FIRST_CLIENT_LIMIT = 1_000
LARGEST_COUNT = 100_000


@dataclass(frozen=True, slots=True)
class Latencies:
    """Quantiles in milliseconds."""

    count: int
    p50_ms: float
    p99_ms: float
    longest_ms: float

    def __str__(self) -> str:
        return (
            f"count={self.count} p50_ms={self.p50_ms:.2f} p99_ms={self.p99_ms:.2f} "
            f"longest_ms={self.longest_ms:.2f}"
        )


@dataclass(frozen=True, slots=True)
class Throughput:
    """Entries per second at one batch size; each batch is synced before the next starts."""

    batch: int
    entries_per_s: float


@dataclass(frozen=True, slots=True)
class Restart:
    """The result of restarting all controllers at once after SIGKILL.

    :param served_s: seconds from starting the processes to the first status from a leader
    :param processor_s: largest CPU time that one controller had used by then, in seconds
    :param revision: the revision in that status
    """

    changes: int
    served_s: float
    processor_s: float
    revision: int
    log_bytes: int

    def __str__(self) -> str:
        return (
            f"changes={self.changes} served_s={self.served_s:.2f} "
            f"processor_s={self.processor_s:.2f} revision={self.revision} "
            f"log_bytes={self.log_bytes}"
        )


def summarize_latencies(seconds: Iterable[float]) -> Latencies:
    """Return the quantiles of durations given in seconds."""
    ordered = sorted(value * MILLISECONDS_PER_S for value in seconds)
    quantiles = statistics.quantiles(ordered, n=QUANTILE_COUNT)
    return Latencies(len(ordered), quantiles[49], quantiles[98], ordered[-1])


def _entries(first: int, count: int) -> tuple[LogEntry, ...]:
    kind = int(EntryKind.PROPOSAL)
    return tuple(
        LogEntry(index, 1, kind, bytes(ENTRY_BYTES)) for index in range(first, first + count)
    )


def _open(folder: Path) -> DurableLog:
    log = open_durable_log(folder, ControllerIdentity("measured", "1")).unwrap()
    log.take_stored_state()
    return log


def sync_latencies(folder: Path, count: int) -> Latencies:
    """Append single entries, each synced, to a durable log on the real disk."""
    log = _open(folder)
    durations = []
    for index in range(1, count + 1):
        started = time.perf_counter()
        log.append(_entries(index, 1)).unwrap()
        durations.append(time.perf_counter() - started)
    log.close()
    return summarize_latencies(durations)


def group_commit(folder: Path, batch: int, seconds: float) -> Throughput:
    """Append batches of entries for a time, with one sync per batch."""
    log = _open(folder)
    started = time.perf_counter()
    while time.perf_counter() < started + seconds:
        log.append(_entries(log.last_index + 1, batch)).unwrap()
    elapsed = time.perf_counter() - started
    written = log.last_index
    log.close()
    return Throughput(batch, written / elapsed)


def declaration(number: int) -> Declaration:
    """Return a small declaration that is unique to its number."""
    return Declaration(tenants=(Tenant("measured", (), client_limit=FIRST_CLIENT_LIMIT + number),))


async def change_configuration(operator: MeasuringOperator, first: int, count: int) -> list[float]:
    """Plan and confirm changes one by one; return the seconds that each commit took."""
    durations = []
    for number in range(first, first + count):
        plan = await operator.plan(declaration(number))
        confirmed = await operator.confirm(plan)
        durations.append(confirmed.answered_at - confirmed.sent_at)
    return durations


async def _wait_for_status(operator: MeasuringOperator, deadline: float) -> int:
    async with curio.timeout_after(deadline - time.monotonic()):
        return (await operator.status()).answer.revision


def wait_until_served(trio: ControllerTrio, *names: str) -> int:
    """Wait for a leader among the named controllers (default: all); return its revision."""

    async def ask() -> int:
        operator = trio.operator(*names)
        try:
            return await _wait_for_status(operator, time.monotonic() + SERVE_TIMEOUT_S)
        finally:
            await operator.close()

    return curio.run(ask)


def make_changes(trio: ControllerTrio, first: int, count: int, *names: str) -> list[float]:
    """Make changes at the named controllers (default: all); return each commit's seconds."""

    async def run() -> list[float]:
        operator = trio.operator(*names)
        try:
            return await change_configuration(operator, first, count)
        finally:
            await operator.close()

    return curio.run(run)


def concurrent_commits(trio: ControllerTrio, operators: int, seconds: float) -> float:
    """Record plans from several concurrent operators; return the entries committed per second."""

    async def record_plans(number: int, deadline: float) -> int:
        operator = trio.operator()
        recorded = 0
        while time.monotonic() < deadline:
            await operator.plan(declaration(number * LARGEST_COUNT + recorded))
            recorded += 1
        await operator.close()
        return recorded

    async def run() -> int:
        deadline = time.monotonic() + seconds
        tasks = [await curio.spawn(record_plans, number, deadline) for number in range(operators)]
        return sum([await task.join() for task in tasks])

    return curio.run(run) / seconds


def log_bytes(trio: ControllerTrio) -> int:
    """Return the size of the largest data folder, in bytes."""
    return max(
        sum(path.stat().st_size for path in folder.rglob("*") if path.is_file())
        for folder in (trio.folder / "data").iterdir()
    )


def restart_all(trio: ControllerTrio, changes: int) -> Restart:
    """Kill all controllers, start them again and wait for a leader."""
    trio.kill_all()
    size = log_bytes(trio)
    started = time.monotonic()
    trio.start_all()
    revision = wait_until_served(trio)
    served_s = time.monotonic() - started
    return Restart(changes, served_s, trio.maximum_cpu_seconds(), revision, size)
