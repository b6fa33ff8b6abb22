"""Failover of all groups' primaries: failure detection, terms and promotion orders.

A group passes through these steps: *watched* while it has a primary, *doubted* while a
majority of its home proxies reports the primary as failed, *waiting* for a free promotion
slot, *granting* while a higher term is being committed to the log, *ordered* while a home proxy
promotes a member, *recording* while a new primary is being committed to the log,
*backing-off* after a failed promotion, and *pausing* before a planned switchover.
An event costs work for its own group only; deadlines are kept in a heap.
"""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections.abc import Mapping
from random import Random

from limedyke.core.control.events import Propose, SendToProxy
from limedyke.core.control.membership import ProxyMembership
from limedyke.core.control.primaries.group_failover_state import NEVER, GroupFailoverState, Step
from limedyke.core.control.primaries.group_reports import ExposedPrimary, GroupReports
from limedyke.core.control.primaries.primary_suspicion import PrimarySuspicion
from limedyke.core.control.primaries.promotion_slots import PromotionSlots
from limedyke.core.control.proposal_batch import ProposalBatch
from limedyke.core.control.timing import ControlTiming
from limedyke.messages.control import GroupPrimary, MemberReport, PromoteOrder
from limedyke.messages.control_entries import (
    BeginSwitchover,
    PrimaryChange,
    TermGrant,
)
from limedyke.messages.declaration import Group, PromotionMode

PROPOSAL_RETRY_S = 1.0
ANSWER_TRANSIT_S = 0.1
"""An order times out at its executor this much earlier than at the leader."""
MAXIMUM_TIMEOUT_FACTOR = 4
"""The timeout of an order grows with failures up to this factor, as members may be slow."""
MS_PER_S = 1_000.0


class FailoverCoordinator:
    """Manages the failover of all groups; the caller takes the resulting commands.

    :param primaries: the replicated primaries by group, read only
    :param targets: targets of announced switchovers by group, read only
    :param membership: tells which proxies are live
    :param generator: source of jitter
    """

    def __init__(
        self,
        primaries: Mapping[str, GroupPrimary],
        targets: Mapping[str, str],
        membership: ProxyMembership,
        timing: ControlTiming,
        generator: Random,
    ) -> None:
        self._primaries = primaries
        self._targets = targets
        self._membership = membership
        self._timing = timing
        self._generator = generator
        self._group_states: dict[str, GroupFailoverState] = {}
        self._groups_of_proxy: dict[str, set[str]] = {}
        self._deadlines: list[tuple[float, int, str]] = []
        self._deadline_numbers = itertools.count()
        self._waiting: deque[str] = deque()
        self._suspicion = PrimarySuspicion(membership, timing)
        self._slots = PromotionSlots(timing.promotions_at_once, timing.promotions_per_proxy)
        self._proposals = ProposalBatch()
        self._messages: list[SendToProxy] = []

    def step_of(self, group: str) -> Step | None:
        """Return the current step of a group."""
        state = self._group_states.get(group)
        return None if state is None else state.step

    def best_successor(self, group: str, leaving: str) -> str:
        """Return the best member to replace ``leaving`` as the primary, if one is reachable."""
        state = self._group_states.get(group)
        return state.reports.best_successor(leaving) if state else ""

    def put_group(self, group: Group, homes: tuple[str, ...], now: float) -> None:
        """Add or update a declared group."""
        state = self._group_states.get(group.name)
        if state is None:
            state = self._group_states[group.name] = GroupFailoverState(GroupReports(group, ()))
            if self._recorded(group.name).term > 0:
                self._resume(group.name, state, now)
        state.reports.set_group(group)
        self.set_homes(group.name, homes)
        self._evaluate(group.name, now)

    def remove_group(self, group: str) -> None:
        """Remove a group."""
        state = self._group_states.pop(group, None)
        if state is not None:
            self._release_slot(state)
            for groups in self._groups_of_proxy.values():
                groups.discard(group)

    def set_homes(self, group: str, homes: tuple[str, ...]) -> None:
        """Set the current home proxies of a group."""
        state = self._group_states.get(group)
        if state is None:
            return
        state.reports.set_homes(homes)
        for proxy in homes:
            self._groups_of_proxy.setdefault(proxy, set()).add(group)

    def report(self, proxy: str, report: MemberReport, now: float) -> None:
        """Process a home proxy's report on a member."""
        state = self._group_states.get(report.group)
        if state is None:
            return
        self._groups_of_proxy.setdefault(proxy, set()).add(report.group)
        if state.reports.report(proxy, report):
            self._evaluate(report.group, now)

    def proxy_disconnected(self, proxy: str, now: float) -> None:
        """Drop the reports of a disconnected proxy; its promotion order counts as failed."""
        groups = self._groups_of_proxy.get(proxy, set())
        for group in list(groups):
            state = self._group_states[group]
            state.reports.forget(proxy)
            if proxy not in state.reports.homes:
                groups.discard(group)
            if state.step is Step.ORDERED and state.executor == proxy:
                self._back_off_after_failure(group, state, now)
            else:
                self._evaluate(group, now)

    def writes_paused(self, proxy: str, group: str, term: int, now: float) -> None:
        """Record that a home proxy has paused writes for a switchover."""
        state = self._group_states.get(group)
        if state is None or state.step is not Step.PAUSING:
            return
        if term == self._recorded(group).term:
            state.paused.add(proxy)
            self._evaluate(group, now)

    def promotion_answered(
        self, proxy: str, group: str, term: int, primary: str, now: float
    ) -> None:
        """Process a home proxy's answer to a promotion order."""
        state = self._group_states.get(group)
        recorded = self._recorded(group)
        if state is None or recorded.term != term or recorded.primary:
            return
        if primary:
            self._record(group, state, ExposedPrimary(term, primary), now)
        elif state.step is Step.ORDERED and state.executor == proxy:
            self._back_off_after_failure(group, state, now)

    def primary_applied(self, primary: GroupPrimary, now: float) -> None:
        """Handle an applied change of a group's term or primary."""
        state = self._group_states.get(primary.group)
        if state is None:
            return
        if primary.switching_over:
            self._release_slot(state)
            state.paused = set()
            self._enter(primary.group, state, Step.PAUSING, now + self._timing.switchover_pause_s)
        elif primary.primary:
            self._release_slot(state)
            state.failures = 0
            if state.executor and not state.planned:
                state.record_failover(now, self._timing.calm_s)
            state.reports.forget_member(primary.primary)
            self._enter(primary.group, state, Step.WATCHED, NEVER)
        else:
            self._order(primary.group, state, now)
            return
        self._evaluate(primary.group, now)

    def tick(self, now: float) -> None:
        """Handle expired deadlines, and start waiting promotions."""
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, group = heapq.heappop(self._deadlines)
            state = self._group_states.get(group)
            if state is not None and state.deadline <= now:
                self._time_out(group, state, now)
        self._start_waiting_promotions(now)

    def take_commands(self) -> list[Propose | SendToProxy]:
        """Return the collected proposals, batched into few entries, and messages."""
        commands = [*self._proposals.take(), *self._messages]
        self._messages = []
        return commands

    def _recorded(self, group: str) -> GroupPrimary:
        return self._primaries.get(group, GroupPrimary(group, 0, ""))

    def _resume(self, group: str, state: GroupFailoverState, now: float) -> None:
        """Continue where an earlier leader stopped; its order may still be in progress."""
        recorded = self._recorded(group)
        if recorded.switching_over:
            self._enter(group, state, Step.PAUSING, now + self._timing.switchover_pause_s)
        elif not recorded.primary:
            self._enter(group, state, Step.ORDERED, now + self._timing.resume_hold_s)

    def _enter(self, group: str, state: GroupFailoverState, step: Step, deadline: float) -> None:
        state.step = step
        state.deadline = deadline
        if deadline != NEVER:
            heapq.heappush(self._deadlines, (deadline, next(self._deadline_numbers), group))

    def _evaluate(self, group: str, now: float) -> None:
        state = self._group_states[group]
        if state.step is Step.RECORDING or self._follow_exposed(group, state, now):
            return
        recorded = self._recorded(group)
        match state.step:
            case Step.WATCHED | Step.DOUBTED:
                self._evaluate_primary(group, state, recorded, now)
            case Step.PAUSING:
                if state.paused.issuperset(self._suspicion.live_homes(state.reports, now)):
                    self._start_promotion(group, state, now)

    def _follow_exposed(self, group: str, state: GroupFailoverState, now: float) -> bool:
        """Record a primary that the group itself exposes; return whether there is one."""
        recorded = self._recorded(group)
        if recorded.term > 0 and not recorded.primary:
            member = state.reports.primary_of_term(recorded.term)
            if member:
                self._record(group, state, ExposedPrimary(recorded.term, member), now)
                return True
        exposed = state.reports.majority_primary(above_term=recorded.term)
        if exposed is None:
            return False
        self._record(group, state, exposed, now)
        return True

    def _evaluate_primary(
        self, group: str, state: GroupFailoverState, recorded: GroupPrimary, now: float
    ) -> None:
        if state.reports.group.promotion is not PromotionMode.CONTROLLERS:
            return
        hold_s = self._suspicion.hold_s(state.reports, recorded, now)
        if hold_s is None:
            if state.step is Step.DOUBTED:
                self._enter(group, state, Step.WATCHED, NEVER)
            self._move_from_leaving(group, state, recorded)
            return
        hold_s *= state.hold_factor(now, self._timing.calm_s)
        if state.step is Step.WATCHED:
            state.doubted_at = now
        if state.step is Step.WATCHED or state.deadline != state.doubted_at + hold_s:
            self._enter(group, state, Step.DOUBTED, state.doubted_at + hold_s)

    def _move_from_leaving(
        self, group: str, state: GroupFailoverState, recorded: GroupPrimary
    ) -> None:
        """Begin a switchover if the primary is declared as leaving."""
        if not recorded.primary or not state.reports.is_leaving(recorded.primary):
            return
        target = state.reports.best_successor(recorded.primary)
        if target:
            entry = BeginSwitchover("", "", group, recorded.term, target)
            self._proposals.begin_switchover(entry)

    def _record(
        self, group: str, state: GroupFailoverState, exposed: ExposedPrimary, now: float
    ) -> None:
        """Propose a primary; no higher term is granted while the proposal is pending."""
        expected = self._recorded(group).term
        change = PrimaryChange(group, expected, exposed.term, exposed.member)
        self._proposals.record(change)
        self._enter(group, state, Step.RECORDING, now + PROPOSAL_RETRY_S)

    def _time_out(self, group: str, state: GroupFailoverState, now: float) -> None:
        state.deadline = NEVER
        match state.step:
            case Step.DOUBTED:
                if self._suspicion.hold_s(state.reports, self._recorded(group), now) is None:
                    self._enter(group, state, Step.WATCHED, NEVER)
                else:
                    self._start_promotion(group, state, now)
            case Step.PAUSING | Step.BACKING_OFF:
                self._start_promotion(group, state, now)
            case Step.GRANTING:
                self._grant(group, state, now)
            case Step.RECORDING:
                self._recording_timed_out(group, state, now)
            case Step.ORDERED:
                self._back_off_after_failure(group, state, now)

    def _recording_timed_out(self, group: str, state: GroupFailoverState, now: float) -> None:
        """Reevaluate a group whose proposed primary was not applied in time."""
        recorded = self._recorded(group)
        if recorded.switching_over:
            self._enter(group, state, Step.PAUSING, now + self._timing.switchover_pause_s)
        elif recorded.primary:
            self._release_slot(state)
            self._enter(group, state, Step.WATCHED, NEVER)
        else:
            self._back_off_after_failure(group, state, now)
        self._evaluate(group, now)

    def _start_promotion(self, group: str, state: GroupFailoverState, now: float) -> None:
        """Begin a promotion or wait for a slot; without a live home proxy, retry later."""
        self._release_slot(state)
        state.replaced = self._recorded(group).primary or state.replaced
        live = self._suspicion.live_homes(state.reports, now)
        if not live:
            self._back_off_after_failure(group, state, now)
        elif not self._acquire_slot(state, live):
            self._waiting.append(group)
            self._enter(group, state, Step.WAITING, NEVER)
        else:
            self._grant(group, state, now)

    def _acquire_slot(self, state: GroupFailoverState, live: list[str]) -> bool:
        """Acquire a promotion slot; return False if none is free."""
        executor = self._slots.choose_executor(state, live)
        if not executor:
            return False
        state.executor = executor
        state.has_slot = True
        self._slots.take(executor)
        return True

    def _grant(self, group: str, state: GroupFailoverState, now: float) -> None:
        """Propose the next term; the promotion order follows once the term is applied."""
        recorded = self._recorded(group)
        term = max(recorded.term, state.reports.highest_term()) + 1
        self._proposals.grant(TermGrant(group, recorded.term, term))
        self._enter(group, state, Step.GRANTING, now + PROPOSAL_RETRY_S)

    def _order(self, group: str, state: GroupFailoverState, now: float) -> None:
        """Send the promotion order for the recorded term to the chosen home proxy."""
        if not state.has_slot or not self._membership.is_live(state.executor, now):
            self._back_off_after_failure(group, state, now)
            return
        recorded = self._recorded(group)
        target = self._targets.get(group, "")
        preferred = target or state.reports.best_successor(state.replaced)
        state.planned = bool(target)
        timeout_s = self._timing.promotion_timeout_s * min(
            1 + state.failures, MAXIMUM_TIMEOUT_FACTOR
        )
        timeout_ms = int((timeout_s - ANSWER_TRANSIT_S) * MS_PER_S)
        order = PromoteOrder(group, recorded.term, preferred, state.planned, max(1, timeout_ms))
        self._messages.append(SendToProxy(state.executor, order))
        self._enter(group, state, Step.ORDERED, now + timeout_s)

    def _back_off_after_failure(self, group: str, state: GroupFailoverState, now: float) -> None:
        """Release the slot and retry after a delay that grows with each failure."""
        self._release_slot(state)
        state.failures += 1
        longest = self._timing.shortest_backoff_s * 2 ** min(state.failures - 1, 16)
        pause_s = min(longest, self._timing.longest_backoff_s) * self._generator.uniform(0.5, 1.0)
        self._enter(group, state, Step.BACKING_OFF, now + pause_s)

    def _release_slot(self, state: GroupFailoverState) -> None:
        """Release the group's slot; the next tick starts groups that wait for one."""
        if state.has_slot:
            state.has_slot = False
            self._slots.release(state.executor)

    def _start_waiting_promotions(self, now: float) -> None:
        """Start the longest-waiting promotions while slots are free."""
        for _ in range(min(len(self._waiting), self._timing.promotions_at_once)):
            if self._slots.is_full:
                return
            group = self._waiting.popleft()
            state = self._group_states.get(group)
            if state is not None and state.step is Step.WAITING:
                self._start_promotion(group, state, now)
