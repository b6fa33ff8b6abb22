"""Experiment ``saturation``: a slow member must not be treated as failed.

All groups get far more work than their slots can execute, and no fault is injected. Each
change of a primary is therefore a false failover, and each report of an unreachable member is
a false detection, which the controllers' majority may or may not have prevented.
"""

from __future__ import annotations

from limedyke_lab.checkers.report import check_all, count_by_checker
from limedyke_lab.experiments.result import ExperimentResult, Latencies, ResultWriter, Value
from limedyke_lab.experiments.settings_file import ExperimentSettings, load_experiment
from limedyke_lab.fleet.fleet import Fleet, FleetOptions
from limedyke_lab.fleet.secrets import client_password
from limedyke_lab.history import ClientOutcome, History
from limedyke_lab.load.profiles import WATCHERS
from limedyke_lab.load.runner import LoadRun, create_tables
from limedyke_lab.load.settings import Mix, SessionProfile

NAME = "saturation"
UNREACHABLE_EVENT = "event=member-health"
UNREACHABLE_HEALTH = "health=unreachable"
PRIMARY_EVENT = "event=primary-recorded"


class SaturationSettings(ExperimentSettings):
    """Settings of ``saturation``.

    :param seconds: duration of the load
    :param writers_per_group: number of sessions that only write, without pauses
    :param readers_per_group: number of sessions that only read, without pauses
    :param execute_ms: time that each statement holds a slot
    """

    seconds: float
    writers_per_group: int
    readers_per_group: int
    execute_ms: float


def run(geography: str, writer: ResultWriter) -> None:
    """Saturate all groups; count primary changes and members reported as unreachable."""
    settings = load_experiment(SaturationSettings, NAME)
    options = FleetOptions(
        geography=geography,
        name=f"{NAME}-{geography}",
        member_options={"execute_ms": settings.execute_ms},
    )
    with Fleet(options) as fleet:
        create_tables(fleet)
        before = _count_lines(fleet, PRIMARY_EVENT)
        profiles = tuple(
            profile
            for group in fleet.topology.geography.groups
            for profile in _profiles(fleet, settings, group)
        )
        load = LoadRun(fleet, NAME, profiles, settings.seconds, settings.workers, settings.seed)
        history = load.run()
        changes = _count_lines(fleet, PRIMARY_EVENT) - before
        unreachable = _count_lines(fleet, UNREACHABLE_EVENT, UNREACHABLE_HEALTH)
        slots = fleet.topology.geography.group_size.slots
    sizes: dict[str, Value] = {
        "seconds": settings.seconds,
        "writers_per_group": settings.writers_per_group,
        "readers_per_group": settings.readers_per_group,
        "slots": slots,
        "execute_ms": settings.execute_ms,
    }
    values: dict[str, Value] = {
        "false_failovers": changes,
        "called_unreachable": unreachable,
        **_load_values(history),
    }
    writer.add(ExperimentResult(NAME, geography, "limedyke", settings.seed, sizes, values))


def _profiles(
    fleet: Fleet, settings: SaturationSettings, group: str
) -> tuple[SessionProfile, SessionProfile]:
    tenant, user = WATCHERS[fleet.topology.geography.name]

    def profile(name: str, count: int, mix: Mix) -> SessionProfile:
        return SessionProfile(
            name=f"{name}-{group}",
            tenant=tenant,
            user=user,
            password=client_password(user),
            groups=(group,),
            count=count,
            mix=mix,
            think_ms=0.0,
            roam_probability=0.0,
        )

    return (
        profile("writer", settings.writers_per_group, Mix(write=1.0)),
        profile("reader", settings.readers_per_group, Mix(read=1.0)),
    )


def _count_lines(fleet: Fleet, *parts: str) -> int:
    """Return the number of lines in the product's logs that contain all parts."""
    nodes = (*fleet.topology.controllers, *fleet.topology.proxies)
    lines = (
        line
        for node in nodes
        for line in fleet.files.log(node.name).read_text(errors="replace").splitlines()
    )
    return sum(all(part in line for part in parts) for line in lines)


def _load_values(history: History) -> dict[str, Value]:
    done = [o for o in history.operations if o.outcome is ClientOutcome.DONE]
    writes = Latencies.of([o for o in done if o.acknowledged_write])
    return {
        "done": len(done),
        "not_done": len(history.operations) - len(done),
        **writes.p50_p99("write"),
        "violations": sum(count_by_checker(check_all(history)).values()),
    }
