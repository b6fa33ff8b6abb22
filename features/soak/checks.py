"""What must hold whatever strikes, judged by what clients and members have seen."""

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
    NOTHING_KEPT,
    Asked,
    ClientRecord,
)
from features.soak.process_history import GRACE_S, Lives
from features.support.line_platform.group import StandInGroup

SHOWN = 5
UNANSWERED_SLACK_S = 0.2
LIFE_LOOK_S = 0.5
"""The end of a process is noticed so much later at most."""
WINDOW_S, OVERSHOOT, SLACK = 5.0, 0.1, 20
"""Within any window so long, a limit may be exceeded by this share and so many operations."""

OVER_LIMIT = "LD3017"
MODEST_SHARE = 0.5
"""A tenant that asked for so much of its limit in a window is well within it."""
TURNED_AWAY_SLACK = 0.05
FEWEST_COMPARED = 50
"""Shares of fewer statements than that say little."""
COMPARED_SPAN_S = 0.5
FEWEST_IN_SPAN = 3


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken."""

    promise: str
    detail: str

    def __str__(self) -> str:
        return f"{self.promise}: {self.detail}"


def check_stops(
    records: Iterable[ClientRecord], group: StandInGroup, lives: Lives
) -> list[Violation]:
    """Return what processes broke that were told to stop, or were left alone."""
    ran = {run.request_id for run in group.runs}
    return [*_answered_whole(records, ran, lives), *_ended_in_time(lives)]


def _answered_whole(
    records: Iterable[ClientRecord], ran: set[str], lives: Lives
) -> list[Violation]:
    """Check that what a proxy took was answered, unless its process was struck.

    What reached it as its connection ended may be unanswered: nobody ran it, and its client
    learned at once.
    """
    found = []
    for asked in (asked for record in records for asked in record.asks if not asked.is_answered):
        life = lives.at(asked.ip, asked.sent_at)
        if life is None or life.was_struck(asked.sent_at - GRACE_S, asked.ended_at):
            continue
        held_s = asked.ended_at - asked.sent_at
        if asked.request_id in ran or held_s > UNANSWERED_SLACK_S:
            since_stop_s = asked.sent_at - life.stopped_at
            found.append(f"{asked.request_id} at {asked.ip}, {since_stop_s:.3f} s after the stop")
    return [Violation("a statement that is taken is answered whole", text) for text in found]


def _ended_in_time(lives: Lives) -> list[Violation]:
    found = []
    for life in lives.all:
        if life.status is None or life.was_struck(life.started_at, life.ended_at):
            continue
        if -life.status in life.unready_for:
            continue
        took_s = life.ended_at - life.stopped_at
        if took_s > GRACE_S + LIFE_LOOK_S or life.status != 0:
            found.append(f"{life.ip} ended with {life.status}, {took_s:.2f} s after the stop")
    return [Violation("a process that is told to stop ends with 0 in its time", t) for t in found]


def check(
    records: Iterable[ClientRecord],
    group: StandInGroup,
    healed_at: float,
    may_end_early: Iterable[ClientRecord] = (),
) -> list[Violation]:
    """Return all broken promises.

    :param healed_at: when all faults had ended for long enough; each client must be served later
    :param may_end_early: clients that leave before that, among the records
    """
    records = list(records)
    early = {record.name for record in may_end_early}
    commits = [commit for member in group.members.values() for commit in member.log.commits]
    kept = {commit.request_id for commit in commits} - group.rolled_back
    return [
        *_asked_only(records, group),
        *_for_its_tenant(records, group),
        *_within_limits(records, group),
        *_once(group),
        *_refused_is_not_kept(records, kept),
        *_acknowledged_is_kept(records, group, kept),
        *_own_work_is_seen(records, group),
        *_recovered([record for record in records if record.name not in early], healed_at),
    ]


def check_load(records: Iterable[ClientRecord]) -> list[Violation]:
    """Return what was broken for those who were not the cause of a wave of load."""
    records = list(records)
    return [*_modest_is_served(records), *_urgent_goes_first(records)]


def _modest_is_served(records: list[ClientRecord]) -> list[Violation]:
    """Check that no tenant that asks for little is told that its limit is used up."""
    asks = [asked for record in records if record.tenant == MODEST for asked in record.asks]
    moments = sorted(asked.sent_at for asked in asks)
    little = MODEST_SHARE * (MODEST.rate * WINDOW_S + BURST)
    found = []
    for asked in (asked for asked in asks if asked.code == OVER_LIMIT):
        first = bisect.bisect_left(moments, asked.sent_at - WINDOW_S)
        count = bisect.bisect_right(moments, asked.sent_at) - first
        if count <= little:
            found.append(f"{asked.request_id} was the {count}th in {WINDOW_S} s")
    return [Violation("a tenant within its limit is not refused for it", t) for t in found[:SHOWN]]


def _urgent_goes_first(records: list[ClientRecord]) -> list[Violation]:
    """Check that waiting statements of the urgent database are turned away no more often.

    Only spans in which both were asked for are compared: faults strike at other times too. Refusals
    over a tenant's limit say nothing of the order.
    """
    urgent = _by_span(records, DATABASE)
    batch = _by_span(records, BATCH_DATABASE)
    common = [span for span in urgent if span in batch]
    urgent_share = _turned_away_share([asked for span in common for asked in urgent[span]])
    batch_share = _turned_away_share([asked for span in common for asked in batch[span]])
    if urgent_share is None or batch_share is None:
        return []
    if urgent_share <= batch_share + TURNED_AWAY_SLACK:
        return []
    detail = f"{urgent_share:.3f} of the urgent ones, {batch_share:.3f} of the others"
    return [Violation("urgent statements are turned away no more than others", detail)]


def _by_span(records: list[ClientRecord], database: str) -> dict[int, list[Asked]]:
    """Return what was asked of a database by span, but for what was over a limit."""
    asks: dict[int, list[Asked]] = {}
    for asked in (a for record in records if record.database == database for a in record.asks):
        if asked.code != OVER_LIMIT:
            asks.setdefault(int(asked.sent_at / COMPARED_SPAN_S), []).append(asked)
    return {span: asked for span, asked in asks.items() if len(asked) >= FEWEST_IN_SPAN}


def _turned_away_share(asks: list[Asked]) -> float | None:
    """Return the share that was told that it did not run; None of too few."""
    if len(asks) < FEWEST_COMPARED:
        return None
    return sum(asked.words[0] in NOTHING_KEPT for asked in asks) / len(asks)


def _asked_only(records: list[ClientRecord], group: StandInGroup) -> list[Violation]:
    asked = set().union(*(record.asked for record in records))
    foreign = {run.request_id for run in group.runs} - asked
    return [Violation("members run only what was asked", name) for name in sorted(foreign)[:SHOWN]]


def _for_its_tenant(records: list[ClientRecord], group: StandInGroup) -> list[Violation]:
    tenants = {name: record.tenant.name for record in records for name in record.asked}
    found = [
        f"{run.request_id} ran for {run.tenant}"
        for run in group.runs
        if run.tenant != tenants.get(run.request_id, run.tenant)
    ]
    return [Violation("members run a statement for its tenant", text) for text in found[:SHOWN]]


def _within_limits(records: list[ClientRecord], group: StandInGroup) -> list[Violation]:
    """Count operations by the request that began them, in each window that begins with one."""
    found = []
    for tenant in {record.tenant for record in records if record.tenant.rate}:
        began = {}
        for run in group.runs:
            if run.tenant == tenant.name and run.text != "COMMIT":
                began.setdefault(run.request_id, run.at)
        moments = sorted(began.values())
        allowed = (tenant.rate * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK
        for first, moment in enumerate(moments):
            count = bisect.bisect_right(moments, moment + WINDOW_S) - first
            if count > allowed:
                found.append(f"{count} of {tenant.name} in {WINDOW_S} s, {allowed:.0f} allowed")
    return [Violation("a tenant keeps within its limit", text) for text in found[:SHOWN]]


def _once(group: StandInGroup) -> list[Violation]:
    found = []
    for member in group.members.values():
        times = Counter(commit.request_id for commit in member.log.commits)
        found += [name for name, count in times.items() if count > 1]
    return [Violation("a write takes effect once", name) for name in sorted(set(found))[:SHOWN]]


def _refused_is_not_kept(records: list[ClientRecord], kept: set[str]) -> list[Violation]:
    found = [
        f"{write.request_id} {write.word}"
        for record in records
        for write in record.writes
        if write.word in NOTHING_KEPT and write.request_id in kept
    ]
    return [Violation("what was refused is not kept", text) for text in found[:SHOWN]]


def _acknowledged_is_kept(
    records: list[ClientRecord], group: StandInGroup, kept: set[str]
) -> list[Violation]:
    found = [
        write.request_id
        for record in records
        for write in record.writes
        if write.word == "done" and write.request_id not in kept | group.rolled_back
    ]
    return [Violation("what was acknowledged was committed", name) for name in found[:SHOWN]]


def _own_work_is_seen(records: list[ClientRecord], group: StandInGroup) -> list[Violation]:
    """Check reads of clients none of whose commits a promotion rolled back."""
    found = []
    for record in records:
        if any(write.request_id in group.rolled_back for write in record.writes):
            continue
        found += [
            f"{read.request_id} read {read.value}, not of {sorted(read.allowed)}"
            for read in record.reads
            if read.value not in read.allowed
        ]
    return [Violation("a session sees its own work", text) for text in found[:SHOWN]]


def _recovered(records: list[ClientRecord], healed_at: float) -> list[Violation]:
    return [
        Violation("service comes back", f"{record.name} was not served after the faults")
        for record in records
        if not record.served or record.served[-1] < healed_at
    ]
