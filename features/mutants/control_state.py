"""Mutants of control: leases and plans, each without one safeguard, in random histories."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from features.mutants.mutant import Mutant
from features.support import lease_mutants, plan_world
from features.support.lease_world import LeaseWorld
from features.support.plan_world import PlanWorld

LEASE_HISTORIES = 240
LEASE_STEPS = 240
PLAN_HISTORIES = 20
PLAN_STEPS = 120


def _run_leases(name: str) -> bool:
    for seed in range(LEASE_HISTORIES):
        LeaseWorld(seed).run(LEASE_STEPS)
    return lease_mutants.finds_violation(name, LEASE_HISTORIES, LEASE_STEPS)


def _run_plans(name: str) -> bool:
    for seed in range(PLAN_HISTORIES):
        PlanWorld(seed).run(PLAN_STEPS)
    return plan_world.finds_violation(name, PLAN_HISTORIES, PLAN_STEPS)


def _mutants(names: dict, area: str, caught_by: str, run: Callable[[str], bool]) -> list[Mutant]:
    return [Mutant(area, name, caught_by, partial(run, name)) for name in names]


MUTANTS = (
    *_mutants(lease_mutants.MUTANTS, "leases", "sum of leases in random histories", _run_leases),
    *_mutants(plan_world.MUTANTS, "plans", "rules of plans in random histories", _run_plans),
)
