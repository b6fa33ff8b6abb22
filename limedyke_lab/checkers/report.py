"""All checkers over one history, and their report."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from limedyke_lab.checkers import (
    consistency,
    leaving,
    measures,
    revisions,
    transactions,
    writes,
)
from limedyke_lab.checkers.case_counts import CASE_COUNTS
from limedyke_lab.checkers.violation import Checker, Violation
from limedyke_lab.history import History, read_records

CHECKERS: dict[str, Checker] = {
    consistency.READ_YOUR_WRITES: consistency.check_read_your_writes,
    consistency.ANSWERS: consistency.check_answers,
    consistency.ANSWERED: consistency.check_answered,
    writes.ACKNOWLEDGED_WRITES: writes.check_acknowledged_writes,
    writes.REPLACED_PRIMARY: writes.check_replaced_primary,
    writes.DID_NOT_RUN: writes.check_did_not_run,
    writes.AT_MOST_ONCE: writes.check_at_most_once,
    transactions.TRANSACTIONS: transactions.check_transactions,
    leaving.DRAIN: leaving.check_drain,
    leaving.LEAVING_MEMBER: leaving.check_leaving_member,
    leaving.MEMBER_STOP: leaving.check_member_stop,
    revisions.REVISIONS: revisions.check_revisions,
    revisions.IN_FORCE: revisions.check_in_force,
}
CHECKERS_REQUIRING_CASES = (
    consistency.READ_YOUR_WRITES,
    consistency.ANSWERS,
    consistency.ANSWERED,
    writes.ACKNOWLEDGED_WRITES,
    writes.REPLACED_PRIMARY,
    writes.AT_MOST_ONCE,
    transactions.TRANSACTIONS,
)
"""Checkers that any load of the ready profiles gives something to judge."""
SHOWN_VIOLATIONS = 20
EXIT_OK = 0
EXIT_VIOLATION = 1


def check_all(history: History) -> list[Violation]:
    """Return what every checker finds."""
    return [violation for checker in CHECKERS.values() for violation in checker(history)]


def count_by_checker(violations: list[Violation]) -> dict[str, int]:
    """Return how many violations each checker found, with zeros."""
    counts = dict.fromkeys(CHECKERS, 0)
    for violation in violations:
        counts[violation.checker] += 1
    return counts


def describe(history: History, violations: list[Violation]) -> list[str]:
    """Return the report's lines: outcomes, measures, violations."""
    lines = [f"outcome {label}: {n}" for label, n in measures.outcome_counts(history).items()]
    share = measures.read_share(history)
    lines.append(f"replica reads: {share.share:.4f} of {share.reads}, ceiling {share.ceiling:.4f}")
    for gap in measures.failover_gaps(history):
        lines.append(f"{gap.event.name} of {gap.event.target}: gap {gap.gap_ms:.0f} ms")
    for name, count in count_by_checker(violations).items():
        lines.append(f"checker {name}: {count} violations in {CASE_COUNTS[name](history)} cases")
    lines.extend(str(violation) for violation in violations[:SHOWN_VIOLATIONS])
    return lines


def checkers_without_cases(history: History, checkers: Iterable[str]) -> list[str]:
    """Return those of some checkers that found nothing to judge, whose zeros mean nothing."""
    return [name for name in checkers if not CASE_COUNTS[name](history)]


def run_check(history_file: Path, member_folder: Path | None) -> int:
    """Check a recorded history and print the report; return the exit code."""
    files = [history_file]
    if member_folder is not None:
        files.extend(sorted(member_folder.glob("*.jsonl")))
    history = read_records(files)
    violations = check_all(history)
    print("\n".join(describe(history, violations)))
    nothing = checkers_without_cases(history, CHECKERS_REQUIRING_CASES)
    if nothing:
        print(f"too little to judge: {', '.join(nothing)}")
    return EXIT_VIOLATION if violations or nothing else EXIT_OK
