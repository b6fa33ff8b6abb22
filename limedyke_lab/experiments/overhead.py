"""Experiment ``overhead``: cost that the product adds to a statement, without network delays.

CPU time covers only the processes between client and member. Unlike latency, it measures the
cost of a statement even on a machine that is busy with other work.
"""

from __future__ import annotations

from dataclasses import dataclass

import psutil

from limedyke_lab.experiments import idle_clients
from limedyke_lab.experiments.baselines import primary_only
from limedyke_lab.experiments.result import ExperimentResult, Latencies, ResultWriter, Value
from limedyke_lab.experiments.settings_file import OverheadSettings, load_experiment
from limedyke_lab.fleet.fleet import Fleet, FleetOptions
from limedyke_lab.fleet.secrets import client_password
from limedyke_lab.history import ClientOutcome
from limedyke_lab.load.profiles import WATCHERS
from limedyke_lab.load.runner import LoadRun, create_tables
from limedyke_lab.load.settings import DirectRoute, DirectRoutes, Mix, SessionProfile

NAME = "overhead"
DIRECT = "direct"
BARE_RELAY = "bare relay"
LIMEDYKE = "limedyke"
MIXES = {"reads": Mix(read=1), "writes": Mix(write=1)}
MICROSECONDS = 1_000_000


@dataclass(frozen=True, slots=True)
class Variant:
    """A path from client to member.

    :param between: names of the processes on the path
    :param routes: routes that bypass the product; None with the product
    """

    name: str
    between: tuple[str, ...]
    routes: DirectRoutes | None = None


def run(geography: str, writer: ResultWriter) -> None:
    """Measure statements sent directly, through the lab's bare relay, and through limedyke."""
    settings = load_experiment(OverheadSettings, NAME)
    name = f"{NAME}-{geography}"
    options = FleetOptions(geography=geography, name=name, delays=False, product=False)
    with Fleet(options) as fleet:
        create_tables(fleet)
        relays = tuple(f"relay-{zone.name}" for zone in fleet.topology.geography.zones)
        direct = Variant(DIRECT, (), _real_addresses(fleet))
        relayed = Variant(BARE_RELAY, relays, primary_only(fleet))
        _measure_all(fleet, settings, (direct, relayed), writer)
    options = FleetOptions(geography=geography, name=name, delays=False, relayed=False, proxies=1)
    with Fleet(options) as fleet:
        create_tables(fleet)
        proxies = tuple(node.name for node in fleet.topology.proxies)
        _measure_all(fleet, settings, (Variant(LIMEDYKE, proxies),), writer)
        writer.add(idle_clients.measure(fleet, settings, NAME))


def _real_addresses(fleet: Fleet) -> DirectRoutes:
    """Return routes to the primaries that bypass the relay."""
    routes = primary_only(fleet)
    groups = {}
    for group in routes.groups:
        address = fleet.wait_for_primary(group).node.listen
        groups[group] = DirectRoute(primary=address, readers=(address,))
    return routes.model_copy(update={"groups": groups})


def _measure_all(
    fleet: Fleet, settings: OverheadSettings, variants: tuple[Variant, ...], writer: ResultWriter
) -> None:
    for mix in MIXES:
        for sessions in settings.sessions:
            for variant in variants:
                _measure(fleet, settings, mix, sessions, variant, writer)


def processor_s(fleet: Fleet, names: tuple[str, ...]) -> float:
    """Return the total CPU seconds that processes have used so far."""
    times = [psutil.Process(fleet.process(name).pid).cpu_times() for name in names]
    return sum(time.user + time.system for time in times)


def _profile(fleet: Fleet, mix: str, sessions: int) -> SessionProfile:
    geography = fleet.topology.geography
    tenant, user = WATCHERS[geography.name]
    return SessionProfile(
        name=mix,
        tenant=tenant,
        user=user,
        password=client_password(user),
        groups=geography.groups[:1],
        count=sessions,
        mix=MIXES[mix],
        think_ms=0,
        roam_probability=0,
    )


def _measure(
    fleet: Fleet,
    settings: OverheadSettings,
    mix: str,
    sessions: int,
    variant: Variant,
    writer: ResultWriter,
) -> None:
    load = LoadRun(
        fleet,
        f"{variant.name.replace(' ', '-')}-{mix}-{sessions}",
        (_profile(fleet, mix, sessions),),
        settings.seconds,
        min(settings.workers, sessions),
        settings.seed,
        variant.routes,
    )
    before = processor_s(fleet, variant.between)
    history = load.run()
    used_s = processor_s(fleet, variant.between) - before
    done = [
        operation for operation in history.operations if operation.outcome is ClientOutcome.DONE
    ]
    values: dict[str, Value] = {
        "statements_per_s": len(done) / settings.seconds,
        **Latencies.of(done).p50_p99("statement"),
        "failed": len(history.operations) - len(done),
    }
    if variant.between and done:
        values["processor_us"] = used_s / len(done) * MICROSECONDS
        values["statements_per_core_s"] = len(done) / used_s
    shown = f"{variant.name} {mix} sessions={sessions}"
    sizes: dict[str, Value] = {"sessions": sessions, "seconds": settings.seconds}
    geography = fleet.topology.geography.name
    writer.add(ExperimentResult(NAME, geography, shown, settings.seed, sizes, values))
