"""Checkers of transaction atomicity and isolation."""

from __future__ import annotations

from collections import defaultdict

from limedyke_lab.checkers.trace import (
    INTERNAL_USERS,
    TransactionId,
    request_of,
    transaction_of,
)
from limedyke_lab.checkers.violation import Violation
from limedyke_lab.history import ClientOutcome, History, Kind
from limedyke_lab.load.statements import LEDGER_STEPS

TRANSACTIONS = "transactions-apart"


def check_transactions(history: History) -> list[Violation]:
    """Find transactions with foreign statements, partial commits, or wrong reads of own rows."""
    return [*_mixed_transactions(history), *_partial_commits(history), *_wrong_reads(history)]


def _mixed_transactions(history: History) -> list[Violation]:
    """Find transactions at a member with statements of more than one request or user."""
    requests: dict[TransactionId, set[int]] = defaultdict(set)
    users: dict[TransactionId, set[str]] = defaultdict(set)
    for entry in history.members:
        if not entry.transaction or not entry.connection:
            continue
        key = transaction_of(entry)
        number = request_of(entry)
        if number is not None:
            requests[key].add(number)
        if entry.user not in INTERNAL_USERS:
            users[key].add(entry.user)
    violations = []
    for key, found in (*requests.items(), *users.items()):
        if len(found) > 1:
            detail = f"statements of {sorted(found)} in one transaction"
            violations.append(Violation(TRANSACTIONS, " ".join(map(str, key)), detail))
    return violations


def _partial_commits(history: History) -> list[Violation]:
    return [
        Violation(TRANSACTIONS, str(number), f"{count} rows of {len(LEDGER_STEPS)} stand")
        for rows in history.rows
        for number, count in rows.ledger.items()
        if count != len(LEDGER_STEPS)
    ]


def _wrong_reads(history: History) -> list[Violation]:
    return [
        Violation(TRANSACTIONS, str(operation.number), f"read {operation.value} of its own rows")
        for operation in history.operations
        if operation.kind is Kind.TRANSACTION
        and operation.outcome is ClientOutcome.DONE
        and operation.value != len(LEDGER_STEPS)
    ]
