"""Steps for partitions between the zones of real fleets, and for the loss of many processes."""

from __future__ import annotations

import itertools
import re
import time

from behave import given, then, when

from limedyke_lab.fleet.conditions import http_get, wait_until
from limedyke_lab.fleet.fleet import Fleet, FleetOptions
from limedyke_lab.fleet.operator import OperatorCommandError
from limedyke_lab.fleet.topology import Node
from limedyke_lab.geography import CLIENT

LEADER = "leader"
CONNECTED = "limedyke_proxy_control_connected"
REVISION = "limedyke_proxy_revision"
FIRST_CLIENT_LIMIT = 1_001
CHANGE_TIMEOUT_S = 20.0
QUORUM_LOST_TIMEOUT_S = 10.0
"""Well above the sum of a leader's lease (at most 3 s) and a proxy's silence limit."""


def _gauge(node: Node, name: str) -> float:
    """Return a gauge of a proxy; -1 when it does not answer."""
    body = http_get(node.status, "/metrics")[1]
    found = re.search(rf"^{name} ([0-9.e+]+)$", body, re.MULTILINE)
    return float(found.group(1)) if found else -1.0


def _has_quorum(node: Node) -> bool:
    return _gauge(node, CONNECTED) == 1.0


def _is_current(node: Node, revision: int) -> bool:
    return _has_quorum(node) and _gauge(node, REVISION) >= revision


def _leader(fleet: Fleet) -> str:
    rows = fleet.operator.status()["controllers"]
    return next(row["name"] for row in rows if row["role"] == LEADER)


def _zones(fleet: Fleet) -> list[str]:
    return [zone.name for zone in fleet.topology.geography.zones]


def _wait(condition, what: str, timeout_s: float = CHANGE_TIMEOUT_S) -> None:
    wait_until(condition, what, timeout_s)


def _confirm_change(context) -> None:
    """Confirm a change, retrying until a controller accepts it."""

    def confirmed() -> bool:
        try:
            context.revision = context.fleet.declare_client_limit(next(context.limits))
        except OperatorCommandError:
            return False
        return True

    _wait(confirmed, "a change is confirmed")


@given("regions: a fleet of {proxies:d} proxies in 3 zones, each with a controller")
def given_fleet(context, proxies):
    options = FleetOptions(
        name="regions", run_root=context.folder, delays=False, proxies=proxies, controllers=3
    )
    context.fleet = Fleet(options)
    context.add_cleanup(context.fleet.stop)
    context.fleet.start()
    context.limits = itertools.count(FIRST_CLIENT_LIMIT)
    context.revision = 0
    zones = {node.zone.name for node in context.fleet.topology.controllers}
    assert len(zones) == 3, zones


@when("regions: the zone of the leading controller is cut off")
def when_leader_cut_off(context):
    fleet = context.fleet
    context.lost_zone = fleet.node(_leader(fleet)).zone.name
    for place in [*_zones(fleet), CLIENT]:
        if place != context.lost_zone:
            fleet.relays.cut(context.lost_zone, place)
    context.inside = [n for n in fleet.topology.proxies if n.zone.name == context.lost_zone]
    context.outside = [n for n in fleet.topology.proxies if n not in context.inside]
    assert context.inside and context.outside


@when("regions: every zone is cut off from every other")
def when_all_apart(context):
    for first, second in itertools.combinations(_zones(context.fleet), 2):
        context.fleet.relays.cut(first, second)


@then("regions: proxies outside it follow a leader, and those inside are without a quorum")
def then_majority_goes_on(context):
    _wait(
        lambda: not any(_has_quorum(node) for node in context.inside),
        "no proxy inside has a quorum",
        QUORUM_LOST_TIMEOUT_S,
    )
    _wait(
        lambda: all(_has_quorum(node) for node in context.outside),
        "all outside follow a leader",
    )


@when("regions: an operator outside confirms a change")
def when_change(context):
    _confirm_change(context)


@then("regions: the change is applied outside, and not inside for {seconds:d} s more")
def then_outside_only(context, seconds):
    revision = context.revision
    _wait(
        lambda: all(_gauge(node, REVISION) >= revision for node in context.outside),
        "the change is applied outside",
    )
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for node in context.inside:
            assert 0 <= _gauge(node, REVISION) < revision, node.name
            assert not _has_quorum(node), node.name


@then("regions: all proxies are without a quorum, and stay so for {seconds:d} s more")
def then_nobody(context, seconds):
    proxies = context.fleet.topology.proxies
    _wait(
        lambda: not any(_has_quorum(node) for node in proxies),
        "no proxy has a quorum",
        QUORUM_LOST_TIMEOUT_S,
    )
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        assert not any(_has_quorum(node) for node in proxies)


@when("regions: the cuts are healed")
def when_healed(context):
    context.fleet.relays.heal_all()


@then("regions: every proxy follows a leader and has applied the change within {seconds:d} s")
def then_all_current(context, seconds):
    proxies = context.fleet.topology.proxies
    _wait(
        lambda: all(_is_current(node, context.revision) for node in proxies),
        "all proxies are current",
        seconds,
    )


@when("regions: {number:d} proxies are killed and start again while a change is confirmed")
def when_proxies_restart(context, number):
    names = [node.name for node in context.fleet.topology.proxies[:number]]
    for name in names:
        context.fleet.kill(name)
    for name in names:
        context.fleet.restart(name)
    _confirm_change(context)


@when("regions: the leading controller is killed while a change is confirmed")
def when_leader_killed(context):
    name = _leader(context.fleet)
    context.fleet.kill(name)
    _confirm_change(context)
    context.fleet.restart(name)


@when("regions: the members of a zone are killed while a change is confirmed")
def when_members_killed(context):
    fleet = context.fleet
    context.lost_zone = fleet.topology.members[0].node.zone.name
    for member in fleet.topology.members:
        if member.node.zone.name == context.lost_zone:
            fleet.kill(member.node.name)
    _confirm_change(context)


@then("regions: every group has a primary outside that zone within {seconds:d} s")
def then_primaries(context, seconds):
    fleet = context.fleet

    def moved(group: str) -> bool:
        primary = fleet.members.primary_of(group)
        return primary is not None and primary.node.zone.name != context.lost_zone

    groups = fleet.topology.geography.groups
    _wait(lambda: all(moved(group) for group in groups), "all groups have a primary", seconds)
