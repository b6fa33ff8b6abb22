"""Experiment ``config-storm``: time until a change is in force, and racing operators."""

from __future__ import annotations

import http.client
import re
import time
from dataclasses import dataclass, replace

import curio
from result import Result

from limedyke.addresses import split_address
from limedyke.cli.operator_client import OperatorClient, load_operator, new_request_id
from limedyke.messages.declaration import Declaration
from limedyke.messages.operator import (
    Confirmed,
    ConfirmRequest,
    DeclarationInForce,
    DeclarationRequest,
    Plan,
    PlanRequest,
)
from limedyke.result_codes import Failure
from limedyke_lab.experiments.result import ExperimentResult, Latencies, ResultWriter, Value
from limedyke_lab.experiments.revision_watch import RevisionRiseTimer
from limedyke_lab.experiments.settings_file import ConfigStormSettings, load_experiment
from limedyke_lab.fleet.fleet import Fleet, FleetOptions
from limedyke_lab.fleet.revisions import HTTP_TIMEOUT_S, RevisionProbe

NAME = "config-storm"
FIRST_CLIENT_LIMIT = 1_000
IN_FORCE_TIMEOUT_S = 20.0
RESEND_EACH = 10
_COMMITS = re.compile(
    rb"^limedyke_controller_commit_seconds_(sum|count) ([0-9.e+-]+)$", re.MULTILINE
)


@dataclass(frozen=True, slots=True)
class Change:
    """A confirmed change, with the times of its confirmation request and response."""

    confirmed: Confirmed
    sent_at: float
    answered_at: float

    @property
    def confirm_ms(self) -> float:
        """Milliseconds from sending the confirmation to its response."""
        return (self.answered_at - self.sent_at) * 1_000


class StormOperator:
    """An operator client that plans and confirms changes."""

    def __init__(self, fleet: Fleet) -> None:
        self._settings, self._identity = load_operator(fleet.files.settings("operator")).unwrap()

    async def ask(self, request: object, first: int = 0) -> Result[object, Failure]:
        """Send one request to the leader with a new client.

        :param first: index of the controller to contact first
        """
        addresses = self._settings.controllers
        turned = addresses[first:] + addresses[:first]
        settings = self._settings.model_copy(update={"controllers": turned})
        return await OperatorClient(settings, self._identity).ask(request)

    async def declaration(self) -> DeclarationInForce:
        """Return the declaration in force."""
        return (await self.ask(DeclarationRequest(new_request_id()))).unwrap()

    async def plan(self, declaration: Declaration, base_revision: int) -> object:
        """Plan a declaration; return the plan or the refusal."""
        return (await self.ask(PlanRequest(new_request_id(), declaration, base_revision))).unwrap()

    async def confirm(self, plan_id: str) -> object:
        """Confirm a plan; return the confirmation or the refusal."""
        return (await self.ask(ConfirmRequest(new_request_id(), plan_id))).unwrap()

    async def confirm_twice(self, plan_id: str) -> bool:
        """Confirm a confirmed plan again through two controllers; return whether they agree."""
        request = ConfirmRequest(new_request_id(), plan_id)
        answers = [(await self.ask(request, first)).unwrap() for first in (0, 1)]
        return answers[0] == answers[1]

    async def change(self, limit: int, declared: DeclarationInForce) -> Change:
        """Plan and confirm a change of one client limit."""
        wanted = with_client_limit(declared.declaration, limit)
        plan = await self.plan(wanted, declared.revision)
        sent_at = time.monotonic()
        confirmed = await self.confirm(plan.plan_id)
        return Change(confirmed, sent_at, time.monotonic())


def with_client_limit(declaration: Declaration, limit: int) -> Declaration:
    """Return the declaration with another client limit for its first tenant."""
    first, *others = declaration.tenants
    return replace(declaration, tenants=(replace(first, client_limit=limit), *others))


def run(geography: str, writer: ResultWriter) -> None:
    """Measure single changes, a storm of changes, racing operators and a full restart."""
    settings = load_experiment(ConfigStormSettings, NAME)
    with Fleet(FleetOptions(geography=geography, name=f"{NAME}-{geography}")) as fleet:
        operator = StormOperator(fleet)
        writer.add(_changes(fleet, operator, settings))
        writer.add(_storm(fleet, operator, settings))
        writer.add(_races(fleet, operator, settings))
        writer.add(_restart(fleet, settings))


def _changes(
    fleet: Fleet, operator: StormOperator, settings: ConfigStormSettings
) -> ExperimentResult:
    """Confirm changes one by one, waiting until each is in force on every proxy."""
    changes: list[Change] = []
    commits = _commits(fleet)
    with RevisionRiseTimer(fleet.topology.proxies) as watch:
        declared = curio.run(operator.declaration)
        for number in range(settings.changes):
            change = curio.run(operator.change, FIRST_CLIENT_LIMIT + number, declared)
            changes.append(change)
            declared = replace(declared, revision=change.confirmed.revision)
            watch.wait_for(change.confirmed.revision, IN_FORCE_TIMEOUT_S)
    values = _values(changes, watch)
    values["commit_mean_ms"] = _mean_commit_ms(commits, _commits(fleet))
    return _result(fleet, settings, "changes", values)


def _storm(
    fleet: Fleet, operator: StormOperator, settings: ConfigStormSettings
) -> ExperimentResult:
    """Confirm a day's changes without pauses, and resend some confirmations."""
    changes: list[Change] = []
    resent_alike = []
    started = time.monotonic()
    with RevisionRiseTimer(fleet.topology.proxies) as watch:
        declared = curio.run(operator.declaration)
        for number in range(settings.storm_changes):
            limit = FIRST_CLIENT_LIMIT + settings.changes + number
            change = curio.run(operator.change, limit, declared)
            changes.append(change)
            declared = replace(declared, revision=change.confirmed.revision)
            if number % RESEND_EACH == 0:
                plan_id = change.confirmed.plan_id
                resent_alike.append(curio.run(operator.confirm_twice, plan_id))
        watch.wait_for(declared.revision, IN_FORCE_TIMEOUT_S)
    values = _values(changes, watch)
    values["seconds"] = changes[-1].answered_at - started
    values["resent"] = len(resent_alike)
    values["resent_alike"] = sum(resent_alike)
    return _result(fleet, settings, "storm", values)


def _values(changes: list[Change], watch: RevisionRiseTimer) -> dict[str, Value]:
    confirms, in_force = Latencies(), Latencies()
    late = 0
    for change in changes:
        confirms.add_ms(change.confirm_ms)
        seconds = watch.reached_at(change.confirmed.revision) - change.sent_at
        late += seconds > IN_FORCE_TIMEOUT_S
        in_force.add_ms(min(seconds, IN_FORCE_TIMEOUT_S) * 1_000)
    revisions = [change.confirmed.revision for change in changes]
    return {
        "changes": len(changes),
        "revision": revisions[-1],
        "revisions_missing": revisions[-1] - revisions[0] + 1 - len(set(revisions)),
        "went_back": watch.went_back,
        "not_in_force": late,
        **confirms.p50_p99("confirm"),
        **in_force.p50_p99("in_force"),
    }


def _commits(fleet: Fleet) -> tuple[float, float]:
    """Return the total seconds and number of commits, summed over all controllers."""
    totals = {b"sum": 0.0, b"count": 0.0}
    for node in fleet.topology.controllers:
        connection = http.client.HTTPConnection(*split_address(node.status), timeout=HTTP_TIMEOUT_S)
        try:
            connection.request("GET", "/metrics")
            for name, value in _COMMITS.findall(connection.getresponse().read()):
                totals[name] += float(value)
        finally:
            connection.close()
    return totals[b"sum"], totals[b"count"]


def _mean_commit_ms(before: tuple[float, float], after: tuple[float, float]) -> float:
    seconds, count = after[0] - before[0], after[1] - before[1]
    return seconds / count * 1_000 if count else 0.0


def _races(
    fleet: Fleet, operator: StormOperator, settings: ConfigStormSettings
) -> ExperimentResult:
    winners = []
    for race in range(settings.races):
        past = settings.changes + settings.storm_changes + race * settings.racing_operators
        limit = FIRST_CLIENT_LIMIT + past
        winners.append(curio.run(_race, operator, settings.racing_operators, limit))
    values: dict[str, Value] = {
        "races": settings.races,
        "operators": settings.racing_operators,
        "races_with_one_winner": sum(count == 1 for count in winners),
        "races_with_more": sum(count > 1 for count in winners),
    }
    return _result(fleet, settings, "races", values)


async def _race(operator: StormOperator, operators: int, limit: int) -> int:
    """Confirm different plans for one base revision concurrently; return how many succeed."""
    present = await operator.declaration()
    plans = []
    for number in range(operators):
        changed = with_client_limit(present.declaration, limit + number)
        plans.append(await operator.plan(changed, present.revision))
    async with curio.TaskGroup() as tasks:
        for plan in plans:
            if isinstance(plan, Plan):
                await tasks.spawn(operator.confirm, plan.plan_id)
    return sum(isinstance(answer, Confirmed) for answer in tasks.results)


def _restart(fleet: Fleet, settings: ConfigStormSettings) -> ExperimentResult:
    """Restart all product processes at once and check that the revision is kept."""
    probes = [RevisionProbe(node) for node in fleet.topology.proxies]
    before = max(probe.revision() for probe in probes)
    nodes = (*fleet.topology.controllers, *fleet.topology.proxies)
    for node in nodes:
        fleet.kill(node.name)
    began = time.monotonic()
    for node in nodes:
        fleet.restart(node.name)
    fleet.wait_for_proxies()
    ready_ms = (time.monotonic() - began) * 1_000
    lowest = min(RevisionProbe(node).revision() for node in fleet.topology.proxies)
    values: dict[str, Value] = {
        "revision_before": before,
        "lowest_revision_after": lowest,
        "ready_ms": ready_ms,
    }
    return _result(fleet, settings, "restart of all", values)


def _result(
    fleet: Fleet, settings: ConfigStormSettings, variant: str, values: dict[str, Value]
) -> ExperimentResult:
    geography = fleet.topology.geography.name
    sizes: dict[str, Value] = {"proxies": len(fleet.topology.proxies)}
    return ExperimentResult(NAME, geography, variant, settings.seed, sizes, values)
