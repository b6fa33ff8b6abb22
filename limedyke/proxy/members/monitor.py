"""Monitors the members of a group from a home proxy and reports changes to the controllers."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio
from result import Err, Ok, Result

from limedyke.core.group_view import GroupView, MemberState
from limedyke.core.member_health import HealthTiming, MemberHealthJudge
from limedyke.event_log import EventLog
from limedyke.messages.control import MemberHealth, MemberReport
from limedyke.messages.work import LogPosition
from limedyke.postgres.member_frames import PositionAnswer
from limedyke.proxy.members.probe import MemberProbe, is_overload, is_silence
from limedyke.result_codes import Failure, ResultCode

STALLED_REQUEST_S = 0.1
"""A member is probed when its requests have made no progress for this long."""
CONFIRM_TIMEOUT_S = 2.0
MAXIMUM_PROBES = 3
"""Limit of unanswered probes of a member, and of its unanswered leadership queries."""
PROBE_TIMEOUT_FACTOR = 2.0
"""Probe timeout as a multiple of the silence limit; late answers still show a live member."""

_log = EventLog("monitor")

Report = Callable[[MemberReport], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class _Reported:
    """The last state of a member that was reported to the controllers.

    :param recorded_term: term for which the member was recorded as primary at that time, else 0.
        The leader discards a member's reports when it records the member as primary.  A change
        of this term therefore triggers a new report, even if the member is a replica as before.
    """

    health: MemberHealth
    term: int
    is_primary: bool
    recorded_term: int


class _MonitoredMember:
    """One monitored member.

    :ivar pending_probes: number of probes that the probing tasks have yet to send
    :ivar probes_in_flight: probes without an answer yet
    :ivar confirmations_in_flight: queries of leadership rounds without an answer yet
    :ivar tasks: the judging task and the probing tasks, all started together
    """

    def __init__(self, probe: MemberProbe, judge: MemberHealthJudge) -> None:
        self.probe = probe
        self.judge = judge
        self.wake = curio.Event()
        self.pending_probes = curio.Semaphore(0)
        self.reported: _Reported | None = None
        self.probes_in_flight = 0
        self.confirmations_in_flight = 0
        self.tasks: list[curio.Task] = []


class _ConfirmRound:
    """One leadership check of the primary, shared by all callers that wait for it."""

    def __init__(self) -> None:
        self.done = curio.Event()
        self.result: Result[LogPosition, Failure] = Err(Failure(ResultCode.NO_PRIMARY))


def _is_stalled(state: MemberState, now: float) -> bool:
    return state.outstanding > 0 and now - state.progress_at > STALLED_REQUEST_S


class MemberMonitor:
    """Probes the members of one group.

    :param report: sends a changed member state to the controllers
    :param on_change: called when the health of a member changed
    """

    def __init__(
        self,
        view: GroupView,
        timing: HealthTiming,
        report: Report,
        on_change: Callable[[str, MemberHealth], Awaitable[None]],
    ) -> None:
        self._view = view
        self._timing = timing
        self._report = report
        self._on_change = on_change
        self._members: dict[str, _MonitoredMember] = {}
        self._next_round: _ConfirmRound | None = None
        self._round_running = False

    async def set_members(self, probes: dict[str, MemberProbe]) -> None:
        """Monitor exactly these members; stop monitoring all others."""
        for name in list(self._members):
            known = self._members[name].probe.endpoint
            if name not in probes or probes[name].endpoint != known:
                await self._stop(self._members.pop(name))
        for name, probe in probes.items():
            if name not in self._members:
                judge = MemberHealthJudge(self._timing, time.monotonic())
                member = self._members[name] = _MonitoredMember(probe, judge)
                await self._start(name, member)

    async def _start(self, name: str, member: _MonitoredMember) -> None:
        """Start all tasks of a monitored member.

        The probing tasks live until the member is no longer monitored.  With one task per probe, a
        task could be spawned while the kernel cancels all others at shutdown, and be left running.
        """
        member.tasks = [await curio.spawn(self._run, name, member, daemon=True)]
        for _ in range(MAXIMUM_PROBES):
            member.tasks.append(await curio.spawn(self._send_probes, name, member, daemon=True))

    async def _stop(self, member: _MonitoredMember) -> None:
        for task in member.tasks:
            await task.cancel()
        await member.probe.close()

    def probes(self) -> dict[str, MemberProbe]:
        """Return the probes of the monitored members, with their kept connections."""
        return {name: member.probe for name, member in self._members.items()}

    async def close(self) -> None:
        """Stop monitoring all members."""
        await self.set_members({})

    async def request_failed(self, name: str) -> None:
        """Record a failed request to a member, and probe it at once."""
        member = self._members.get(name)
        if member is not None:
            member.judge.disturbed(time.monotonic())
            await member.wake.set()

    async def _run(self, name: str, member: _MonitoredMember) -> None:
        while True:
            now = time.monotonic()
            self._count_request_answer(name, member, now)
            if member.judge.wants_probe(now) and member.probes_in_flight < MAXIMUM_PROBES:
                member.judge.probe_sent(now)
                member.probes_in_flight += 1
                await member.pending_probes.release()
            member.judge.tick(now)
            await self._publish(name, member)
            member.wake.clear()
            wait_s = member.judge.wait_s(now)
            await curio.ignore_after(max(wait_s, 0.001), member.wake.wait)

    async def probe_stalled_members(self) -> None:
        """Probe each member whose requests get no answers.

        One periodic task of the proxy calls this for all groups, because a timer for each member
        would cost more than its probes.
        """
        now = time.monotonic()
        for name, member in self._members.items():
            state = self._view.members.get(name)
            if state is not None and _is_stalled(state, now) and not member.judge.outstanding:
                member.judge.disturbed(now)
                await member.wake.set()

    def _count_request_answer(self, name: str, member: _MonitoredMember, now: float) -> None:
        """Count a request that was answered while probes got no answer as an answered probe."""
        state = self._view.members.get(name)
        silent_since = member.judge.silent_since
        if state is not None and silent_since is not None and state.seen_at > silent_since:
            member.judge.answered(now)

    async def _send_probes(self, name: str, member: _MonitoredMember) -> None:
        while True:
            await member.pending_probes.acquire()
            try:
                await self._probe(name, member)
            except OSError as error:
                _log.warning("probe-failed", member=name, reason=error)
            finally:
                member.probes_in_flight -= 1
            await member.wake.set()

    async def _probe(self, name: str, member: _MonitoredMember) -> None:
        asked_at = time.monotonic()
        result = await member.probe.ask(PROBE_TIMEOUT_FACTOR * member.judge.silence_limit_s)
        now = time.monotonic()
        if isinstance(result, Ok):
            member.judge.take_role(result.ok_value.position.is_replica)
            member.judge.answered(now, result.ok_value.round_trip_s)
            self._observe(name, result.ok_value.position, asked_at)
            state = self._view.members.get(name)
            if state is not None and result.ok_value.round_trip_s:
                state.answered_in(result.ok_value.round_trip_s)
        elif is_overload(result.err_value):
            member.judge.overloaded(now)
        elif not is_silence(result.err_value):
            self._view.restarted(name)
            member.judge.refused(now)

    def _observe(self, name: str, answer: PositionAnswer, asked_at: float) -> None:
        now = time.monotonic()
        self._view.observed(name, answer.place, answer.is_replica, asked_at, now)

    async def _publish(self, name: str, member: _MonitoredMember) -> None:
        """Report the member when its health, term, role or recorded term changed."""
        state = self._view.members.get(name)
        if state is None or not member.judge.judged:
            return
        health = member.judge.health
        is_primary = state.is_replica is False
        known_term = member.reported.term if member.reported is not None else 0
        term = state.place.term or known_term
        recorded_term = self._view.term if self._view.primary == name else 0
        present = _Reported(health, term, is_primary, recorded_term)
        if present == member.reported:
            return
        changed = member.reported is None or member.reported.health is not health
        member.reported = present
        state.health = health
        if changed:
            _log.info("member-health", group=self._view.name, member=name, health=health)
            await self._on_change(name, health)
        report = MemberReport(self._view.name, name, health, term, state.place.position, is_primary)
        await self._report(report)

    async def confirm_primary(self) -> Result[LogPosition, Failure]:
        """Verify that the recorded primary leads, and return its current position.

        All members are queried after this call.  A commit under a higher term needs a
        majority, and each member of it reports that term from then on.  While a
        majority reports the recorded term, no commit under a higher term has been
        acknowledged.  Calls made during a round share the next round.
        """
        self._next_round = self._next_round or _ConfirmRound()
        shared = self._next_round
        if not self._round_running:
            await self._run_rounds()
        await shared.done.wait()
        return shared.result

    async def _run_rounds(self) -> None:
        """Run rounds while callers wait, in a separate task that a cancelled caller can't end."""
        self._round_running = True
        await curio.spawn(self._run_rounds_in_task, daemon=True)

    async def _run_rounds_in_task(self) -> None:
        try:
            while self._next_round is not None:
                present, self._next_round = self._next_round, None
                present.result = await self._confirm()
                await present.done.set()
        finally:
            self._round_running = False

    async def _confirm(self) -> Result[LogPosition, Failure]:
        term, primary = self._view.term, self._view.primary
        if not primary:
            return Err(Failure(ResultCode.NO_PRIMARY, "no primary is recorded"))
        asked_at = time.monotonic()
        answers: dict[str, PositionAnswer] = {}
        changed = curio.Event()
        for name, member in self._members.items():
            if member.confirmations_in_flight < MAXIMUM_PROBES:
                await curio.spawn(self._ask, name, member, answers, changed, daemon=True)
        while not self._is_confirmed(answers, term, primary):
            left = asked_at + CONFIRM_TIMEOUT_S - time.monotonic()
            if left <= 0:
                return Err(Failure(ResultCode.NO_PRIMARY, "no majority confirms the primary"))
            await curio.ignore_after(left, changed.wait)
            changed.clear()
        place = answers[primary].place
        self._view.primary_confirmed(term, place.position, asked_at)
        return Ok(place)

    async def _ask(
        self,
        name: str,
        member: _MonitoredMember,
        answers: dict[str, PositionAnswer],
        changed: curio.Event,
    ) -> None:
        """Query one member for a round."""
        asked_at = time.monotonic()
        member.confirmations_in_flight += 1
        try:
            result = await member.probe.ask()
        finally:
            member.confirmations_in_flight -= 1
        if isinstance(result, Ok):
            answers[name] = result.ok_value.position
            self._observe(name, result.ok_value.position, asked_at)
            await changed.set()

    def _is_confirmed(self, answers: dict[str, PositionAnswer], term: int, primary: str) -> bool:
        leader = answers.get(primary)
        if leader is None or leader.is_replica or leader.place.term != term:
            return False
        agreeing = sum(1 for answer in answers.values() if answer.place.term == term)
        return agreeing >= self._view.majority
