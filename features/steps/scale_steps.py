"""Steps for the arithmetic and the declaration of a scale run."""

from __future__ import annotations

import math
from collections import Counter

import curio
from behave import given, then, when

from limedyke.core.home import HomeDirectory
from limedyke.messages.codec import encode
from limedyke.messages.control import ControlSnapshot, GroupPrimary, ProxyRecord, ProxyState
from limedyke_lab.scale.declarations import build_declaration, change_one_group
from limedyke_lab.scale.faults import FaultScenarios
from limedyke_lab.scale.measurements import Recorder, percentile
from limedyke_lab.scale.real_nodes import HOME_PROXIES, groups_of_proxies
from limedyke_lab.scale.scale_fleet import FleetSize, ScaleFleet
from limedyke_lab.scale.scenarios import ScaleScenarios
from limedyke_lab.scale.sizes import (
    STEPS,
    ZONES,
    ScaleSize,
    group_name,
    proxy_name,
    zone_name,
    zone_of_proxy,
)
from limedyke_lab.scale.slopes import fit_slope
from limedyke_lab.scale.witness import Witness

TOLERANCE = 1e-3


@when("scale: costs of {constant:g} plus {per_node:g} a node plus {per_group:g} a group are fitted")
def step_fit(context, constant, per_node, per_group):
    costs = [constant + per_node * size.nodes + per_group * size.groups for size in STEPS]
    context.expected = (constant, per_node, per_group)
    context.slope = fit_slope(STEPS, costs)


@then("scale: the fit gives them back within a thousandth")
def step_fitted(context):
    slope = context.slope
    found = (slope.constant, slope.per_node, slope.per_group)
    for value, expected in zip(found, context.expected, strict=True):
        assert math.isclose(value, expected, rel_tol=TOLERANCE, abs_tol=TOLERANCE), found
    assert slope.residual < TOLERANCE


@when("scale: costs at sizes on one line are fitted")
def step_fit_line(context):
    context.error = None
    try:
        fit_slope([ScaleSize(n, 2 * n) for n in (50, 100, 200)], [1.0, 2.0, 4.0])
    except ValueError as error:
        context.error = error


@then("scale: the fit is refused")
def step_refused(context):
    assert context.error is not None


@then("scale: the {percent:d} percentile of {values} is {expected:d}")
def step_percentile(context, percent, values, expected):
    assert percentile([float(value) for value in values.split(",")], percent) == expected


@when("scale: a declaration of {groups:d} groups is built")
def step_declaration(context, groups):
    context.declaration = build_declaration(groups, lambda group, member: "127.0.0.1:5432")


@then("scale: each group has its members in 3 regions")
def step_regions(context):
    zones = [zone_name(number + 1) for number in range(ZONES)]
    for group in context.declaration.groups:
        regions = {zones.index(member.zone) // 2 for member in group.members}
        assert len(regions) == 3, group


@then("scale: each zone holds a sixth of the first members")
def step_primaries(context):
    counts = Counter(group.members[0].zone for group in context.declaration.groups)
    assert set(counts.values()) == {len(context.declaration.groups) // ZONES}


@then("scale: each of {changes:d} changes touches exactly one group")
def step_changes(context, changes):
    declaration = context.declaration
    for change in range(changes):
        changed = change_one_group(declaration, change)
        pairs = zip(declaration.groups, changed.groups, strict=True)
        assert sum(before != after for before, after in pairs) == 1
        declaration = changed


@when(
    "scale: the groups of the first {proxies:d} proxies of {nodes:d} nodes and {groups:d} groups"
    " are worked out"
)
def step_real_groups(context, proxies, nodes, groups):
    context.size = ScaleSize(nodes, groups)
    context.names = {proxy_name(number) for number in range(proxies)}
    context.real_groups = groups_of_proxies(context.size, proxies)


@then("scale: they are the groups that have one of them as a home proxy")
def step_real_homes(context):
    records = [
        ProxyRecord(proxy_name(n), 1, "127.0.0.1:1", zone_of_proxy(n), ProxyState.SERVING)
        for n in range(context.size.nodes)
    ]
    names = [group_name(number) for number in range(context.size.groups)]
    directory = HomeDirectory.of(HOME_PROXIES, records, dict.fromkeys(names, 0))
    expected = {name for name in names if context.names & set(directory.homes(name))}
    assert {group_name(number) for number in context.real_groups} == expected


@then("scale: there are between {least:d} and {most:d}")
def step_real_count(context, least, most):
    assert least <= len(context.real_groups) <= most, context.real_groups


@given("scale: a witness of a {kind} group with members in 3 zones")
def step_witness(context, kind):
    declaration = build_declaration(1, lambda group, member: "127.0.0.1:5432")
    context.group = declaration.groups[0]
    name = context.group.name
    context.witness = Witness({name} if kind == "real" else set())
    primary = GroupPrimary(name, 1, context.group.members[0].name)
    snapshot = ControlSnapshot(1, 1, declaration, (primary,), ())
    context.witness.take(encode(snapshot))


@when("scale: {loss} is lost")
def step_loss(context, loss):
    if loss == "the zone":
        context.witness.lose_zone(context.group.members[0].zone)
    elif loss == "the primary":
        context.witness.lose_primary(context.group.name)


@then('scale: the members reported unreachable are "{names:Anything}"')
def step_unreachable(context, names):
    reports = context.witness.lost_reports(context.group)
    assert ",".join(report.member for report in reports) == names


@then('scale: a promotion would choose "{member}"')
def step_chosen(context, member):
    assert context.witness.survivor(context.group.name) == member


async def _go_through_faults(fleet: ScaleFleet, recorder: Recorder) -> None:
    scenarios = ScaleScenarios(fleet, recorder)
    faults = FaultScenarios(fleet, recorder)
    try:
        await fleet.start()
        await scenarios.start()
        await scenarios.steady(seconds=1.0)
        await faults.primaries_lost()
        await faults.restarts_spread()
        await faults.day_in_a_burst()
        await faults.restart_all(lost_disks=False)
        await faults.zone_lost()
    finally:
        await fleet.end()


@when(
    "scale: a run of {nodes:d} nodes and {groups:d} groups with {real:d} real proxy goes through"
    " its faults"
)
def step_run(context, nodes, groups, real):
    recorder = Recorder(context.folder / "scale.jsonl")
    fleet = ScaleFleet(context.folder / "fleet", FleetSize(ScaleSize(nodes, groups), real))
    curio.run(_go_through_faults, fleet, recorder)
    context.measurements = recorder.measurements


@then("scale: it measured these times, all below {limit_s:d} s")
def step_times(context, limit_s):
    for row in context.table:
        times = [
            m
            for m in context.measurements
            if (m.scenario, m.role, m.unit) == (row["scenario"], row["role"], "s")
        ]
        assert times, row
        assert all(m.value < limit_s for m in times), times


@then("scale: the real proxy and its 3 controllers were measured")
def step_roles(context):
    roles = Counter(m.role for m in context.measurements if m.key[::2] == ("steady", "cpu"))
    assert roles == {"leader": 1, "follower": 2, "real proxy": 1}, roles
