"""Mutants that disable one checker each; the damaged histories must reveal them."""

from __future__ import annotations

from pathlib import Path

from features.mutants.mutant import Mutant
from limedyke_lab.checkers.damage import DAMAGES
from limedyke_lab.checkers.report import CHECKERS
from limedyke_lab.history import read_records

VALID_TRACE = Path(__file__).resolve().parents[1] / "traces" / "sound.jsonl"


def _detects_damage(name: str, checker) -> bool:
    """Tell whether a checker accepts the valid history and reports its damaged copy."""
    history = read_records([VALID_TRACE])
    return not checker(history) and bool(checker(DAMAGES[name](history)))


def _is_caught(name: str) -> bool:
    if not _detects_damage(name, CHECKERS[name]):
        raise AssertionError(f"the checker {name} does not detect its damage")
    return not _detects_damage(name, lambda _history: [])


MUTANTS = tuple(
    Mutant(
        name=f"the checker {name} looks away",
        safeguard=f"limedyke_lab.checkers.report.CHECKERS[{name!r}]",
        caught_by="features/checkers.feature: each checker sees its own damage",
        run=lambda name=name: _is_caught(name),
    )
    for name in CHECKERS
)
