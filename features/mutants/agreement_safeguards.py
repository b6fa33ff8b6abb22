"""Mutants of the controllers' agreement and of the durable log."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

from features.mutants.mutant import Mutant
from features.support.agreement_mutants import MUTANTS as AGREEMENT_MUTANTS
from features.support.agreement_mutants import patched_out
from features.support.agreement_scripts import SCRIPT_SEEDS, run_script
from features.support.durable_log_world import (
    crash_at_every_step,
    entry,
    open_log,
    patched_without,
)
from limedyke_lab.simulated_disk import SimulatedDisk

SEEDS = range(1, 9)
SCRIPTS = {
    "counts entries before they are synced": "accepted, then power lost everywhere",
    "does not sync the disk": "accepted some time ago, then power lost everywhere",
    "comes back under the old name after a lost disk": "one of two holders loses its disk",
    "takes any incarnation of a member's name for the member": "an old incarnation asks for votes",
    "votes for a candidate whose log is behind": "one that is behind stands for election",
    "commits entries of old terms by counting": "an entry of an old term reaches a majority",
    "counts the lease from the receipt of the answers": "late answers, then cut off",
    "gives votes while it hears a leader": "a blind follower stands for election",
    "gives votes right after a restart": "the only confirming voter restarts",
    "notes only its first contact with a leader": "the only confirming voter restarts",
    "forgets at a restart when it heard a leader": "all processes restart at once",
    "waits for the lease of a leader that asks for votes itself": "all lose power at once",
    "takes the first leader it vouched for as the last": "a former leader asks for votes",
    "notes only the first leader on disk": "a former leader asks a restarted voter",
    "reads without the lease": "a cut-off leader is read at",
    "reads before an entry of its own term is applied": "a new leader is read at",
    "does not allow for the drift of clocks": "slow leader, fast followers",
    "echoes the round of an old term to its leader": "a heartbeat of an old term arrives late",
    "says did not run for what was pending": "cut off with a pending proposal",
    "leads on under its lease after handing over": "cut off while handing over",
    "changes members while a change is uncommitted": "two membership changes in a row",
    "promotes learners that are not caught up": "a deaf learner is promoted",
    "never ends the joint phase of a replacement": "power and a disk lost after a repair",
    "counts learners as voters": "a leader left with a learner",
    "goes on after a failed write": "a full disk",
    "never steps down without a quorum": "silently cut off",
    "never backs off": "followers behind and beside a new leader",
}


class NoticedWithSafeguardError(Exception):
    """The check fails although the safeguard is in place."""


def _judge(notices: Callable[[], bool], patches: Callable[[], object]) -> bool:
    if notices():
        raise NoticedWithSafeguardError
    with patches():
        return notices()


def _script_mutant(name: str) -> bool:
    """Tell whether the mutant fails its script under each of the seeds."""
    script = SCRIPTS[name]
    for seed in SCRIPT_SEEDS:
        broken = run_script(script, seed=seed)
        if broken:
            raise NoticedWithSafeguardError(broken)
    with patched_out(name) as machine_class:
        return all(run_script(script, machine_class, seed) for seed in SCRIPT_SEEDS)


def _crashes_lose() -> bool:
    return bool(crash_at_every_step(SEEDS)[1])


def _failed_sync_loses(goes_on_in_new_process: bool) -> bool:
    """Fail a sync, continue, lose power; tell whether an acknowledged entry is lost."""
    disk = SimulatedDisk(random.Random(3))
    log = open_log(disk).unwrap()
    log.append((entry(1),)).unwrap()
    disk.fail_syncs(1)
    log.append((entry(2),)).unwrap_err()
    if goes_on_in_new_process:
        disk.kill_process()
        log = open_log(disk).unwrap()
    counted = log.last_index
    if log.append((entry(counted + 1, payload=b"second try"),)).is_ok():
        counted += 1
    disk.crash()
    opened = open_log(disk)
    return opened.is_err() or opened.unwrap().last_index < counted


_DURABLE_LOG_CHECKS: dict[str, Callable[[], bool]] = {
    "sync of the segment": _crashes_lose,
    "sync of replaced files": _crashes_lose,
    "manifest before removal": _crashes_lose,
    "finish of a cut-short install": _crashes_lose,
    "rewrite of the newest segment at open": partial(_failed_sync_loses, True),
    "refusal after a failed write": partial(_failed_sync_loses, False),
}

MUTANTS: tuple[Mutant, ...] = (
    *(
        Mutant(
            name,
            ", ".join(f"{owner.__name__}.{attribute}" for owner, attribute, _ in mutant.patches)
            or "identity of a new disk",
            f"script '{SCRIPTS[name]}'",
            partial(_script_mutant, name),
        )
        for name, mutant in AGREEMENT_MUTANTS.items()
    ),
    *(
        Mutant(
            f"durable log without {name}",
            name,
            "durable_log.feature",
            partial(_judge, notices, partial(patched_without, name)),
        )
        for name, notices in _DURABLE_LOG_CHECKS.items()
    ),
)
