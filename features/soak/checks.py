"""Checks the guarantees that hold under faults, from the records of clients and members."""

from __future__ import annotations

import bisect
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from features.soak.load import (
    BATCH_DATABASE,
    BURST,
    DATABASE,
    MODEST,
    NOT_APPLIED_WORDS,
    ClientRecord,
    StatementResult,
)
from features.soak.process_history import GRACE_S, ProcessHistory
from features.support.line_platform.group import StandInGroup

MAX_REPORTED = 5
UNANSWERED_SLACK_S = 0.2
EXIT_POLL_S = 0.5
"""Upper bound of the delay, in seconds, with which the soak notices that a process exited."""
WINDOW_S, LIMIT_TOLERANCE, LIMIT_SLACK_OPERATIONS = 5.0, 0.1, 20
"""In any window of 5 s, a tenant may exceed its limit by 10 % plus 20 operations."""

OVER_LIMIT_CODE = "LD3017"
MODEST_SHARE = 0.5
"""Share of its limit up to which a tenant counts as well within it, per window."""
REFUSED_SHARE_TOLERANCE = 0.05
MIN_COMPARED_STATEMENTS = 50
"""Fewest statements for which a share of refusals is meaningful."""
SPAN_S = 0.5
MIN_STATEMENTS_IN_SPAN = 3


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise, with what was observed."""

    promise: str
    detail: str

    def __str__(self) -> str:
        return f"{self.promise}: {self.detail}"


def check_stops(
    records: Iterable[ClientRecord], group: StandInGroup, history: ProcessHistory
) -> list[Violation]:
    """Check processes that were told to stop, or that no fault disturbed."""
    ran = {run.request_id for run in group.runs}
    return [*_check_answered(records, ran, history), *_check_exits(history)]


def _check_answered(
    records: Iterable[ClientRecord], ran: set[str], history: ProcessHistory
) -> list[Violation]:
    """Check that a proxy answered each statement that it accepted, unless a fault disturbed it.

    A statement that arrives while its connection closes may stay unanswered: no member ran it, and
    its client sees the close at once.
    """
    found = []
    for statement in (
        statement
        for record in records
        for statement in record.statements
        if not statement.is_answered
    ):
        process = history.find(statement.ip, statement.sent_at)
        if process is None or process.was_disturbed(
            statement.sent_at - GRACE_S, statement.ended_at
        ):
            continue
        held_s = statement.ended_at - statement.sent_at
        if statement.request_id in ran or held_s > UNANSWERED_SLACK_S:
            since_stop_s = statement.sent_at - process.stopped_at
            found.append(
                f"{statement.request_id} at {statement.ip}, {since_stop_s:.3f} s after the stop"
            )
    return [Violation("a statement that is taken is answered whole", text) for text in found]


def _check_exits(history: ProcessHistory) -> list[Violation]:
    found = []
    for process in history.processes:
        if process.status is None or process.was_disturbed(process.started_at, process.ended_at):
            continue
        if -process.status in process.unhandled_signals:
            continue
        took_s = process.ended_at - process.stopped_at
        if took_s > GRACE_S + EXIT_POLL_S or process.status != 0:
            found.append(f"{process.ip} ended with {process.status}, {took_s:.2f} s after the stop")
    return [Violation("a process that is told to stop ends with 0 in its time", t) for t in found]


def check(
    records: Iterable[ClientRecord],
    group: StandInGroup,
    healed_at: float,
    short_lived: Iterable[ClientRecord] = (),
) -> list[Violation]:
    """Return all broken promises.

    :param healed_at: end of the recovery time after the last fault; each client must be served
        after it
    :param short_lived: those of the records whose clients leave before ``healed_at``
    """
    records = list(records)
    early = {record.name for record in short_lived}
    commits = [commit for member in group.members.values() for commit in member.log.commits]
    kept = {commit.request_id for commit in commits} - group.rolled_back
    return [
        *_check_requested_only(records, group),
        *_check_tenants(records, group),
        *_check_limits(records, group),
        *_check_committed_once(group),
        *_check_refused_writes(records, kept),
        *_check_acknowledged_writes(records, group, kept),
        *_check_reads(records, group),
        *_check_recovery([record for record in records if record.name not in early], healed_at),
    ]


def check_synchronous(records: Iterable[ClientRecord], group: StandInGroup) -> list[Violation]:
    """Check that a change of primary loses no commit that a client knows to be kept.

    Only a group whose commits wait for replicas promises this.
    """
    if not group.synchronous_replicas:
        return []
    lost = [
        write.request_id
        for record in records
        for write in record.writes
        if write.word == "done" and write.request_id in group.rolled_back
    ]
    return [
        Violation("an acknowledged commit survives a change of primary", name)
        for name in lost[:MAX_REPORTED]
    ]


def check_load(records: Iterable[ClientRecord]) -> list[Violation]:
    """Check that a wave of load harms no client that did not cause it."""
    records = list(records)
    return [*_check_modest_tenant(records), *_check_priorities(records)]


def _check_modest_tenant(records: list[ClientRecord]) -> list[Violation]:
    """Check that the modest tenant, well within its limit, is never refused as over its limit."""
    statements = [
        statement
        for record in records
        if record.tenant == MODEST
        for statement in record.statements
    ]
    times = sorted(statement.sent_at for statement in statements)
    max_count = MODEST_SHARE * (MODEST.rate * WINDOW_S + BURST)
    found = []
    for statement in (statement for statement in statements if statement.code == OVER_LIMIT_CODE):
        first = bisect.bisect_left(times, statement.sent_at - WINDOW_S)
        count = bisect.bisect_right(times, statement.sent_at) - first
        if count <= max_count:
            found.append(f"{statement.request_id} was the {count}th in {WINDOW_S} s")
    return [
        Violation("a tenant within its limit is not refused for it", t)
        for t in found[:MAX_REPORTED]
    ]


def _check_priorities(records: list[ClientRecord]) -> list[Violation]:
    """Check that urgent statements are refused no more often than those of the batch database.

    Only time spans with statements for both databases are compared, because faults cause refusals
    at other times too. Refusals over a tenant's limit don't depend on priority and are left out.
    """
    urgent = _group_by_span(records, DATABASE)
    batch = _group_by_span(records, BATCH_DATABASE)
    common = [span for span in urgent if span in batch]
    urgent_share = _refused_share([statement for span in common for statement in urgent[span]])
    batch_share = _refused_share([statement for span in common for statement in batch[span]])
    if urgent_share is None or batch_share is None:
        return []
    if urgent_share <= batch_share + REFUSED_SHARE_TOLERANCE:
        return []
    detail = f"{urgent_share:.3f} of the urgent ones, {batch_share:.3f} of the others"
    return [Violation("urgent statements are turned away no more than others", detail)]


def _group_by_span(records: list[ClientRecord], database: str) -> dict[int, list[StatementResult]]:
    """Group the statements for a database by time span, without those refused over a limit."""
    statements: dict[int, list[StatementResult]] = {}
    for statement in (
        a for record in records if record.database == database for a in record.statements
    ):
        if statement.code != OVER_LIMIT_CODE:
            statements.setdefault(int(statement.sent_at / SPAN_S), []).append(statement)
    return {
        span: in_span
        for span, in_span in statements.items()
        if len(in_span) >= MIN_STATEMENTS_IN_SPAN
    }


def _refused_share(statements: list[StatementResult]) -> float | None:
    """Return the share of statements that were refused unrun; None when there are too few."""
    if len(statements) < MIN_COMPARED_STATEMENTS:
        return None
    return sum(statement.words[0] in NOT_APPLIED_WORDS for statement in statements) / len(
        statements
    )


def _check_requested_only(records: list[ClientRecord], group: StandInGroup) -> list[Violation]:
    requested = set().union(*(record.request_ids for record in records))
    foreign = {run.request_id for run in group.runs} - requested
    return [
        Violation("members run only what was asked", name)
        for name in sorted(foreign)[:MAX_REPORTED]
    ]


def _check_tenants(records: list[ClientRecord], group: StandInGroup) -> list[Violation]:
    tenants = {name: record.tenant.name for record in records for name in record.request_ids}
    found = [
        f"{run.request_id} ran for {run.tenant}"
        for run in group.runs
        if run.tenant != tenants.get(run.request_id, run.tenant)
    ]
    return [
        Violation("members run a statement for its tenant", text) for text in found[:MAX_REPORTED]
    ]


def _check_limits(records: list[ClientRecord], group: StandInGroup) -> list[Violation]:
    """Check each window that starts with an operation; a request counts when it first runs."""
    found = []
    for tenant in {record.tenant for record in records if record.tenant.rate}:
        start_times = {}
        for run in group.runs:
            if run.tenant == tenant.name and run.text != "COMMIT":
                start_times.setdefault(run.request_id, run.at)
        times = sorted(start_times.values())
        allowed = (tenant.rate * WINDOW_S + BURST) * (1 + LIMIT_TOLERANCE) + LIMIT_SLACK_OPERATIONS
        for first, moment in enumerate(times):
            count = bisect.bisect_right(times, moment + WINDOW_S) - first
            if count > allowed:
                found.append(f"{count} of {tenant.name} in {WINDOW_S} s, {allowed:.0f} allowed")
    return [Violation("a tenant keeps within its limit", text) for text in found[:MAX_REPORTED]]


def _check_committed_once(group: StandInGroup) -> list[Violation]:
    found = []
    for member in group.members.values():
        times = Counter(commit.request_id for commit in member.log.commits)
        found += [name for name, count in times.items() if count > 1]
    return [
        Violation("a write takes effect once", name) for name in sorted(set(found))[:MAX_REPORTED]
    ]


def _check_refused_writes(records: list[ClientRecord], kept: set[str]) -> list[Violation]:
    found = [
        f"{write.request_id} {write.word}"
        for record in records
        for write in record.writes
        if write.word in NOT_APPLIED_WORDS and write.request_id in kept
    ]
    return [Violation("what was refused is not kept", text) for text in found[:MAX_REPORTED]]


def _check_acknowledged_writes(
    records: list[ClientRecord], group: StandInGroup, kept: set[str]
) -> list[Violation]:
    found = [
        write.request_id
        for record in records
        for write in record.writes
        if write.word == "done" and write.request_id not in kept | group.rolled_back
    ]
    return [Violation("what was acknowledged was committed", name) for name in found[:MAX_REPORTED]]


def _check_reads(records: list[ClientRecord], group: StandInGroup) -> list[Violation]:
    """Check the reads of clients that lost no commit to a promotion."""
    found = []
    for record in records:
        if any(write.request_id in group.rolled_back for write in record.writes):
            continue
        found += [
            f"{read.request_id} read {read.value}, not of {sorted(read.allowed)}"
            for read in record.reads
            if read.value not in read.allowed
        ]
    return [Violation("a session sees its own work", text) for text in found[:MAX_REPORTED]]


def _check_recovery(records: list[ClientRecord], healed_at: float) -> list[Violation]:
    return [
        Violation("service comes back", f"{record.name} was not served after the faults")
        for record in records
        if not record.served or record.served[-1] < healed_at
    ]
