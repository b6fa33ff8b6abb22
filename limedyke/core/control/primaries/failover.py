"""The leader's care for the primaries of all groups: detection, terms, promotion orders.

A group passes through these steps: *watched* while it has a primary, *doubted* while a
majority of its home proxies finds the primary gone, *waiting* for a free place among the
promotions under way, *granting* while a higher term is on its way through the log,
*ordered* while a home proxy promotes, *recording* while a new primary is on its way through
the log, and *pausing* before a planned switchover.
Every event costs work for its own group only; deadlines are kept in a heap.
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
ANSWER_TRAVEL_S = 0.1
"""An order ends at its executor by so much before the leader gives it to another."""
LONGEST_PATIENCE = 4
"""An order after failed ones may take longer, up to so many times: members may be slow."""
MS_PER_S = 1_000.0


class FailoverCoordinator:
    """Decides for all groups; commands are collected and taken by the caller.

    :param primaries: the replicated primaries by group, read only
    :param targets: targets of announced switchovers by group, read only
    :param membership: tells which proxies are heard
    :param generator: source of the jitter
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
        self._cares: dict[str, GroupFailoverState] = {}
        self._groups_of_proxy: dict[str, set[str]] = {}
        self._deadlines: list[tuple[float, int, str]] = []
        self._deadline_numbers = itertools.count()
        self._waiting: deque[str] = deque()
        self._suspicion = PrimarySuspicion(membership, timing)
        self._places = PromotionSlots(timing.promotions_at_once, timing.promotions_per_proxy)
        self._proposals = ProposalBatch()
        self._messages: list[SendToProxy] = []

    def step_of(self, group: str) -> Step | None:
        """Return where a group stands."""
        care = self._cares.get(group)
        return None if care is None else care.step

    def best_successor(self, group: str, leaving: str) -> str:
        """Return the member that would follow ``leaving`` as the primary, if any is seen."""
        care = self._cares.get(group)
        return care.watch.best_successor(leaving) if care else ""

    def put_group(self, group: Group, homes: tuple[str, ...], now: float) -> None:
        """Take a declared group, or a changed one."""
        care = self._cares.get(group.name)
        if care is None:
            care = self._cares[group.name] = GroupFailoverState(GroupReports(group, ()))
            if self._recorded(group.name).term > 0:
                self._resume(group.name, care, now)
        care.watch.set_group(group)
        self.set_homes(group.name, homes)
        self._evaluate(group.name, now)

    def remove_group(self, group: str) -> None:
        """Forget a group."""
        care = self._cares.pop(group, None)
        if care is not None:
            self._release(care)
            for groups in self._groups_of_proxy.values():
                groups.discard(group)

    def set_homes(self, group: str, homes: tuple[str, ...]) -> None:
        """Take the present home proxies of a group."""
        care = self._cares.get(group)
        if care is None:
            return
        care.watch.set_homes(homes)
        for proxy in homes:
            self._groups_of_proxy.setdefault(proxy, set()).add(group)

    def report(self, proxy: str, report: MemberReport, now: float) -> None:
        """Take what a home proxy sees of a member."""
        care = self._cares.get(report.group)
        if care is None:
            return
        self._groups_of_proxy.setdefault(proxy, set()).add(report.group)
        if care.watch.report(proxy, report):
            self._evaluate(report.group, now)

    def proxy_disconnected(self, proxy: str, now: float) -> None:
        """Forget what a proxy reported; an order it had is given again elsewhere."""
        groups = self._groups_of_proxy.get(proxy, set())
        for group in list(groups):
            care = self._cares[group]
            care.watch.forget(proxy)
            if proxy not in care.watch.homes:
                groups.discard(group)
            if care.step is Step.ORDERED and care.executor == proxy:
                self._fail(group, care, now)
            else:
                self._evaluate(group, now)

    def writes_paused(self, proxy: str, group: str, term: int, now: float) -> None:
        """Note that a home proxy has no write in flight before a switchover."""
        care = self._cares.get(group)
        if care is None or care.step is not Step.PAUSING:
            return
        if term == self._recorded(group).term:
            care.paused.add(proxy)
            self._evaluate(group, now)

    def promotion_answered(
        self, proxy: str, group: str, term: int, primary: str, now: float
    ) -> None:
        """Take a home proxy's answer to an order."""
        care = self._cares.get(group)
        recorded = self._recorded(group)
        if care is None or recorded.term != term or recorded.primary:
            return
        if primary:
            self._record(group, care, ExposedPrimary(term, primary), now)
        elif care.step is Step.ORDERED and care.executor == proxy:
            self._fail(group, care, now)

    def primary_applied(self, primary: GroupPrimary, now: float) -> None:
        """Take a change of a group's primary out of the log."""
        care = self._cares.get(primary.group)
        if care is None:
            return
        if primary.switching_over:
            self._release(care)
            care.paused = set()
            self._enter(primary.group, care, Step.PAUSING, now + self._timing.switchover_pause_s)
        elif primary.primary:
            self._release(care)
            care.failures = 0
            if care.executor and not care.planned:
                care.failed_over(now, self._timing.calm_s)
            care.watch.forget_member(primary.primary)
            self._enter(primary.group, care, Step.WATCHED, NEVER)
        else:
            self._order(primary.group, care, now)
            return
        self._evaluate(primary.group, now)

    def tick(self, now: float) -> None:
        """Look again at the groups whose time has come."""
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, group = heapq.heappop(self._deadlines)
            care = self._cares.get(group)
            if care is not None and care.deadline <= now:
                self._time_out(group, care, now)
        self._start_waiting(now)

    def take_commands(self) -> list[Propose | SendToProxy]:
        """Return the collected proposals, in few entries, and messages."""
        commands = [*self._proposals.take(), *self._messages]
        self._messages = []
        return commands

    def _recorded(self, group: str) -> GroupPrimary:
        return self._primaries.get(group, GroupPrimary(group, 0, ""))

    def _resume(self, group: str, care: GroupFailoverState, now: float) -> None:
        """Go on where an earlier leader stood; its order may still be carried out."""
        recorded = self._recorded(group)
        if recorded.switching_over:
            self._enter(group, care, Step.PAUSING, now + self._timing.switchover_pause_s)
        elif not recorded.primary:
            self._enter(group, care, Step.ORDERED, now + self._timing.resume_hold_s)

    def _enter(self, group: str, care: GroupFailoverState, step: Step, deadline: float) -> None:
        care.step = step
        care.deadline = deadline
        if deadline != NEVER:
            heapq.heappush(self._deadlines, (deadline, next(self._deadline_numbers), group))

    def _evaluate(self, group: str, now: float) -> None:
        care = self._cares[group]
        if care.step is Step.RECORDING or self._follow_exposed(group, care, now):
            return
        recorded = self._recorded(group)
        match care.step:
            case Step.WATCHED | Step.DOUBTED:
                self._evaluate_primary(group, care, recorded, now)
            case Step.PAUSING:
                if care.paused.issuperset(self._suspicion.live_homes(care.watch, now)):
                    self._want_promotion(group, care, now)

    def _follow_exposed(self, group: str, care: GroupFailoverState, now: float) -> bool:
        """Record a primary that the group itself exposes; tell whether there is one."""
        recorded = self._recorded(group)
        if recorded.term > 0 and not recorded.primary:
            member = care.watch.primary_of_term(recorded.term)
            if member:
                self._record(group, care, ExposedPrimary(recorded.term, member), now)
                return True
        exposed = care.watch.majority_primary(above_term=recorded.term)
        if exposed is None:
            return False
        self._record(group, care, exposed, now)
        return True

    def _evaluate_primary(
        self, group: str, care: GroupFailoverState, recorded: GroupPrimary, now: float
    ) -> None:
        if care.watch.group.promotion is not PromotionMode.CONTROLLERS:
            return
        hold_s = self._suspicion.hold_s(care.watch, recorded, now)
        if hold_s is None:
            if care.step is Step.DOUBTED:
                self._enter(group, care, Step.WATCHED, NEVER)
            self._move_from_leaving(group, care, recorded)
            return
        hold_s *= care.hold_factor(now, self._timing.calm_s)
        if care.step is Step.WATCHED:
            care.doubted_at = now
        if care.step is Step.WATCHED or care.deadline != care.doubted_at + hold_s:
            self._enter(group, care, Step.DOUBTED, care.doubted_at + hold_s)

    def _move_from_leaving(
        self, group: str, care: GroupFailoverState, recorded: GroupPrimary
    ) -> None:
        """Begin a switchover when the primary is declared leaving."""
        if not recorded.primary or not care.watch.is_leaving(recorded.primary):
            return
        target = care.watch.best_successor(recorded.primary)
        if target:
            entry = BeginSwitchover("", "", group, recorded.term, target)
            self._proposals.begin_switchover(entry)

    def _record(
        self, group: str, care: GroupFailoverState, exposed: ExposedPrimary, now: float
    ) -> None:
        """Propose a primary; no higher term is granted while the proposal is under way."""
        expected = self._recorded(group).term
        change = PrimaryChange(group, expected, exposed.term, exposed.member)
        self._proposals.record(change)
        self._enter(group, care, Step.RECORDING, now + PROPOSAL_RETRY_S)

    def _time_out(self, group: str, care: GroupFailoverState, now: float) -> None:
        care.deadline = NEVER
        match care.step:
            case Step.DOUBTED:
                if self._suspicion.hold_s(care.watch, self._recorded(group), now) is None:
                    self._enter(group, care, Step.WATCHED, NEVER)
                else:
                    self._want_promotion(group, care, now)
            case Step.PAUSING | Step.BACKING_OFF:
                self._want_promotion(group, care, now)
            case Step.GRANTING:
                self._grant(group, care, now)
            case Step.RECORDING:
                self._record_lost(group, care, now)
            case Step.ORDERED:
                self._fail(group, care, now)

    def _record_lost(self, group: str, care: GroupFailoverState, now: float) -> None:
        """Look anew at a group whose proposed primary did not come out of the log."""
        recorded = self._recorded(group)
        if recorded.switching_over:
            self._enter(group, care, Step.PAUSING, now + self._timing.switchover_pause_s)
        elif recorded.primary:
            self._release(care)
            self._enter(group, care, Step.WATCHED, NEVER)
        else:
            self._fail(group, care, now)
        self._evaluate(group, now)

    def _want_promotion(self, group: str, care: GroupFailoverState, now: float) -> None:
        """Begin a promotion, or wait for a place; without a live home proxy try again later."""
        self._release(care)
        care.replaced = self._recorded(group).primary or care.replaced
        live = self._suspicion.live_homes(care.watch, now)
        if not live:
            self._fail(group, care, now)
        elif not self._take_place(care, live):
            self._waiting.append(group)
            self._enter(group, care, Step.WAITING, NEVER)
        else:
            self._grant(group, care, now)

    def _take_place(self, care: GroupFailoverState, live: list[str]) -> bool:
        """Take a place among the promotions under way; False when there is none."""
        executor = self._places.choose_executor(care, live)
        if not executor:
            return False
        care.executor = executor
        care.has_place = True
        self._places.take(executor)
        return True

    def _grant(self, group: str, care: GroupFailoverState, now: float) -> None:
        """Propose the next term; its order follows when the term is in the log."""
        recorded = self._recorded(group)
        term = max(recorded.term, care.watch.highest_term()) + 1
        self._proposals.grant(TermGrant(group, recorded.term, term))
        self._enter(group, care, Step.GRANTING, now + PROPOSAL_RETRY_S)

    def _order(self, group: str, care: GroupFailoverState, now: float) -> None:
        """Give the order of the term just recorded to the chosen home proxy."""
        if not care.has_place or not self._membership.is_live(care.executor, now):
            self._fail(group, care, now)
            return
        recorded = self._recorded(group)
        target = self._targets.get(group, "")
        preferred = target or care.watch.best_successor(care.replaced)
        care.planned = bool(target)
        patience_s = self._timing.promotion_timeout_s * min(1 + care.failures, LONGEST_PATIENCE)
        timeout_ms = int((patience_s - ANSWER_TRAVEL_S) * MS_PER_S)
        order = PromoteOrder(group, recorded.term, preferred, care.planned, max(1, timeout_ms))
        self._messages.append(SendToProxy(care.executor, order))
        self._enter(group, care, Step.ORDERED, now + patience_s)

    def _fail(self, group: str, care: GroupFailoverState, now: float) -> None:
        """Wait before the next try, longer each time; meanwhile others may promote."""
        self._release(care)
        care.failures += 1
        longest = self._timing.shortest_backoff_s * 2 ** min(care.failures - 1, 16)
        pause_s = min(longest, self._timing.longest_backoff_s) * self._generator.uniform(0.5, 1.0)
        self._enter(group, care, Step.BACKING_OFF, now + pause_s)

    def _release(self, care: GroupFailoverState) -> None:
        """Give a place back; the groups that wait for one are looked at by the next tick."""
        if care.has_place:
            care.has_place = False
            self._places.give_back(care.executor)

    def _start_waiting(self, now: float) -> None:
        """Begin the promotions that have waited longest, as far as there are places."""
        for _ in range(min(len(self._waiting), self._timing.promotions_at_once)):
            if self._places.is_full:
                return
            group = self._waiting.popleft()
            care = self._cares.get(group)
            if care is not None and care.step is Step.WAITING:
                self._want_promotion(group, care, now)
