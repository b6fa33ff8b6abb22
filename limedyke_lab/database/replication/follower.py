"""Replica side of replication: verifies, stores and applies the primary's records."""

from __future__ import annotations

import random
import time
from collections import deque
from dataclasses import dataclass

import curio

from limedyke.event_log import EventLog
from limedyke_lab.database.errors import SqlError
from limedyke_lab.database.member import Member, Role
from limedyke_lab.database.member_session import MemberSession
from limedyke_lab.database.replication.log import split_records
from limedyke_lab.database.replication.positions import format_position
from limedyke_lab.database.replication.promise import Promise
from limedyke_lab.database.replication.replication_messages import Answer, Append, AppendReply

_APPLY_BATCH_RECORDS = 100
_IDLE_SECONDS = 1.0
_FROZEN_POLL_SECONDS = 0.02
_MILLISECONDS = 1000.0

_events = EventLog("database")


def _rebuilt_error() -> SqlError:
    message = "terminating connection: this member is being rebuilt after a change of primary"
    return SqlError("57P01", message, fatal=True)


@dataclass(frozen=True, slots=True)
class _CommittedAt:
    """A committed position, when it was learned, and its share of the jitter (0..1)."""

    position: int
    learned_seconds: float
    jitter: float


class Follower:
    """Handles appends from the primary and applies committed records."""

    def __init__(self, member: Member) -> None:
        self._member = member
        self._due: deque[_CommittedAt] = deque()
        self._changed = curio.Event()
        self._slope_since = time.monotonic()
        self._evicted: list[MemberSession] = []
        self._random = random.Random(member.options.seed)

    async def accept(self, append: Append) -> AppendReply:
        """Check the term, verify and store the records, and update the commit position."""
        member = self._member
        refusal = self._refusal(append)
        if refusal is not None:
            return refusal
        was_leading = self._follow(append)
        reply = self._verify_and_store(append)
        if was_leading:
            await member.notify_leadership_ended()
        evicted, self._evicted = self._evicted, []
        for session in evicted:
            await session.terminate(_rebuilt_error())
        await self._changed.set()
        return reply

    def _verify_and_store(self, append: Append) -> AppendReply:
        """Verify and store the records; does not await, so no task sees a partial change."""
        member = self._member
        if member.log.term_at(append.previous_position) != append.previous_term:
            position = self._position_to_try(append.previous_position)
            return AppendReply(Answer.MISMATCH, append.term, position)
        self._store(append)
        matched = append.previous_position + len(append.data)
        self._note_committed(min(append.committed, matched))
        if min(matched, member.committed) >= member.applied:
            member.verified_term = append.term
        return AppendReply(Answer.ACCEPTED, append.term, matched)

    def _refusal(self, append: Append) -> AppendReply | None:
        """Return a refusal for a lower term or a second primary of the same term, else None."""
        promise = self._member.promise_file.current
        if append.term < promise.term:
            return AppendReply(Answer.REFUSED, promise.term, 0)
        is_second = append.term == promise.term and promise.primary not in ("", append.primary)
        if is_second:
            _events.error(
                "replication.second_primary",
                member=self._member.name,
                term=append.term,
                followed=promise.primary,
                refused=append.primary,
            )
            return AppendReply(Answer.REFUSED, promise.term, 0)
        return None

    def _follow(self, append: Append) -> bool:
        """Follow the primary of this term; return True if the member was leading until now."""
        member = self._member
        promise = member.promise_file.current
        if promise.term != append.term or promise.primary != append.primary:
            promoter = promise.promoter if promise.term == append.term else ""
            member.promise_file.store(Promise(append.term, promoter, append.primary))
        if member.role is Role.REPLICA:
            return False
        was_leading = member.is_leading
        member.stop_leading()
        member.role = Role.REPLICA
        _events.info(
            "replica.follows", member=member.name, term=append.term, primary=append.primary
        )
        return was_leading

    def _position_to_try(self, position: int) -> int:
        """Return the end of the last record before a conflicting term, or the end of the log."""
        log = self._member.log
        if position > log.end:
            return log.end
        position = log.boundary_before(position)
        conflicting_term = log.term_at(position)
        while position > 0 and log.term_at(position) == conflicting_term:
            position = log.boundary_before(position)
        return position

    def _store(self, append: Append) -> None:
        """Skip records already stored, truncate a divergent tail, and append the rest."""
        log = self._member.log
        start = append.previous_position
        for entry in split_records(append.data, start):
            end = min(entry.position, log.end)
            offset = start - append.previous_position
            held = log.read(start, end)
            if held != append.data[offset : offset + entry.position - start]:
                break
            start = entry.position
        remaining = append.data[start - append.previous_position :]
        if not remaining:
            return
        if log.end > start:
            self._cut_tail(start, append.term)
        log.append(remaining, sync_fails=self._member.switches.fail_fsync)

    def _cut_tail(self, position: int, term: int) -> None:
        """Truncate the log; rebuild SQLite if it had applied truncated records."""
        member = self._member
        _events.warning(
            "log.truncated",
            member=member.name,
            position=format_position(position),
            end=format_position(member.log.end),
        )
        cut_applied = position < member.applied
        member.log.truncate(position)
        member.committed = min(member.committed, position)
        self._due.clear()
        member.history.add("truncate", "", term=term, position=format_position(position))
        if cut_applied:
            self._rebuild()

    def _rebuild(self) -> None:
        """Replay the log into a new SQLite file; sessions on the old file are terminated."""
        member = self._member
        member.verified_term = 0
        self._evicted = list(member.sessions.values())
        for session in self._evicted:
            session.discard_sqlite(_rebuilt_error())
        member.engine.rebuild(member.log.records(0, member.committed))
        member.applied = member.committed
        _events.info(
            "replica.rebuilt", member=member.name, position=format_position(member.applied)
        )

    # ----- applying with a lag -----

    def _note_committed(self, position: int) -> None:
        member = self._member
        if position <= member.committed:
            return
        member.committed = position
        entry = _CommittedAt(position, time.monotonic(), self._random.random())
        self._due.append(entry)

    def lag_changed(self) -> None:
        """Restart the slope of the lag."""
        self._slope_since = time.monotonic()

    async def wake(self) -> None:
        """Wake the applier to re-evaluate the queue."""
        await self._changed.set()

    def _due_at(self, entry: _CommittedAt) -> float:
        switches = self._member.switches
        lag_ms = switches.lag_ms + switches.lag_jitter_ms * entry.jitter
        if switches.lag_slope_ms_per_s:
            lag_ms += switches.lag_slope_ms_per_s * (entry.learned_seconds - self._slope_since)
        return entry.learned_seconds + lag_ms / _MILLISECONDS

    def _due_position(self) -> tuple[int, float]:
        """Return the position to apply now, and seconds until more is due."""
        now = time.monotonic()
        position = 0
        while self._due:
            wait_seconds = self._due_at(self._due[0]) - now
            if wait_seconds > 0:
                return position, min(wait_seconds, _IDLE_SECONDS)
            position = self._due.popleft().position
        return position, _IDLE_SECONDS

    async def run_applier(self) -> None:
        """Apply committed records as they become due; runs until cancelled."""
        member = self._member
        target = 0
        while True:
            if member.switches.freeze_apply or member.is_leading:
                await curio.sleep(_FROZEN_POLL_SECONDS)
                continue
            self._changed.clear()
            position, wait_seconds = self._due_position()
            target = min(max(target, position), member.committed)
            if target > member.applied:
                member.apply_until(target, _APPLY_BATCH_RECORDS)
                await curio.sleep(0)
                continue
            await curio.ignore_after(wait_seconds, self._changed.wait)
