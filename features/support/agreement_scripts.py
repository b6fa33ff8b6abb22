"""Fault scripts, each aimed at one safeguard of the agreement.

A script takes a cluster and returns nothing. A failure shows in the cluster's violations or as a
``ScriptFailureError``.
"""

from __future__ import annotations

from collections.abc import Callable

from result import UnwrapError

from features.support import agreement_election_scripts as election
from features.support import agreement_lease_scripts as lease
from features.support import agreement_member_scripts as members
from features.support import agreement_storage_scripts as storage
from features.support.agreement_script_tools import ScriptFailureError
from features.support.agreement_world import ScriptedCluster
from limedyke.core.agreement.state import AgreementInvariantError
from limedyke_lab.agreement_simulation.machine import Machine

Script = Callable[[ScriptedCluster], None]
SCRIPTS: dict[str, Script] = {
    "accepted, then power lost everywhere": storage.unsynced_entries,
    "accepted some time ago, then power lost everywhere": storage.unsynced_disk,
    "one of two holders loses its disk": storage.lost_disk,
    "an old incarnation asks for votes": members.old_incarnation_votes,
    "one that is behind stands for election": election.late_candidate,
    "an entry of an old term reaches a majority": election.old_term_entries,
    "late answers, then cut off": lease.late_answers,
    "a blind follower stands for election": lease.cut_off_candidate,
    "the only confirming voter restarts": lease.restarted_voter,
    "all processes restart at once": election.all_processes_restart,
    "all lose power at once": election.all_lose_power,
    "a former leader asks for votes": lease.former_leader_asks,
    "a former leader asks a restarted voter": lease.former_leader_asks_after_restart,
    "a cut-off leader is read at": lease.cut_off_leader_reads,
    "a new leader is read at": lease.new_leader_reads,
    "slow leader, fast followers": lease.drifting_clocks,
    "a heartbeat of an old term arrives late": lease.late_message_of_old_term,
    "cut off with a pending proposal": election.pending_proposal,
    "cut off while handing over": lease.handing_over,
    "two membership changes in a row": members.two_changes,
    "a deaf learner is promoted": members.early_promotion,
    "silently cut off": lease.silent_cut,
    "followers behind and beside a new leader": election.diverged_follower,
    "a second machine lost right after a repair": storage.second_machine,
    "power and a disk lost after a repair": storage.power_and_disk_lost_after_repair,
    "a leader left with a learner": members.learner_counts,
    "two disks lost at once": storage.two_lost_disks,
    "a full disk": storage.full_disk,
    "a failing sync": storage.failing_sync,
    "a replacement far behind": members.snapshot_to_learner,
}
ENDING_WITHOUT_LEADER = (storage.two_lost_disks,)
SCRIPT_SEEDS = range(1, 13)
"""Seeds of the random timeouts; under each a script passes, and fails with its mutant."""
CLOCK_DRIFT = 0.1
EARLIEST_ELECTION = {"election_timeout_maximum_s": 0.501}
"""A millisecond over the minimum timeout, so that followers stand as soon as they may."""
CLOCKS: dict[Script, tuple[dict[str, object], dict[str, float]]] = {
    lease.drifting_clocks: (
        {"clock_drift_bound": CLOCK_DRIFT, **EARLIEST_ELECTION},
        {"a": 1 - CLOCK_DRIFT, "b": 1 + CLOCK_DRIFT, "c": 1 + CLOCK_DRIFT},
    ),
    lease.late_answers: (EARLIEST_ELECTION, {}),
    election.old_term_entries: ({"maximum_batch_entries": 1}, {}),
}


def run_script(name: str, machine_class: type[Machine] = Machine, seed: int = 1) -> list[str]:
    """Run a script on a new cluster; return the violated invariants or the script's failure."""
    script = SCRIPTS[name]
    timing_changes, clock_rates = CLOCKS.get(script, ({}, {}))
    try:
        cluster = ScriptedCluster(machine_class, timing_changes, clock_rates, seed)
        script(cluster)
        return cluster.violations if script in ENDING_WITHOUT_LEADER else cluster.finish()
    except (ScriptFailureError, AgreementInvariantError, UnwrapError) as error:
        return [f"{type(error).__name__}: {error}"]
