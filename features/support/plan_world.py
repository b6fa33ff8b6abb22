"""Simulates concurrent operators who lose answers and resend requests, and mutants of the rules.

Every controller applies the same log.  A request may enter it twice, through two leaders, whose
wall clocks differ.  Controllers restart from their snapshot at any time.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from contextlib import AbstractContextManager
from dataclasses import dataclass, field
from unittest import mock

from features.support.control_builders import (
    PLAN_LIFETIME_S,
    StateUnderTest,
    a_declaration,
    a_group,
)
from limedyke.core.control.plan_store import PlanStore
from limedyke.core.control.state import ControlState
from limedyke.messages.operator import Confirmed, Plan

START = 1_000
CLOCK_ERROR_S = 30
LONGEST_PAUSE_S = 40
GROUPS = 6
OPERATORS = ("anna", "bert", "carl")


class PlanViolationError(AssertionError):
    """A change took effect that must not have, or an answer changed."""


@dataclass
class Sent:
    """A confirmation that was sent, and the first answer to it."""

    operator: str
    request_id: str
    plan: Plan
    answer: object


@dataclass
class PlanWorld:
    """Runs a random history from a seed; raises on the first violation."""

    seed: int
    test: StateUnderTest = field(default_factory=StateUnderTest)
    sent: list[Sent] = field(default_factory=list)
    plans: list[Plan] = field(default_factory=list)
    ends_at: dict[str, int] = field(default_factory=dict)
    winners: dict[int, str] = field(default_factory=dict)
    now: int = START

    def run(self, steps: int) -> None:
        """Run a number of steps."""
        generator = random.Random(self.seed)
        for number in range(steps):
            self.now += generator.randrange(LONGEST_PAUSE_S)
            before = self.test.state.revision
            action = generator.random()
            if action < 0.35:
                self._plan(generator, number)
            elif action < 0.7:
                self._confirm(generator, number)
            elif action < 0.9:
                self._resend(generator)
            else:
                self.test.restart()
            if not before <= self.test.state.revision <= before + 1:
                raise PlanViolationError(f"revision {before} -> {self.test.state.revision}")

    def _leader_clock(self, generator: random.Random) -> int:
        return self.now + generator.randint(-CLOCK_ERROR_S, 0)

    def _plan(self, generator: random.Random, number: int) -> None:
        chosen = generator.sample(range(GROUPS), generator.randrange(1, GROUPS))
        declaration = a_declaration(*(a_group(f"g{i}") for i in sorted(chosen)))
        before = self.test.state.snapshot_for_proxies()
        operator = generator.choice(OPERATORS)
        at = self._leader_clock(generator)
        answer = self.test.plan(declaration, f"p{number}", operator, at)
        if self.test.state.snapshot_for_proxies() != before:
            raise PlanViolationError("a plan took effect before its confirmation")
        if isinstance(answer, Plan) and answer.changes:
            self.plans.append(answer)
            self.ends_at[answer.plan_id] = self.now + PLAN_LIFETIME_S

    def _confirm(self, generator: random.Random, number: int) -> None:
        if not self.plans:
            return
        plan = generator.choice(self.plans[-8:])
        operator = generator.choice(OPERATORS)
        request_id = f"c{number}"
        before = self.test.state.revision
        at = self._leader_clock(generator)
        answer = self.test.confirm(plan.plan_id, request_id, operator, at)
        if self.test.state.revision > before:
            self._check_winner(plan, before)
        self.sent.append(Sent(operator, request_id, plan, answer))

    def _check_winner(self, plan: Plan, before: int) -> None:
        if plan.base_revision != before:
            raise PlanViolationError(f"plan on {plan.base_revision} won over revision {before}")
        if self.now > self.ends_at[plan.plan_id] + CLOCK_ERROR_S:
            raise PlanViolationError("a plan took effect after it had expired")
        self.winners[before] = plan.plan_id

    def _resend(self, generator: random.Random) -> None:
        if not self.sent:
            return
        first = generator.choice(self.sent[-8:])
        before = self.test.state.snapshot_for_proxies()
        again = self.test.confirm(
            first.plan.plan_id, first.request_id, first.operator, self._leader_clock(generator)
        )
        if again != first.answer:
            raise PlanViolationError(f"{first.answer} became {again}")
        if self.test.state.snapshot_for_proxies() != before:
            raise PlanViolationError("a resent confirmation changed something")
        self._check_loser(first)

    def _check_loser(self, sent: Sent) -> None:
        """Check that a conflict names the revision created by the winner on the same base."""
        answer = sent.answer
        if isinstance(answer, Confirmed) or not answer.revision:
            return
        winner = self.winners.get(sent.plan.base_revision)
        if winner == sent.plan.plan_id or answer.revision != sent.plan.base_revision + 1:
            raise PlanViolationError(f"the conflict names revision {answer.revision}")


_DECIDE = ControlState._decide_plan


def _decide_on_any_base(state: ControlState, index: int, entry: object) -> tuple:
    """Let a plan win regardless of revisions confirmed since it was made."""
    plan = state.plans.plan(entry.plan_id)
    if plan is not None:
        moved = dataclasses.replace(plan, base_revision=state.revision)
        state.plans._plans[entry.plan_id] = moved
    return _DECIDE(state, index, entry)


def _never_expire(state: ControlState, time: int) -> None:
    """Do not advance the log's clock."""


MUTANTS: dict[str, Callable[[], AbstractContextManager]] = {
    "of plans on one base revision one wins": lambda: mock.patch.object(
        ControlState, "_decide_plan", _decide_on_any_base
    ),
    "a resent request gets its first answer": lambda: mock.patch.object(
        ControlState, "first_answer", lambda state, operator, request_id: None
    ),
    "plans expire": lambda: mock.patch.object(ControlState, "_advance_time", _never_expire),
    "a conflict names the winner": lambda: mock.patch.object(PlanStore, "settle", lambda *a: None),
}


def finds_violation(name: str, histories: int, steps: int) -> bool:
    """Return whether some history violates the rules without a safeguard."""
    with MUTANTS[name]():
        for seed in range(histories):
            try:
                PlanWorld(seed).run(steps)
            except PlanViolationError:
                return True
    return False
