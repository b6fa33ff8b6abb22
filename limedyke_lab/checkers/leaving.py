"""Checkers of planned stops of proxies and members."""

from __future__ import annotations

from limedyke_lab.checkers.trace import INTERNAL_USERS, group_of
from limedyke_lab.checkers.violation import Violation
from limedyke_lab.history import ClientOutcome, Event, History, Operation

DRAIN = "drain"
LEAVING_MEMBER = "leaving-member"
MEMBER_STOP = "member-stop"
NO_NEW_WORK_AFTER_S = 2.0
DRAIN_START = "drain-start"
DRAIN_END = "drain-end"
MEMBER_LEAVING = "member-leaving"
MEMBER_STOPPED = "member-stopped"
READ_CUT_CODE = "LD3008"
DRAINING_CODE = "LD3006"
ARRIVAL_MARGIN_S = 0.03
"""A request sent at least this many seconds before the stop had arrived when it began."""
_NANOSECONDS = 1_000_000_000


def _stops(history: History, start: str, end: str) -> list[tuple[Event, Event | None]]:
    """Return each planned stop with the first later end event of the same target.

    A target may be stopped several times in a history.
    """
    ends = [event for event in history.events if event.name == end]
    return [
        (event, _first_end_after(event, ends)) for event in history.events if event.name == start
    ]


def _first_end_after(start: Event, ends: list[Event]) -> Event | None:
    later_ends = [
        event for event in ends if event.target == start.target and event.time_ns >= start.time_ns
    ]
    return min(later_ends, key=lambda event: event.time_ns, default=None)


def check_drain(history: History) -> list[Violation]:
    """Find in-flight requests that a proxy's planned stop cut, and stops that failed."""
    violations = []
    for start, end in _stops(history, DRAIN_START, DRAIN_END):
        proxy = start.target
        if end is None or end.value != 0:
            detail = "did not end" if end is None else f"ended with code {end.value}"
            violations.append(Violation(DRAIN, proxy, detail))
            continue
        for operation in history.operations:
            overlaps = operation.end_ns >= start.time_ns and operation.start_ns <= end.time_ns
            if operation.proxy != proxy or not overlaps:
                continue
            if _was_cut(operation) or _was_refused_by_drain(operation, start):
                detail = f"request {operation.number}: {operation.detail or operation.outcome}"
                violations.append(Violation(DRAIN, proxy, detail))
    return violations


def _was_cut(operation: Operation) -> bool:
    """Tell whether the caller got neither an answer nor a refusal."""
    if operation.outcome is ClientOutcome.UNKNOWN:
        return True
    if operation.outcome is not ClientOutcome.FAILED:
        return False
    return not operation.sqlstate or operation.code == READ_CUT_CODE


def _was_refused_by_drain(operation: Operation, start: Event) -> bool:
    """Tell whether a request was refused because of a drain that began after it arrived."""
    sent_before_ns = start.time_ns - int(ARRIVAL_MARGIN_S * _NANOSECONDS)
    return operation.code == DRAINING_CODE and operation.start_ns < sent_before_ns


def check_member_stop(history: History) -> list[Violation]:
    """Find requests of a group that were cut during the planned stop of one of its members."""
    violations = []
    for event, end in _stops(history, MEMBER_LEAVING, MEMBER_STOPPED):
        for operation in history.operations:
            after = operation.end_ns >= event.time_ns
            before = end is None or operation.start_ns <= end.time_ns
            of_group = operation.group == group_of(event.target)
            if of_group and after and before and _was_cut(operation):
                detail = f"request {operation.number}: {operation.detail or operation.outcome}"
                violations.append(Violation(MEMBER_STOP, event.target, detail))
    return violations


def check_leaving_member(history: History) -> list[Violation]:
    """Find work that a member received more than 2 s after it was told to leave."""
    violations = []
    for event, end in _stops(history, MEMBER_LEAVING, MEMBER_STOPPED):
        limit_ns = event.time_ns + int(NO_NEW_WORK_AFTER_S * _NANOSECONDS)
        late = [
            entry
            for entry in history.members
            if entry.member == event.target
            and entry.connection
            and entry.user not in INTERNAL_USERS
            and entry.time_ns > limit_ns
            and (end is None or entry.time_ns < end.time_ns)
        ]
        if late:
            detail = f"{len(late)} statements, the first being {late[0].statement!r}"
            violations.append(Violation(LEAVING_MEMBER, event.target, detail))
    return violations
