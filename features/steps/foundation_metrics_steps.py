"""Steps for the metrics: the code updates each one, and the page names only existing ones."""

from __future__ import annotations

import re
from pathlib import Path

from behave import then, when
from prometheus_client import CollectorRegistry

from limedyke.controller.leading.leader_metrics import LeaderMetrics
from limedyke.controller.metrics import ControllerMetrics
from limedyke.core.control.events import (
    AnswerHeartbeat,
    DisconnectProxy,
    MemberReported,
    PromotionAnswered,
    SendToProxy,
)
from limedyke.core.control.leader import EARLIER_PROCESS, LEASES_EXPIRED
from limedyke.messages.control import (
    ConnectionLease,
    ControlUpdate,
    GroupPrimary,
    LeaseUpdate,
    MemberHealth,
    MemberReport,
    PromoteOrder,
)
from limedyke.metrics import new_registry
from limedyke.proxy.back_ends import BackEndStats
from limedyke.proxy.members.pool_gauges import PoolGauges
from limedyke.proxy.metrics import ProxyMetrics

ROOT = Path(__file__).resolve().parents[2]
CLASSES = {"proxy": ProxyMetrics, "controller": ControllerMetrics}
REPORT = MemberReport("g", "m", MemberHealth.UNREACHABLE, 1, 0, False)
LOST = ControlUpdate(1, 2, 1, primaries=(GroupPrimary("g", 2, ""),))
RECORDED = ControlUpdate(2, 3, 1, primaries=(GroupPrimary("g", 2, "m"),))
SAMPLE = re.compile(r"(\w+)(?:\{(\w+)=([\w-]+)\})?")


def _lease(connections: int) -> SendToProxy:
    return SendToProxy("p", LeaseUpdate((ConnectionLease("g", "t", connections),)))


def _lose_and_record(meter: LeaderMetrics) -> None:
    meter.state_changed(LOST, 10.0)
    meter.state_changed(RECORDED, 12.0)


ACTIONS = {
    "answers a heartbeat": lambda meter: meter.decided(AnswerHeartbeat("p", 1)),
    "hears that a member is unreachable": lambda meter: meter.heard(MemberReported("p", REPORT)),
    "orders a promotion": lambda meter: meter.decided(SendToProxy("p", PromoteOrder("g", 2, ""))),
    "hears of a promotion done": lambda meter: meter.heard(PromotionAnswered("p", "g", 2, "m")),
    "hears of a promotion failed": lambda meter: meter.heard(PromotionAnswered("p", "g", 2, "")),
    "grants a lease": lambda meter: meter.decided(_lease(3)),
    "takes a lease back": lambda meter: meter.decided(_lease(0)),
    "lets a proxy go whose leases ended": lambda meter: meter.decided(
        DisconnectProxy("p", LEASES_EXPIRED)
    ),
    "lets a proxy go for another reason": lambda meter: meter.decided(
        DisconnectProxy("p", EARLIER_PROCESS)
    ),
    "records a primary 2 s after a loss": _lose_and_record,
    "records a first primary": lambda meter: meter.state_changed(RECORDED, 12.0),
}


@then("metrics: the code of a {process} uses each of its metrics")
def step_used(context, process):
    metrics = CLASSES[process](CollectorRegistry())
    names = {name for name in vars(metrics) if not name.startswith("_")}
    assert names
    files = (ROOT / "limedyke" / process).rglob("*.py")
    text = "".join(path.read_text() for path in files)
    if "count_refusal(" in text:
        names.discard("refusals")
    if "count_read(" in text:
        names.discard("reads")
    unused = {name for name in names if not re.search(rf"metrics\.{name}\b", text)}
    assert not unused, f"declared and never updated: {sorted(unused)}"


@then("metrics: each name in docs/OPERATING.md is exported by a process")
def step_page(context):
    registry = new_registry()
    ProxyMetrics(registry)
    ControllerMetrics(registry)
    shown = set()
    for family in registry.collect():
        shown |= {family.name, f"{family.name}_total"}
    page = (ROOT / "docs" / "OPERATING.md").read_text()
    named = set(re.findall(r"`((?:limedyke_(?:proxy|controller)|process)_\w+)", page))
    assert named
    assert named <= shown, f"no such metric: {sorted(named - shown)}"


@when("metrics: a leader {does}")
def step_leader(context, does):
    context.registry = CollectorRegistry()
    ACTIONS[does](LeaderMetrics(ControllerMetrics(context.registry)))


@when("metrics: the pools report as opened connections, in turn, {seen}")
def step_pools(context, seen):
    context.registry = CollectorRegistry()
    gauges = PoolGauges(ProxyMetrics(context.registry))
    for opened in map(int, seen.split(",")):
        stats = BackEndStats(
            idle=0,
            busy=0,
            opening=0,
            opened=opened,
            failed=0,
            leased=0,
            waiting=0,
            running_units=0,
            open_transactions=0,
        )
        gauges.refresh(stats)


@then('metrics: "{sample}" is {value:d}')
def step_sample(context, sample, value):
    name, label, label_value = SAMPLE.fullmatch(sample).groups()
    labels = {label: label_value} if label else {}
    assert (context.registry.get_sample_value(name, labels) or 0) == value
