"""Recorded traces: the first seconds of a history in one small file."""

from __future__ import annotations

from pathlib import Path

from limedyke_lab.checkers.trace import request_of
from limedyke_lab.history import ClientOutcome, GroupRows, History, HistoryWriter, Kind

NANOSECONDS = 1_000_000_000


def truncate_history(history: History, seconds: float) -> History:
    """Return the operations started in the first seconds, with their rows and member entries."""
    first_ns = history.operations[0].start_ns
    end_ns = first_ns + int(seconds * NANOSECONDS)
    operations = tuple(operation for operation in history.operations if operation.start_ns < end_ns)
    numbers = {operation.number for operation in operations if operation.kind is not Kind.READ}
    writers = {
        operation.owner
        for operation in operations
        if operation.kind is Kind.WRITE and operation.outcome is ClientOutcome.DONE
    }
    rows = tuple(_rows_of(group, writers, numbers) for group in history.rows)
    members = tuple(entry for entry in history.members if request_of(entry) in numbers)
    events = tuple(event for event in history.events if event.time_ns < end_ns)
    return History(operations, events, rows, members)


def only_sessions(history: History, prefix: str) -> History:
    """Return the operations of sessions with a name prefix, with their rows and member entries.

    All operations of these sessions are kept, so that checkers can verify their reads.
    """
    operations = tuple(
        operation for operation in history.operations if operation.session.startswith(prefix)
    )
    numbers = {operation.number for operation in operations if operation.kind is not Kind.READ}
    owners = {operation.owner for operation in operations if operation.kind is not Kind.READ}
    rows = tuple(_rows_of(group, owners, numbers) for group in history.rows)
    members = tuple(entry for entry in history.members if request_of(entry) in numbers)
    return History(operations, history.events, rows, members)


def _rows_of(rows: GroupRows, owners: set[str], numbers: set[int]) -> GroupRows:
    return GroupRows(
        group=rows.group,
        registers={owner: number for owner, number in rows.registers.items() if owner in owners},
        marks={number: count for number, count in rows.marks.items() if number in numbers},
        ledger={number: count for number, count in rows.ledger.items() if number in numbers},
    )


def write_trace(history: History, path: Path) -> None:
    """Write a history as one trace file, replacing an existing file."""
    path.unlink(missing_ok=True)
    writer = HistoryWriter(path)
    records = (*history.events, *history.operations, *history.rows, *history.members)
    for record in records:
        writer.add(record)
    writer.close()
