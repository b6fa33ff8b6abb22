"""Records a short trace of a fleet under load with one fault, for use by tests."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from limedyke_lab.checkers.report import check_all, describe
from limedyke_lab.experiments.fault_catalogue import FAULT_RUNS, FaultRun
from limedyke_lab.experiments.fault_runs import record
from limedyke_lab.experiments.fault_stage import FaultStage
from limedyke_lab.experiments.settings_file import FaultSettings
from limedyke_lab.geography import GEOGRAPHIES
from limedyke_lab.load.trace_file import truncate_history, write_trace

RECORDING = FaultSettings(
    workers=1,
    session_scale=0.1,
    lead_s=0.7,
    hold_s=2.0,
    tail_s=3.0,
    limit_s=60.0,
    replica_lag_ms=20.0,
    watchers_per_group=1,
)
EXIT_OK = 0
EXIT_VIOLATION = 1
EXIT_UNKNOWN_NAME = 2


@dataclass(frozen=True, slots=True)
class Recording:
    """Contents of a trace: a fault, and clients that use the product or a baseline."""

    fault: FaultRun
    baseline: str = ""


def _no_fault(stage: FaultStage) -> None:
    stage.hold()


def _lose_acknowledged(stage: FaultStage) -> None:
    """Make members acknowledge writes before a majority stores them, then kill the primary."""
    stage.set_switch(stage.fleet.topology.members, "lose_acknowledged", "on")
    primary = stage.primary()
    stage.set_switch((primary,), "freeze_replication", "on")
    stage.hold()
    stage.kill(primary.node.name)
    stage.next_primary(primary)
    stage.hold()
    stage.restart(primary.node.name)


def _long_lag(stage: FaultStage) -> None:
    stage.set_switch(stage.fleet.topology.members, "lag_ms", 1_000)
    stage.hold()


RECORDINGS = {
    **{fault.name: Recording(fault) for fault in FAULT_RUNS},
    "none": Recording(FaultRun("none", _no_fault)),
    "lose-acknowledged": Recording(FaultRun("lose-acknowledged", _lose_acknowledged)),
    "random-member": Recording(FaultRun("random-member", _long_lag), "random-member"),
}
"""The last two show violations, by a misbehaving member and by clients without the product."""


def record_trace(path: Path, geography: str, fault: str, seconds: float) -> int:
    """Run a fleet with a fault and write the first seconds of its history.

    :param fault: one of ``RECORDINGS``
    :returns: exit code: 1 when a checker found a violation, 2 for an unknown name, else 0
    """
    if fault not in RECORDINGS or geography not in GEOGRAPHIES:
        print(f"expected one of {', '.join(RECORDINGS)} and of {', '.join(GEOGRAPHIES)}")
        return EXIT_UNKNOWN_NAME
    recording = RECORDINGS[fault]
    whole = record(recording.fault, geography, RECORDING, recording.baseline)
    history = truncate_history(whole, seconds)
    write_trace(history, path)
    violations = check_all(history)
    print("\n".join(describe(history, violations)))
    print(f"trace: operations={len(history.operations)} file={path}")
    return EXIT_VIOLATION if violations else EXIT_OK
