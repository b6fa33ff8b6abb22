"""Functions that damage a valid history, one per checker, to show that it detects the damage."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from limedyke_lab.checkers import consistency, leaving, revisions, transactions, writes
from limedyke_lab.checkers.trace import COMMITTED, request_of
from limedyke_lab.history import (
    ClientOutcome,
    Event,
    History,
    Kind,
    MemberEntry,
    NoAnswer,
    Operation,
)

_ONE_SECOND_NS = 1_000_000_000


class UnsuitableHistoryError(Exception):
    """The history contains nothing to which the damage could be applied."""


def _first(items, condition, what: str):
    for item in items:
        if condition(item):
            return item
    raise UnsuitableHistoryError(f"no {what} in this history")


def _replace_operation(history: History, old: Operation, new: Operation) -> History:
    operations = tuple(new if item is old else item for item in history.operations)
    return replace(history, operations=operations)


def _acknowledged(history: History, kind: Kind) -> Operation:
    return _first(
        history.operations,
        lambda item: item.kind is kind and item.acknowledged_write,
        f"acknowledged {kind}",
    )


def stale_read(history: History) -> History:
    """Make a session read its register without its own earlier write."""
    written = set()

    def is_read_after_write(item: Operation) -> bool:
        if item.kind is Kind.WRITE and item.acknowledged_write:
            written.add(item.session)
        own = item.kind is Kind.READ and item.owner == item.session
        return own and item.outcome is ClientOutcome.DONE and item.session in written

    read = _first(history.operations, is_read_after_write, "read after a write")
    return _replace_operation(history, read, replace(read, value=None))


def foreign_answer(history: History) -> History:
    """Replace the answer of an operation with that of the next one."""
    done = _first(
        history.operations, lambda item: item.outcome is ClientOutcome.DONE, "answered operation"
    )
    return _replace_operation(history, done, replace(done, echo=done.number + 1))


def lost_answer(history: History) -> History:
    """Make an operation end without an answer at a proxy without a fault."""
    done = _acknowledged(history, Kind.WRITE)
    lost = replace(done, outcome=ClientOutcome.UNKNOWN, no_answer=NoAnswer.CONNECTION_LOST)
    return _replace_operation(history, done, lost)


def lost_write(history: History) -> History:
    """Remove an acknowledged mark from the primary's rows."""
    mark = _acknowledged(history, Kind.MARK)
    rows = tuple(
        replace(group, marks={n: c for n, c in group.marks.items() if n != mark.number})
        for group in history.rows
    )
    return replace(history, rows=rows)


def late_acknowledgement(history: History) -> History:
    """Make a primary acknowledge a commit after another one in a higher term."""
    commit = _first(history.members, lambda item: item.outcome == COMMITTED, "commit")
    later = replace(commit, time_ns=commit.time_ns + 1, term=commit.term + 1)
    late = replace(commit, time_ns=commit.time_ns + 2)
    members = sorted((*history.members, later, late), key=lambda entry: entry.time_ns)
    return replace(history, members=tuple(members))


def false_refusal(history: History) -> History:
    """Report that a write did not run although it was executed."""
    mark = _acknowledged(history, Kind.MARK)
    refused = replace(mark, outcome=ClientOutcome.DID_NOT_RUN, sqlstate="53300", code="LD3004")
    return _replace_operation(history, mark, refused)


def double_run(history: History) -> History:
    """Make a mark appear in two rows."""
    mark = _acknowledged(history, Kind.MARK)
    rows = tuple(
        replace(group, marks={**group.marks, mark.number: 2})
        if mark.number in group.marks
        else group
        for group in history.rows
    )
    return replace(history, rows=rows)


def shared_transaction(history: History) -> History:
    """Move a statement of one request into another request's transaction at a member."""
    commits = [
        entry
        for entry in history.members
        if entry.outcome == COMMITTED and entry.connection and request_of(entry) is not None
    ]
    first = _first(commits, lambda _entry: True, "commit of a request")
    other = _first(
        commits,
        lambda entry: entry.member == first.member and request_of(entry) != request_of(first),
        "second request at one member",
    )
    moved = replace(
        other, connection=first.connection, transaction=first.transaction, term=first.term
    )
    members: tuple[MemberEntry, ...] = tuple(
        moved if entry is other else entry for entry in history.members
    )
    return replace(history, members=members)


def cut_by_drain(history: History) -> History:
    """Make a request in flight end without an answer while its proxy drains."""
    done = _acknowledged(history, Kind.WRITE)
    events = (
        Event(done.start_ns - 1, leaving.DRAIN_START, done.proxy),
        Event(done.end_ns + 1, leaving.DRAIN_END, done.proxy),
    )
    cut = replace(done, outcome=ClientOutcome.UNKNOWN, detail="connection lost")
    return replace(_replace_operation(history, done, cut), events=(*history.events, *events))


def cut_by_member_stop(history: History) -> History:
    """Make a write end without an answer while a member of its group leaves."""
    done = _acknowledged(history, Kind.WRITE)
    event = Event(done.start_ns - 1, leaving.MEMBER_LEAVING, f"{done.group}-a")
    cut = replace(done, outcome=ClientOutcome.UNKNOWN, detail="connection lost")
    return replace(_replace_operation(history, done, cut), events=(*history.events, event))


def work_while_leaving(history: History) -> History:
    """Make a member receive work long after it was told to leave."""
    entry = _first(
        history.members, lambda item: item.connection and request_of(item) is not None, "work"
    )
    event = Event(entry.time_ns - 10 * _ONE_SECOND_NS, leaving.MEMBER_LEAVING, entry.member)
    return replace(history, events=(event, *history.events))


def _with_events(history: History, *events: Event) -> History:
    return replace(history, events=(*history.events, *events))


def older_revision(history: History) -> History:
    """Make a proxy return to an older revision."""
    return _with_events(
        history,
        Event(1, revisions.REVISION, "proxy-1", 7),
        Event(2, revisions.REVISION, "proxy-1", 6),
    )


def late_revision(history: History) -> History:
    """Make a proxy keep the older revision until 30 s after a confirmation."""
    return _with_events(
        history,
        Event(1, revisions.CONFIRMED, "", 7),
        Event(30 * _ONE_SECOND_NS, revisions.REVISION, "proxy-1", 6),
    )


DAMAGES: dict[str, Callable[[History], History]] = {
    consistency.READ_YOUR_WRITES: stale_read,
    consistency.ANSWERS: foreign_answer,
    consistency.ANSWERED: lost_answer,
    writes.ACKNOWLEDGED_WRITES: lost_write,
    writes.REPLACED_PRIMARY: late_acknowledgement,
    writes.DID_NOT_RUN: false_refusal,
    writes.AT_MOST_ONCE: double_run,
    transactions.TRANSACTIONS: shared_transaction,
    leaving.DRAIN: cut_by_drain,
    leaving.LEAVING_MEMBER: work_while_leaving,
    leaving.MEMBER_STOP: cut_by_member_stop,
    revisions.REVISIONS: older_revision,
    revisions.IN_FORCE: late_revision,
}
"""The damage that each checker must detect, by the name of the checker."""
