"""Further damages to a valid history: other ways to violate the rule of a checker."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from limedyke_lab.checkers.leaving import DRAIN_END, DRAIN_START, DRAINING_CODE
from limedyke_lab.checkers.trace import COMMITTED, READ, request_of
from limedyke_lab.history import ClientOutcome, Event, GroupRows, History, Kind, Operation

HIGHER_TERM = 9


def _first_write(history: History, kind: Kind) -> Operation:
    return next(o for o in history.operations if o.kind is kind and o.acknowledged_write)


def _replace_operation(history: History, old: Operation, new: Operation) -> History:
    return replace(history, operations=tuple(new if o is old else o for o in history.operations))


def _with_rows(history: History, change: Callable[[GroupRows], GroupRows]) -> History:
    return replace(history, rows=tuple(change(rows) for rows in history.rows))


def acknowledged_under_old_term(history: History) -> History:
    """Move the commit of the first mark to a higher term and to the end of the history."""
    first = _first_write(history, Kind.MARK)
    members = tuple(
        replace(entry, term=HIGHER_TERM, time_ns=1 << 60)
        if request_of(entry) == first.number and entry.outcome == COMMITTED
        else entry
        for entry in history.members
    )
    return replace(history, members=tuple(sorted(members, key=lambda entry: entry.time_ns)))


def lost_register(history: History) -> History:
    """Remove a written register from the primary's rows."""
    write = _first_write(history, Kind.WRITE)

    def without(rows: GroupRows) -> GroupRows:
        return replace(
            rows, registers={o: n for o, n in rows.registers.items() if o != write.owner}
        )

    return _with_rows(history, without)


def half_a_transaction(history: History) -> History:
    """Remove rows of a transaction whose outcome was reported as unknown."""
    done = _first_write(history, Kind.TRANSACTION)
    history = _replace_operation(history, done, replace(done, outcome=ClientOutcome.UNKNOWN))

    def remove_rows(rows: GroupRows) -> GroupRows:
        if done.number not in rows.ledger:
            return rows
        return replace(rows, ledger={**rows.ledger, done.number: 1})

    return _with_rows(history, remove_rows)


def transaction_of_two_users(history: History) -> History:
    """Change the user of a transaction's second statement."""
    commits = [entry for entry in history.members if entry.outcome == COMMITTED]
    for entry in commits:
        others = [e for e in commits if e is not entry and e.transaction == entry.transaction]
        others = [e for e in others if e.member == entry.member and e.term == entry.term]
        if others:
            foreign = replace(others[0], user="somebody")
            members = tuple(foreign if e is others[0] else e for e in history.members)
            return replace(history, members=members)
    raise AssertionError("no transaction of two statements in this history")


def committed_twice(history: History) -> History:
    """Commit a request in a second transaction."""
    commit = next(
        e for e in history.members if e.outcome == COMMITTED and request_of(e) is not None
    )
    again = replace(commit, transaction=commit.transaction + 1_000_000)
    return replace(history, members=(*history.members, again))


def failed_but_left_a_row(history: History) -> History:
    """Report a mark as failed although it left a row."""
    mark = _first_write(history, Kind.MARK)
    return _replace_operation(
        history, mark, replace(mark, outcome=ClientOutcome.FAILED, sqlstate="23505")
    )


def refused_but_read(history: History) -> History:
    """Report a read as not run although a member's history contains it."""
    read = next(o for o in history.operations if o.kind is Kind.READ)
    statement = f"SELECT {read.number}::bigint AS request, 1 AS value"
    entry = replace(history.members[0], statement=statement, outcome=READ, transaction=0)
    history = replace(history, members=(*history.members, entry))
    return _replace_operation(history, read, replace(read, outcome=ClientOutcome.DID_NOT_RUN))


def drain_ended_with_error(history: History) -> History:
    """Make a proxy end its planned stop with a non-zero exit code."""
    events = (Event(1, DRAIN_START, "proxy-1"), Event(2, DRAIN_END, "proxy-1", 1))
    return replace(history, events=(*history.events, *events))


def refused_by_drain(history: History) -> History:
    """Refuse a request for draining although it arrived before the drain began."""
    mark = _first_write(history, Kind.MARK)
    late_ns = mark.start_ns + 100_000_000
    refused = replace(
        mark, outcome=ClientOutcome.DID_NOT_RUN, code=DRAINING_CODE, end_ns=late_ns + 1
    )
    events = (
        Event(late_ns, DRAIN_START, mark.proxy),
        Event(late_ns + 2, DRAIN_END, mark.proxy),
    )
    return replace(_replace_operation(history, mark, refused), events=(*history.events, *events))


def cut_by_first_stop(history: History) -> History:
    """Cut a request during the first of two planned stops of its proxy."""
    mark = _first_write(history, Kind.MARK)
    cut = replace(mark, outcome=ClientOutcome.UNKNOWN)
    first = (mark.start_ns + 1, mark.end_ns + 1)
    second = (mark.end_ns + 2, mark.end_ns + 3)
    events = tuple(
        Event(time_ns, name, mark.proxy)
        for stop in (first, second)
        for name, time_ns in zip((DRAIN_START, DRAIN_END), stop, strict=True)
    )
    return replace(_replace_operation(history, mark, cut), events=(*history.events, *events))


def never_written(history: History) -> History:
    """Make a session read a number from its register that it never wrote."""
    read = next(
        o
        for o in history.operations
        if o.kind is Kind.READ and o.outcome is ClientOutcome.DONE and o.owner == o.session
    )
    return _replace_operation(history, read, replace(read, value=1 << 50))


def repeated_answer_to_first_attempt(history: History) -> History:
    """Mark the answer to a request's first attempt as a repetition of an earlier execution."""
    mark = _first_write(history, Kind.MARK)
    return _replace_operation(history, mark, replace(mark, echo=None, repeated=True, attempt=1))


MORE_DAMAGES: dict[str, Callable[[History], History]] = {
    "acknowledged under old term": acknowledged_under_old_term,
    "lost register": lost_register,
    "half a transaction": half_a_transaction,
    "transaction of two users": transaction_of_two_users,
    "committed twice": committed_twice,
    "failed but left a row": failed_but_left_a_row,
    "refused but read": refused_but_read,
    "proxy left with an error": drain_ended_with_error,
    "turned away by a drain": refused_by_drain,
    "cut by the first of two stops": cut_by_first_stop,
    "never written": never_written,
    "repetition at a first sending": repeated_answer_to_first_attempt,
}
