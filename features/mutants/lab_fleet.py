"""Mutants of the proxy on real fleets, detected by checkers in the clients' history."""

from __future__ import annotations

import os
from collections.abc import Callable
from functools import cache
from unittest import mock

from features.mutants.mutant import Mutant
from features.support import careless_proxy
from limedyke_lab.checkers import consistency, leaving, writes
from limedyke_lab.checkers.report import check_all, count_by_checker
from limedyke_lab.experiments.fault_catalogue import FAULT_RUNS, FaultRun
from limedyke_lab.experiments.fault_runs import PROXY_MODULE, record
from limedyke_lab.experiments.fault_stage import FaultStage
from limedyke_lab.experiments.settings_file import FaultSettings

GEOGRAPHY = "cold-chain"
HELD_ANSWER_MS = 200
SHORT = FaultSettings(
    workers=1,
    session_scale=0.4,
    lead_s=2.5,
    hold_s=2.0,
    tail_s=1.0,
    limit_s=60.0,
    replica_lag_ms=300.0,
    watchers_per_group=1,
)


def _no_fault(stage: FaultStage) -> None:
    stage.hold()


def _run_named(name: str) -> Callable[[FaultStage], None]:
    return next(run.act for run in FAULT_RUNS if run.name == name)


def _stop_busy_proxy(stage: FaultStage) -> None:
    """Stop a proxy while members delay their responses, so that it has requests in flight."""
    members = stage.fleet.topology.members
    stage.set_switch(members, "delay_answers_ms", HELD_ANSWER_MS)
    _run_named("stop-proxy")(stage)
    stage.set_switch(members, "delay_answers_ms", 0)


def _count_violations(name: str, act: Callable[[FaultStage], None], module: str) -> dict[str, int]:
    fault = FaultRun(f"{name.replace(' ', '-')}-{module.rpartition('.')[2]}", act)
    return count_by_checker(check_all(record(fault, GEOGRAPHY, SHORT, proxy_module=module)))


@cache
def _count_violations_with_safeguard(act: Callable[[FaultStage], None]) -> dict[str, int]:
    return _count_violations("sound", act, PROXY_MODULE)


def _is_caught(carelessness: str, act: Callable[[FaultStage], None], checker: str) -> bool:
    with mock.patch.dict(os.environ, {careless_proxy.VARIABLE: carelessness}):
        caught = _count_violations(carelessness, act, careless_proxy.MODULE)[checker] > 0
    if _count_violations_with_safeguard(act)[checker]:
        raise AssertionError(f"{checker} finds something with the safeguard in place")
    return caught


def _mutant(
    carelessness: str, safeguard: str, act: Callable[[FaultStage], None], checker: str
) -> Mutant:
    return Mutant(
        name=f"a proxy that {carelessness}",
        safeguard=safeguard,
        caught_by=f"{checker} on a fleet",
        run=lambda: _is_caught(carelessness, act, checker),
        alone=True,
    )


MUTANTS = (
    _mutant("ignores tokens", "UnitRead._find_required", _no_fault, consistency.READ_YOUR_WRITES),
    _mutant("ignores once-keys", "UnitOnceWrite", _run_named("lost-answers"), writes.AT_MOST_ONCE),
    _mutant(
        "sends writes again", "UnitWrite._execute", _run_named("lost-answers"), writes.AT_MOST_ONCE
    ),
    _mutant(
        "calls unknown did not run",
        "UnitWrite._failure_of",
        _run_named("lost-answers"),
        writes.DID_NOT_RUN,
    ),
    _mutant("cuts when draining", "drain._wait_for_clients", _stop_busy_proxy, leaving.DRAIN),
)
