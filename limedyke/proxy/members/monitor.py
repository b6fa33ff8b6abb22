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


class _Watch:
    """One monitored member.

    :ivar pending_probes: number of probes that the probing tasks have yet to send
    :ivar probes_in_flight: probes without an answer yet
    :ivar confirmations_in_flight: queries of leadership rounds without an answer yet
    :ivar tasks: the judging task and the probing tasks, all started with the watch
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
        self._watches: dict[str, _Watch] = {}
        self._next_round: _ConfirmRound | None = None
        self._round_running = False

    async def watch(self, probes: dict[str, MemberProbe]) -> None:
        """Monitor exactly these members; stop monitoring all others."""
        for name in list(self._watches):
            known = self._watches[name].probe.endpoint
            if name not in probes or probes[name].endpoint != known:
                await self._stop(self._watches.pop(name))
        for name, probe in probes.items():
            if name not in self._watches:
                judge = MemberHealthJudge(self._timing, time.monotonic())
                watch = self._watches[name] = _Watch(probe, judge)
                await self._start(name, watch)

    async def _start(self, name: str, watch: _Watch) -> None:
        """Start all tasks of a watch.

        The probing tasks live as long as the watch.  With one task per probe, a task could be
        spawned while the kernel cancels all others at shutdown, and would be left running.
        """
        watch.tasks = [await curio.spawn(self._run, name, watch, daemon=True)]
        for _ in range(MAXIMUM_PROBES):
            watch.tasks.append(await curio.spawn(self._send_probes, name, watch, daemon=True))

    async def _stop(self, watch: _Watch) -> None:
        for task in watch.tasks:
            await task.cancel()
        await watch.probe.close()

    def probes(self) -> dict[str, MemberProbe]:
        """Return the probes of the monitored members, with their kept connections."""
        return {name: watch.probe for name, watch in self._watches.items()}

    async def close(self) -> None:
        """Stop monitoring all members."""
        await self.watch({})

    async def request_failed(self, name: str) -> None:
        """Record a failed request to a member, and probe it at once."""
        watch = self._watches.get(name)
        if watch is not None:
            watch.judge.disturbed(time.monotonic())
            await watch.wake.set()

    async def _run(self, name: str, watch: _Watch) -> None:
        while True:
            now = time.monotonic()
            self._count_request_answer(name, watch, now)
            if watch.judge.wants_probe(now) and watch.probes_in_flight < MAXIMUM_PROBES:
                watch.judge.probe_sent(now)
                watch.probes_in_flight += 1
                await watch.pending_probes.release()
            watch.judge.tick(now)
            await self._publish(name, watch)
            watch.wake.clear()
            wait_s = watch.judge.wait_s(now)
            await curio.ignore_after(max(wait_s, 0.001), watch.wake.wait)

    async def probe_stalled_members(self) -> None:
        """Probe each member whose requests get no answers.

        One periodic task of the proxy calls this for all groups, because a timer for each member
        would cost more than its probes.
        """
        now = time.monotonic()
        for name, watch in self._watches.items():
            state = self._view.members.get(name)
            if state is not None and _is_stalled(state, now) and not watch.judge.outstanding:
                watch.judge.disturbed(now)
                await watch.wake.set()

    def _count_request_answer(self, name: str, watch: _Watch, now: float) -> None:
        """Count a request that was answered while probes got no answer as an answered probe."""
        state = self._view.members.get(name)
        silent_since = watch.judge.silent_since
        if state is not None and silent_since is not None and state.seen_at > silent_since:
            watch.judge.answered(now)

    async def _send_probes(self, name: str, watch: _Watch) -> None:
        while True:
            await watch.pending_probes.acquire()
            try:
                await self._probe(name, watch)
            except OSError as error:
                _log.warning("probe-failed", member=name, reason=error)
            finally:
                watch.probes_in_flight -= 1
            await watch.wake.set()

    async def _probe(self, name: str, watch: _Watch) -> None:
        asked_at = time.monotonic()
        result = await watch.probe.ask(PROBE_TIMEOUT_FACTOR * watch.judge.silence_limit_s)
        now = time.monotonic()
        if isinstance(result, Ok):
            watch.judge.take_role(result.ok_value.position.is_replica)
            watch.judge.answered(now, result.ok_value.round_trip_s)
            self._observe(name, result.ok_value.position, asked_at)
            state = self._view.members.get(name)
            if state is not None and result.ok_value.round_trip_s:
                state.answered_in(result.ok_value.round_trip_s)
        elif is_overload(result.err_value):
            watch.judge.overloaded(now)
        elif not is_silence(result.err_value):
            self._view.restarted(name)
            watch.judge.refused(now)

    def _observe(self, name: str, answer: PositionAnswer, asked_at: float) -> None:
        now = time.monotonic()
        self._view.observed(name, answer.place, answer.is_replica, asked_at, now)

    async def _publish(self, name: str, watch: _Watch) -> None:
        """Report the member when its health, term, role or recorded term changed."""
        state = self._view.members.get(name)
        if state is None or not watch.judge.judged:
            return
        health = watch.judge.health
        is_primary = state.is_replica is False
        known_term = watch.reported.term if watch.reported is not None else 0
        term = state.place.term or known_term
        recorded_term = self._view.term if self._view.primary == name else 0
        present = _Reported(health, term, is_primary, recorded_term)
        if present == watch.reported:
            return
        changed = watch.reported is None or watch.reported.health is not health
        watch.reported = present
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
        for name, watch in self._watches.items():
            if watch.confirmations_in_flight < MAXIMUM_PROBES:
                await curio.spawn(self._ask, name, watch, answers, changed, daemon=True)
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
        watch: _Watch,
        answers: dict[str, PositionAnswer],
        changed: curio.Event,
    ) -> None:
        """Query one member for a round."""
        asked_at = time.monotonic()
        watch.confirmations_in_flight += 1
        try:
            result = await watch.probe.ask()
        finally:
            watch.confirmations_in_flight -= 1
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
