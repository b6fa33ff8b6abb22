"""Results of experiments, written as JSON lines with seed and commit, and printed as a table."""

from __future__ import annotations

import dataclasses
import json
import os
from dataclasses import dataclass
from pathlib import Path

from hdrh.histogram import HdrHistogram

from limedyke_lab.fleet.process import REPOSITORY, run_command
from limedyke_lab.history import Operation

Value = float | int | str
HIGHEST_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
_US_PER_MS = 1_000
_NS_PER_US = 1_000
_GIT_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class ExperimentResult:
    """One result row of an experiment.

    :param variant: variant, such as a kind of failure or the name of a baseline
    :param sizes: sizes of the run: sessions, rounds, lags, load
    :param values: measured values; names end with the unit
    """

    experiment: str
    geography: str
    variant: str
    seed: int
    sizes: dict[str, Value]
    values: dict[str, Value]


def current_commit() -> str:
    """Return the checked-out commit, with ``+changes`` if the working tree is modified."""
    commit = run_command(["git", "-C", str(REPOSITORY), "rev-parse", "HEAD"], _GIT_TIMEOUT_S)
    changes = run_command(["git", "-C", str(REPOSITORY), "status", "--porcelain"], _GIT_TIMEOUT_S)
    suffix = "+changes" if changes.stdout.strip() else ""
    return (commit.stdout.strip() or "unknown") + suffix


class ResultWriter:
    """Appends results to a JSON lines file and keeps them for the table."""

    def __init__(self, path: Path | None) -> None:
        self._path = path
        self._commit = current_commit()
        self.results: list[ExperimentResult] = []
        if path is not None:
            path.parent.mkdir(parents=True, exist_ok=True)

    def add(self, result: ExperimentResult) -> None:
        """Store, write and print a result."""
        self.results.append(result)
        print(describe(result), flush=True)
        if self._path is None:
            return
        line = dataclasses.asdict(result)
        line |= {"commit": self._commit, "load_average_1m": round(os.getloadavg()[0], 2)}
        with self._path.open("a", encoding="utf-8") as file:
            file.write(json.dumps(line) + "\n")


def _text(value: Value) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def describe(result: ExperimentResult) -> str:
    """Return a result as one line of key=value pairs."""
    values = " ".join(f"{name}={_text(value)}" for name, value in result.values.items())
    return f"{result.experiment} {result.geography} {result.variant}: {values}"


def table(results: list[ExperimentResult]) -> str:
    """Return the results of one experiment as a text table."""
    columns = list(dict.fromkeys(name for result in results for name in result.values))
    rows = [["geography", "variant", *columns]]
    for result in results:
        cells = [_text(result.values[name]) if name in result.values else "" for name in columns]
        rows.append([result.geography, result.variant, *cells])
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]
    return "\n".join(lines)


class Latencies:
    """Latencies of operations in a high-dynamic-range histogram."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS)

    @classmethod
    def of(cls, operations: list[Operation]) -> Latencies:
        """Return the latencies of operations."""
        latencies = cls()
        for operation in operations:
            latencies.add_ns(operation.end_ns - operation.start_ns)
        return latencies

    def add_ns(self, nanoseconds: int) -> None:
        """Add one latency."""
        microseconds = max(1, min(HIGHEST_LATENCY_US, nanoseconds // _NS_PER_US))
        self._histogram.record_value(microseconds)

    def add_ms(self, milliseconds: float) -> None:
        """Add one latency given in milliseconds."""
        self.add_ns(int(milliseconds * _US_PER_MS * _NS_PER_US))

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile in milliseconds; 0 without data."""
        if not self._histogram.get_total_count():
            return 0.0
        return self._histogram.get_value_at_percentile(percentile) / _US_PER_MS

    def p50_p99(self, prefix: str) -> dict[str, Value]:
        """Return the median and the 99th percentile, with a prefix for their names."""
        return {
            f"{prefix}_p50_ms": self.percentile_ms(50),
            f"{prefix}_p99_ms": self.percentile_ms(99),
        }
