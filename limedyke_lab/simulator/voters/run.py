"""Runs one seed: late starts, faults, calm, and a loss of power with as many disks as are borne."""

from __future__ import annotations

import contextlib
from collections.abc import Sequence
from dataclasses import dataclass
from unittest import mock

import logbook

from limedyke_lab.simulator.machine.environment import Environment
from limedyke_lab.simulator.run import (
    COMPACTION_THRESHOLDS,
    Replacement,
    garbage_collection_disabled,
)
from limedyke_lab.simulator.voters.faults import Fault, draw_faults, draw_late_starts
from limedyke_lab.simulator.voters.world import VoterWorld

FIRST_FAULT_S = 14.0
"""After the latest start, so that changes are confirmed before."""
DEFAULT_FAULTS_S = 20.0
CALM_S = 12.0
"""Longer than a controller counts as lost after the last fault."""
RECOVERY_S = 12.0


@dataclass(frozen=True, slots=True)
class VoterRunResult:
    """The result of a run.

    :param violations: broken promises, each with what was seen
    :param trace: the faults and starts as lines of text
    """

    seed: int
    confirmed: int
    shown: int
    violations: tuple[str, ...]
    trace: tuple[str, ...]


def run_voters(
    seed: int,
    faults_s: float = DEFAULT_FAULTS_S,
    mutations: Sequence[Replacement] = (),
    script: Sequence[Fault] | None = None,
) -> VoterRunResult:
    """Run a seed and check what operators were promised.

    :param faults_s: length of the fault phase, in virtual seconds
    :param mutations: replacements of product code, used by mutation tests
    :param script: faults to inject instead of those that the seed draws
    """
    faults_end = FIRST_FAULT_S + faults_s
    faults = draw_faults(seed, FIRST_FAULT_S, faults_end) if script is None else script
    environment = Environment(seed)
    with contextlib.ExitStack() as stack:
        stack.enter_context(logbook.NullHandler().applicationbound())
        stack.enter_context(garbage_collection_disabled())
        for target, name, value in (*COMPACTION_THRESHOLDS, *mutations):
            stack.enter_context(mock.patch.object(target, name, value))
        stack.enter_context(environment.installed())
        world = VoterWorld(seed, environment)
        _play(world, faults, faults_end)
        return _result(world, environment)


def _play(world: VoterWorld, faults: Sequence[Fault], faults_end: float) -> None:
    kernel = world.kernel
    world.boot(draw_late_starts(world.seed))
    for fault in faults:
        kernel.call_later(fault.time, world.inject, fault)
    kernel.run_until(faults_end + CALM_S)
    world.lose_power_and_disks()
    lost_at = kernel.now
    kernel.run_until(lost_at + RECOVERY_S)
    if not any(shown.sent_at > lost_at for shown in world.record.shown):
        world.record.violations.append(f"survives: nothing is read back in {RECOVERY_S} s")


def _result(world: VoterWorld, environment: Environment) -> VoterRunResult:
    record = world.record
    violations = record.broken_promises()
    violations += [f"process-failed: {name}: {text[-200:]}" for name, text in environment.crashes]
    confirmed = {sent.document for sent in record.sent if sent.code == 0}
    return VoterRunResult(
        world.seed,
        len(confirmed),
        len(record.shown),
        tuple(violations),
        tuple(world.history.lines()),
    )
