"""Steps for the choice of the controller that a proxy dials next, with simulated time."""

from __future__ import annotations

import random

from behave import given, then, when

from limedyke.proxy.control.controller_selector import ControllerSelector

REFUSAL_S = 0.002
"""Time in which a running machine without a listener refuses a connection."""
SEEDS = range(50)


def _choice(context, seed: int) -> ControllerSelector:
    return ControllerSelector(context.addresses, random.Random(seed), context.longest_pause_s)


@given("leader search: {count:d} controllers, pauses of up to {longest:d} ms")
def step_controllers(context, count, longest):
    context.addresses = tuple(f"10.0.0.{number}:1" for number in range(1, count + 1))
    context.longest_pause_s = longest / 1_000


@when("leader search: each of them refuses a proxy for {refused:d} ms, and answers it after that")
def step_refused(context, refused):
    context.late_s = []
    context.last_pauses_s = []
    for seed in SEEDS:
        choice = _choice(context, seed)
        now = pause_s = 0.0
        while now < refused / 1_000:
            choice.next_address()
            pause_s = choice.pause_s()
            now += REFUSAL_S + pause_s
        context.late_s.append(now - refused / 1_000)
        context.last_pauses_s.append(pause_s)


@then("leader search: the proxy asks again within {limit:d} ms of that, with each of 50 seeds")
def step_soon(context, limit):
    assert max(context.late_s) <= limit / 1_000, sorted(context.late_s)[-5:]


@then("leader search: its last pauses were {least:d} ms to {most:d} ms long, with each of 50 seeds")
def step_seldom(context, least, most):
    assert all(least <= 1_000 * pause_s <= most for pause_s in context.last_pauses_s)


@when("leader search: a proxy that was refused {count:d} times learns that {leader} leads")
def step_redirected(context, count, leader):
    context.choice = _choice(context, 1)
    for _ in range(count):
        context.choice.next_address()
    context.choice.redirect(leader)


@then("leader search: it asks {leader} next, after a pause of {limit:d} ms or less")
def step_next(context, leader, limit):
    assert context.choice.pause_s() <= limit / 1_000
    assert context.choice.next_address() == leader
