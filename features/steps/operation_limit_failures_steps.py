"""Steps on operation limits while leaders die, proxies lose power and links are cut."""

from __future__ import annotations

import time

import curio
from behave import given, then, when

from features.steps.statement_path_steps import run
from features.support.leaders_world import LEASE_S, LeadersWorld
from limedyke.core.limits.operation_allowance import OperationAllowance
from limedyke.core.limits.operation_limits import OperationLimits

SEEDS = range(1, 6)
WARM_UP_S = 6.0
AFTER_S = 6.0
WITHOUT_LEADER_S = 0.4
CUT = 4
WITHOUT_POWER = 7


def _leader_dies(world: LeadersWorld) -> None:
    world.leader_dies(WITHOUT_LEADER_S)


def _three_leaders_die(world: LeadersWorld) -> None:
    for _ in range(3):
        world.leader_dies(WITHOUT_LEADER_S)
        world.play(0.6)


def _power_is_lost(world: LeadersWorld) -> None:
    world.power(WITHOUT_POWER, is_on=False)
    world.play(1.4)
    world.power(WITHOUT_POWER, is_on=True)


def _leader_dies_then_power(world: LeadersWorld) -> None:
    world.leader_dies(WITHOUT_LEADER_S)
    world.play(1.4)
    _power_is_lost(world)


def _leader_dies_with_power(world: LeadersWorld) -> None:
    world.power(WITHOUT_POWER, is_on=False)
    world.leader_dies(WITHOUT_LEADER_S)
    world.play(1.0)
    world.power(WITHOUT_POWER, is_on=True)


def _cut(world: LeadersWorld) -> None:
    world.cut(CUT, is_cut=True)
    world.play(5.0)
    world.cut(CUT, is_cut=False)


def _leader_dies_in_cut(world: LeadersWorld) -> None:
    world.cut(CUT, is_cut=True)
    world.play(1.5)
    world.leader_dies(WITHOUT_LEADER_S)
    world.play(4.0)
    world.cut(CUT, is_cut=False)


def _all_lose_power(world: LeadersWorld, seconds: float = 1.4) -> None:
    """Cut the power of all proxies and controllers; clients reconnect with the proxies."""
    count = len(world.proxies)
    world.power(count, is_on=False)
    world.let_time_pass(seconds)
    world.power(count, is_on=True)
    world.leader_dies(WITHOUT_LEADER_S, knows_predecessor=False)


def _clients_come_back(world: LeadersWorld) -> None:
    """Let clients repeat the operations that failed during the power loss."""
    _all_lose_power(world)
    world.set_load(2.5 * world.load)
    world.play(0.8)
    world.set_load(world.load)


def _all_lose_power_again(world: LeadersWorld) -> None:
    for _ in range(3):
        _all_lose_power(world, 0.2)
        world.play(0.8)


def _leader_hangs(world: LeadersWorld) -> None:
    world.leader_dies(2.0)


FAILURES = {
    "a leader hangs for 2 s": _leader_hangs,
    "a leader dies": _leader_dies,
    "three leaders die within 3 s": _three_leaders_die,
    "7 proxies lose power for 1.4 s": _power_is_lost,
    "a leader dies, then 7 proxies lose power": _leader_dies_then_power,
    "a leader dies with 7 proxies": _leader_dies_with_power,
    "4 proxies are cut off for 5 s": _cut,
    "all lose power for 1.4 s": _all_lose_power,
    "all lose power, clients come back at once": _clients_come_back,
    "all lose power for 0.2 s, three times": _all_lose_power_again,
    "a leader dies while 4 proxies are cut off": _leader_dies_in_cut,
}


@given(
    "limits and failures: {count:d} proxies, and a tenant of {rate:g} a second and {burst:d} at "
    "{percent:d} %"
)
def step_world(context, count, rate, burst, percent):
    context.rate = rate
    context.worlds = [LeadersWorld(rate, burst, count, percent / 100, seed) for seed in SEEDS]
    for world in context.worlds:
        world.play(WARM_UP_S)
        if percent <= 100:
            world.refused.clear()


@given(
    "limits and failures: {count:d} proxies, and a tenant of {rate:g} a second and {burst:d} at "
    "{percent:d} %, since {since_s:g} s"
)
def step_recent_world(context, count, rate, burst, percent, since_s):
    context.worlds = [LeadersWorld(rate, burst, count, percent / 100, seed) for seed in SEEDS]
    for world in context.worlds:
        world.play(since_s)
        world.refused.clear()


@when("limits and failures: clients send three times the limit, and {pause_s:g} s later {what}")
def step_suddenly(context, pause_s, what):
    for world in context.worlds:
        world.set_load(3 * context.rate)
        world.play(pause_s)
    step_fails(context, what)


@when("limits and failures: it happens that {what}")
def step_fails(context, what):
    for world in context.worlds:
        FAILURES[what](world)
        world.play(AFTER_S)


@then(
    "limits and failures: at most {most:d} are refused for each seed, and no window holds more "
    "than the limit bears"
)
def step_refused(context, most):
    refused = [len(world.refused) for world in context.worlds]
    step_bound(context)
    assert max(refused) <= most, refused


@then("limits and failures: no window holds more than the limit bears")
def step_bound(context):
    found = [world.most_in_window() for world in context.worlds]
    assert max(found) <= context.worlds[0].bound, (found, context.worlds[0].bound)


@given("limits and failures: {which} does not report its use to new leaders")
def step_earlier_version(context, which):
    for world in context.worlds:
        world.reporting = 0 if which == "each proxy" else len(world.proxies) // 2


@when("limits and failures: another leader leads, and the proxy links to it")
def step_next_leader(context):
    path = context.path
    path.leader = OperationLimits(path.tenants, LEASE_S, time.monotonic(), time.monotonic() - 100.0)
    path.leader.set_connected_share(0.0, time.monotonic())
    run(context, path.limits.link_opened)
    run(context, curio.sleep, 0.1)
    path.leader.set_connected_share(1.0, time.monotonic())


@then("limits and failures: it got one report, of at least {count:d} operations and a share")
def step_reported(context, count):
    reports = [report for message in context.path.asked for report in message.reports]
    assert len(reports) == 1, reports
    assert sum(reports[0].granted) >= count, reports
    assert 0 < reports[0].alone_per_minute <= reports[0].alone_of_per_minute, reports


@then("limits and failures: that leader's bucket holds less than {most:d}")
def step_bucket(context, most):
    bucket = context.path.leader._budgets["one"].bucket
    assert bucket.tokens < most, bucket


@then("limits and failures: in 5 s at most {most:d} messages go to the leader, and none is refused")
def step_messages(context, most):
    for world in context.worlds:
        before = world.messages
        world.play(5.0)
        assert world.messages - before <= most, world.messages - before
        assert not world.refused, len(world.refused)


@given("limits and failures: the proxy has run for {seconds:g} s")
def step_has_run(context, seconds):
    context.path.limits._began_at -= seconds


@given("limits and failures: a proxy that lost the leader and has no share")
def step_no_share(context):
    context.allowance = OperationAllowance()
    context.allowance.count_granted(0, 0.0, 1_000.0)


@when("limits and failures: {count:d} operations arrive")
def step_arrive(context, count):
    context.after_s = []
    for _ in range(count):
        assert not context.allowance.take_reserve(1_000.0)
        context.after_s.append(context.allowance.retry_after_s(1_000.0))


@then(
    "limits and failures: each gets a retry time within {last_s:g} s, at most {most:d} within "
    "the same {span_ms:d} ms"
)
def step_spread(context, last_s, most, span_ms):
    after = sorted(context.after_s)
    assert after[0] > 0 and after[-1] <= last_s, (after[0], after[-1])
    for first in after:
        within = sum(first <= other < first + span_ms / 1_000 for other in after)
        assert within <= most, within
