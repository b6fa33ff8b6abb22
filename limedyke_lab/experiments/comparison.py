"""Compares results with those of an earlier run, read from its JSON lines."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path

from limedyke_lab.experiments.result import ExperimentResult, Value

Key = tuple[str, str, str]
"""Experiment, geography and variant."""


@dataclass(frozen=True, slots=True)
class EarlierResults:
    """The results of an earlier run.

    :param commit: commit of the last result
    """

    commit: str
    values: dict[Key, dict[str, Value]]


def load_earlier(path: Path) -> EarlierResults:
    """Read the JSON lines of an earlier run; the last of repeated results is used.

    :raises OSError: when the file cannot be read
    :raises ValueError: when a line is not a result
    """
    commit = "unknown"
    values: dict[Key, dict[str, Value]] = {}
    for line in path.read_text(encoding="utf-8").splitlines():
        row = json.loads(line)
        commit = row["commit"]
        values[row["experiment"], row["geography"], row["variant"]] = row["values"]
    return EarlierResults(commit, values)


def compare(results: list[ExperimentResult], earlier: EarlierResults) -> list[str]:
    """Return one line for each number that differs from the earlier run."""
    lines = []
    for result in results:
        before = earlier.values.get((result.experiment, result.geography, result.variant), {})
        for name, value in result.values.items():
            old = before.get(name)
            if _are_numbers(old, value) and old != value:
                shown = f"{result.experiment} {result.geography} {result.variant} {name}"
                lines.append(f"{shown}: {old:.4g} -> {value:.4g}{_change(old, value)}")
    return lines


def _are_numbers(*values: object) -> bool:
    return all(isinstance(value, (int, float)) for value in values)


def _change(old: float, new: float) -> str:
    return f" ({(new - old) / old:+.0%})" if old else ""
