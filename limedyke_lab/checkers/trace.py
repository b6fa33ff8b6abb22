"""Maps entries of the members' histories to requests."""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Iterator

from limedyke_lab.history import History, MemberEntry

COMMITTED = "commit"
"""Outcome: a majority holds the commit and the member acknowledged it."""
COMMITTED_UNACKNOWLEDGED = "unknown"
APPLIED = "apply"
EXECUTED_OUTCOMES = frozenset({COMMITTED, COMMITTED_UNACKNOWLEDGED})
INTERNAL_USERS = frozenset({"lab_admin", "limedyke_admin", ""})

_NUMBER = re.compile(
    r"INTO (registers|marks|ledger)\s*\(number, (?:step, )?owner\) VALUES\s*\((\d+)"
)


_READ_NUMBER = re.compile(r"^SELECT (\d+)::bigint AS request")
READ = "read"

TransactionId = tuple[str, int, int]
"""Member, term and number of a transaction."""


def transaction_of(entry: MemberEntry) -> TransactionId:
    """Return the unique identity of a transaction at a member.

    It includes the term because a restarted member numbers its transactions from the start
    again, and accepts writes only in a higher term.
    """
    return (entry.member, entry.term, entry.transaction)


def group_of(member: str) -> str:
    """Return the group of a member, which is named ``GROUP-LETTER``."""
    return member.rpartition("-")[0]


def request_of(entry: MemberEntry) -> int | None:
    """Return the number of the write request in an entry's statement, or None."""
    found = _NUMBER.search(entry.statement)
    return int(found.group(2)) if found else None


def executed_reads(history: History) -> dict[int, list[MemberEntry]]:
    """Return the executions of each read that can be traced by its number."""
    by_number: dict[int, list[MemberEntry]] = defaultdict(list)
    for entry in history.members:
        found = _READ_NUMBER.match(entry.statement) if entry.outcome == READ else None
        if found:
            by_number[int(found.group(1))].append(entry)
    return by_number


def traced_entries(history: History) -> Iterator[tuple[int, MemberEntry]]:
    """Yield the members' entries that carry a request number, with that number."""
    for entry in history.members:
        number = request_of(entry)
        if number is not None:
            yield number, entry


def executions(history: History) -> dict[int, list[MemberEntry]]:
    """Return the commits of each request at the members that executed it."""
    by_number: dict[int, list[MemberEntry]] = defaultdict(list)
    for number, entry in traced_entries(history):
        if entry.outcome in EXECUTED_OUTCOMES:
            by_number[number].append(entry)
    return by_number
