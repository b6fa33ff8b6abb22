"""How much a history gives each checker to judge; a zero of a checker without any says nothing."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from limedyke_lab.checkers import consistency, leaving, revisions, transactions, writes
from limedyke_lab.checkers.trace import COMMITTED, INTERNAL_USERS, group_of
from limedyke_lab.history import ClientOutcome, History, Kind


def _count(items: Iterable[object]) -> int:
    return sum(1 for _item in items)


def reads_after_writes(history: History) -> int:
    """Count reads of a session's own register after a write was acknowledged to it."""
    wrote: set[str] = set()
    reads = 0
    for operation in sorted(history.operations, key=lambda operation: operation.start_ns):
        if operation.kind is Kind.WRITE and operation.acknowledged_write:
            wrote.add(operation.session)
        own = operation.kind is Kind.READ and operation.owner == operation.session
        reads += own and operation.outcome is ClientOutcome.DONE and operation.session in wrote
    return reads


def answers(history: History) -> int:
    """Count operations that were answered."""
    return _count(item for item in history.operations if item.outcome is ClientOutcome.DONE)


def operations(history: History) -> int:
    """Count all operations."""
    return len(history.operations)


def checked_writes(history: History) -> int:
    """Count acknowledged writes of groups whose rows were read after the end."""
    groups = {rows.group for rows in history.rows}
    return _count(
        item for item in history.operations if item.acknowledged_write and item.group in groups
    )


def commits(history: History) -> int:
    """Count commits that members acknowledged."""
    return _count(entry for entry in history.members if entry.outcome == COMMITTED)


def refusals(history: History) -> int:
    """Count refused requests and failed writes, where members' histories show their number."""
    return _count(
        item
        for item in history.operations
        if item.traceable
        and (
            item.outcome is ClientOutcome.DID_NOT_RUN
            or (item.outcome is ClientOutcome.FAILED and item.kind is not Kind.READ)
        )
    )


def keyed_requests(history: History) -> int:
    """Count requests with a once-key."""
    return _count(item for item in history.operations if item.once_key)


def whole_transactions(history: History) -> int:
    """Count transactions that were acknowledged."""
    return _count(
        item
        for item in history.operations
        if item.kind is Kind.TRANSACTION and item.acknowledged_write
    )


def operations_while_draining(history: History) -> int:
    """Count operations in flight at proxies after they were asked to leave."""
    ends = {
        event.target: event.time_ns for event in history.events if event.name == leaving.DRAIN_END
    }
    starts = [event for event in history.events if event.name == leaving.DRAIN_START]
    return _count(
        item
        for event in starts
        for item in history.operations
        if item.proxy == event.target
        and item.end_ns >= event.time_ns
        and item.start_ns <= ends.get(event.target, event.time_ns)
    )


def work_before_leaving(history: History) -> int:
    """Count statements that leaving members had run before they were told to leave."""
    leaving_ns = {
        event.target: event.time_ns
        for event in history.events
        if event.name == leaving.MEMBER_LEAVING
    }
    return _count(
        entry
        for entry in history.members
        if entry.connection
        and entry.user not in INTERNAL_USERS
        and entry.time_ns < leaving_ns.get(entry.member, 0)
    )


def operations_while_leaving(history: History) -> int:
    """Count operations of a group that began after one of its members was told to leave."""
    leaving_ns = {
        group_of(event.target): event.time_ns
        for event in history.events
        if event.name == leaving.MEMBER_LEAVING
    }
    return _count(
        item
        for item in history.operations
        if item.group in leaving_ns and item.start_ns >= leaving_ns[item.group]
    )


def seen_revisions(history: History) -> int:
    """Count observations of the revision in force at a proxy."""
    return _count(event for event in history.events if event.name == revisions.REVISION)


def confirmed_revisions(history: History) -> int:
    """Count confirmed revisions, when the proxies were observed at all."""
    return len(revisions.confirmations(history)) if seen_revisions(history) else 0


CASE_COUNTS: dict[str, Callable[[History], int]] = {
    consistency.READ_YOUR_WRITES: reads_after_writes,
    consistency.ANSWERS: answers,
    consistency.ANSWERED: operations,
    writes.ACKNOWLEDGED_WRITES: checked_writes,
    writes.REPLACED_PRIMARY: commits,
    writes.DID_NOT_RUN: refusals,
    writes.AT_MOST_ONCE: keyed_requests,
    transactions.TRANSACTIONS: whole_transactions,
    leaving.DRAIN: operations_while_draining,
    leaving.LEAVING_MEMBER: work_before_leaving,
    leaving.MEMBER_STOP: operations_while_leaving,
    revisions.REVISIONS: seen_revisions,
    revisions.IN_FORCE: confirmed_revisions,
}
"""Counts the cases of each checker, by the checker's name."""
