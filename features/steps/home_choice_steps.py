"""Steps for the choice of home proxies by distance and reported wait."""

from __future__ import annotations

import dataclasses
from unittest import mock

from behave import given, step, then, when

from features.steps.statement_forwarding_steps import parse_homes, step_links
from features.steps.statement_path_steps import begin, run
from features.support.home_choice_world import SAMPLE_INTERVAL_S, ChoiceWorld
from features.support.statement_homes import ForwardingPath
from features.support.statement_path import GROUP
from limedyke.core import home_choice
from limedyke.core.home_choice import ReportedLoads
from limedyke.messages.control import ConnectionLease, ProxyRecord, ProxyState
from limedyke.messages.databases import Consistency
from limedyke.messages.statements import HomeLoad

LAST_S = 1.0
SWING_S = 0.3
TOLERANCE_S = 0.001


@given("home choice: 68 proxies and nine home proxies")
def step_world(context):
    context.world = ChoiceWorld()
    context.moved_share = home_choice.moved_share


@given('home choice: the safeguard "only a part moves" is off')
def step_off(context):
    context.moved_share = lambda usual, best: 1.0


@step(
    "home choice: for {seconds:g} s region r1 sends {first:d} units a second, and r2 and r3 "
    "{others:d} each"
)
def step_run(context, seconds, first, others):
    with mock.patch.object(home_choice, "moved_share", context.moved_share):
        context.world.run(seconds, (first, others, others))


def _last(world):
    return [unit for unit in world.served if unit.at > world.now - LAST_S - SWING_S]


@then(
    "home choice: {percent:d} % of the last second's units waited less than {wait:d} ms at their "
    "home proxy"
)
def step_waited(context, percent, wait):
    waits = sorted(unit.wait_s for unit in _last(context.world))
    reached = waits[int(len(waits) * percent / 100) - 1]
    assert reached * 1_000 < wait, (reached, len(waits))


@then("home choice: at most {percent:d} % of them went to another region")
def step_away(context, percent):
    units = _last(context.world)
    far = sum(unit.is_far for unit in units) / len(units)
    assert far * 100 <= percent, far


def _largest_swing(world):
    """Return the largest change of a queue's length within ``SWING_S``."""
    looks = int(SWING_S / SAMPLE_INTERVAL_S)
    largest = 0
    for home in world.homes.values():
        lengths = home.lengths[-int(LAST_S / SAMPLE_INTERVAL_S) :]
        for first in range(len(lengths) - looks):
            window = lengths[first : first + looks]
            largest = max(largest, max(window) - min(window))
    return largest


@then("home choice: no home proxy's queue swings by more than {count:d} units within 0.3 s")
def step_no_swing(context, count):
    swing = _largest_swing(context.world)
    assert swing <= count, swing


@then("home choice: some home proxy's queue swings by more than {count:d} units within 0.3 s")
def step_swing(context, count):
    swing = _largest_swing(context.world)
    assert swing > count, swing


@when('home choice: h1 reported waits of "{writes}" ms for writes and "{reads}" ms for reads')
def step_told(context, writes, reads):
    context.loads = ReportedLoads()
    load = HomeLoad(
        tuple(int(wait) for wait in writes.split()), tuple(int(wait) for wait in reads.split())
    )
    context.loads.told("h1", "g", load, 10.0)


@when("home choice: h1 reports no wait")
def step_none(context):
    context.loads.told("h1", "g", None, 10.0)


@then("home choice: the expected wait at h1 is")
def step_expected(context):
    for row in context.table:
        now = 10.0 + int(row["after_ms"]) / 1_000
        writes = row["kind"] == "write"
        got = context.loads.wait_s("h1", "g", int(row["priority"]), writes, now)
        assert abs(got - int(row["wait_ms"]) / 1_000) < TOLERANCE_S, (dict(row.items()), got)


@given(
    "home choice: a home proxy with {count:d} connections, beside h1 and h2 in its region, and "
    "{tenants:d} tenants"
)
def step_tenants(context, count, tenants):
    homes = parse_homes("h1 in z2, h2 in z2")
    path = ForwardingPath(Consistency.SESSION, homes)
    begin(context, path)
    context.names = [f"t{number}" for number in range(tenants)]
    for name in context.names:
        path.hold_key(name, f"key-{name}")
    run(context, path.start, 16)
    own = ProxyRecord(
        path.settings.name, 1, "127.0.0.1:1", "z2", ProxyState.SERVING, region=path.settings.region
    )
    path.proxies = {
        own.name: own,
        **{
            name: dataclasses.replace(record, region=own.region)
            for name, record in path.proxies.items()
        },
    }
    run(context, path.tell_view)
    lease = ConnectionLease(GROUP, "shared", count)
    run(context, path.groups.leases_changed, (lease,), float("inf"))
    step_links(context)


@when("home choice: a client of each tenant there writes {count:d} times in turn")
def step_write_in_turn(context, count):
    async def write_all():
        clients = [(await context.path.connect("db", f"key-{name}"))[0] for name in context.names]
        answers = []
        for number in range(count):
            for name, client in zip(context.names, clients, strict=True):
                answers.append(await client.ask(f"WRITE {name}-{number} 1"))
        return answers

    context.answers = run(context, write_all)


@then('home choice: all are answered "{answer}"')
def step_all_answered(context, answer):
    assert set(context.answers) == {answer}, context.answers


@then("home choice: each tenant's writes ran at one home proxy, and each home proxy ran some")
def step_one_home(context):
    served = [context.path.served(name) for name in ("h1", "h2")]
    assert min(served) > 0 and sum(served) < len(context.answers), served
    assert all(count % (len(context.answers) // len(context.names)) == 0 for count in served)


@then("home choice: no more than {most:d} connections to the primary were opened for 48 writes")
def step_opened(context, most):
    opened = context.path.group.members["a"].opened
    assert opened <= most, opened
