"""Mutants of what keeps tenants apart and within their limits."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager
from unittest import mock

import curio

from features.mutants.mutant import Mutant
from features.support.leaders_world import LeadersWorld
from features.support.limits_world import PROXIES, LimitsWorld
from features.support.statement_path import GROUP, StatementPath
from limedyke.core.access_keys import AccessKeys
from limedyke.core.limits import operation_allowance, operation_limits
from limedyke.core.limits.operation_allowance import OperationAllowance
from limedyke.core.limits.operation_limits import OperationLimits
from limedyke.core.limits.token_bucket import TokenBucket
from limedyke.core.limits.use_window import UseWindow
from limedyke.messages.control import ConnectionLease
from limedyke.messages.databases import Consistency
from limedyke.proxy.statements.members import idle_connections

RATE, BURST = 20.0, 20
MOST_IN_WINDOW = (RATE * 5 + BURST) * 1.1 + 20
"""Within 5 s, with the share and the number by which a limit may be exceeded."""
ONE_OF_TWO_RUNS = 6


async def _tenants_are_mixed() -> bool:
    """Have two tenants write in turn over one connection; tell whether one ran for the other."""
    path = StatementPath(Consistency.SESSION)
    path.hold_key("one", "k1")
    path.hold_key("two", "k2")
    await path.start()
    await path.groups.leases_changed((ConnectionLease(GROUP, "shared", 1),), float("inf"))
    clients = {name: (await path.connect("db", f"k{n}"))[0] for n, name in ((1, "one"), (2, "two"))}
    for _ in range(ONE_OF_TWO_RUNS):
        for name, client in clients.items():
            await client.ask(f"WRITE {name} 1")
    await path.stop()
    return any(run.text.split(" ")[1] != run.tenant for run in path.group.runs)


async def _removed_key_is_served() -> bool:
    """Take a key away from an open session; tell whether it is served on."""
    path = StatementPath(Consistency.SESSION)
    path.hold_key("one", "k1")
    await path.start()
    client, _ = await path.connect("db", "k1")
    path.hold_key("one", "k9")
    await path.tell_view()
    told = await client.ask("WRITE x 1")
    await path.stop()
    return told == "done I"


def _passes_limit_after_leader_change() -> bool:
    """Ask one leader after the other, each a second; tell whether the limit was passed."""
    world = LimitsWorld(RATE, BURST, 100.0)
    for _ in range(5):
        world.limits = OperationLimits(world.tenants, 12.0, world.now)
        world.play(PROXIES, (), 8, 1.0)
    return world.most_in_window() > MOST_IN_WINDOW


def _passes_limit_under_many_leaders() -> bool:
    """Have ten leaders follow one another, with losses between them."""
    world = LimitsWorld(RATE, BURST, 100.0)
    world.play(PROXIES, (), 8, 1.0)
    for _ in range(10):
        world.play((), PROXIES, 8, 0.3)
        world.next_leader()
        world.play(PROXIES, (), 8, 0.4)
    return world.most_in_window() > MOST_IN_WINDOW


def _passes_limit_under_leaders_that_are_told() -> bool:
    """Have ten leaders follow one another, told by a dozen proxies what these ran."""
    world = LeadersWorld(150.0, 150, 12, 3.0, 1)
    world.play(6.0)
    for _ in range(10):
        world.leader_dies(0.1)
        world.play(0.6)
    world.play(3.0)
    return world.most_in_window() > world.bound


def _passes_limit_of_stale_shares() -> bool:
    """Have a tenant's work move from proxy to proxy each 2 s, then all of them lose the leader."""
    world = LimitsWorld(RATE, BURST, 100.0)
    for proxy in PROXIES:
        for _ in range(20):
            world.play((proxy,), (), 3, 0.1)
            for other in PROXIES:
                world.limits.proxy_contacted(other, world.now)
    world.play((), PROXIES, 3, 6.0)
    return world.most_in_window() > MOST_IN_WINDOW


def _passes_limit_while_cut_off() -> bool:
    """Cut two of three proxies off under three times the demand."""
    world = LimitsWorld(RATE, BURST, 100.0)
    world.play(PROXIES, (), 3, 5.0)
    world.play(PROXIES[2:], PROXIES[:2], 3, 8.0)
    return world.most_in_window() > MOST_IN_WINDOW


def _is_caught(patch: Callable[[], AbstractContextManager], violates: Callable[[], bool]) -> bool:
    if violates():
        raise AssertionError("the violation shows with the safeguard in place")
    with patch():
        return violates()


def _take_first_only(keys: AccessKeys, tenants: object) -> None:
    if keys._tenants is None:
        _take(keys, tenants)


_take = AccessKeys.set_tenants


def _unbounded_reserve(allowance: OperationAllowance, now: float) -> bool:
    allowance._reserve = allowance._reserve or TokenBucket(1_000.0, 1_000.0, 1_000.0, now)
    return allowance._reserve.take(1, now) == 1


MUTANTS = (
    Mutant(
        "lend a connection of one tenant to another",
        "limedyke.proxy.statements.members.idle_connections._serves",
        "each statement runs for its tenant",
        lambda: _is_caught(
            lambda: mock.patch.object(idle_connections, "_serves", lambda *_: True),
            lambda: curio.run(_tenants_are_mixed),
        ),
    ),
    Mutant(
        "go on with the keys of the first view",
        "limedyke.core.access_keys.AccessKeys.take",
        "a key that was taken away is refused",
        lambda: _is_caught(
            lambda: mock.patch.object(AccessKeys, "take", _take_first_only),
            lambda: curio.run(_removed_key_is_served),
        ),
    ),
    Mutant(
        "begin to lead with full buckets",
        "limedyke.core.limits.operation_limits.FIRST_TOKENS",
        "a tenant keeps within its limit",
        lambda: _is_caught(
            lambda: mock.patch.object(operation_limits, "FIRST_TOKENS", float(BURST)),
            _passes_limit_after_leader_change,
        ),
    ),
    Mutant(
        "give first tokens with each leader",
        "limedyke.core.limits.operation_limits.FIRST_TOKENS_EACH_S",
        "a tenant keeps within its limit",
        lambda: _is_caught(
            lambda: mock.patch.object(operation_limits, "FIRST_TOKENS_EACH_S", 0.01),
            _passes_limit_under_many_leaders,
        ),
    ),
    Mutant(
        "give the reserve anew with each loss of the leader",
        "limedyke.core.limits.operation_allowance.RESERVE_AGAIN_S",
        "a tenant keeps within its limit",
        lambda: _is_caught(
            lambda: mock.patch.object(operation_allowance, "RESERVE_AGAIN_S", 0.01),
            _passes_limit_under_leaders_that_are_told,
        ),
    ),
    Mutant(
        "take a tenant's use before the leader began for none",
        "limedyke.core.limits.use_window.UseWindow.level",
        "a tenant keeps within its limit",
        lambda: _is_caught(
            lambda: mock.patch.object(UseWindow, "level", lambda _self, _rate, burst, _now: burst),
            _passes_limit_under_leaders_that_are_told,
        ),
    ),
    Mutant(
        "tell shares that together pass the limit",
        "limedyke.core.limits.operation_limits.OperationLimits._told_rate",
        "a tenant keeps within its limit",
        lambda: _is_caught(
            lambda: mock.patch.object(OperationLimits, "_told_rate", lambda *_: 0.0),
            _passes_limit_of_stale_shares,
        ),
    ),
    Mutant(
        "withhold nothing for proxies that run by themselves",
        "limedyke.core.limits.operation_limits.OperationLimits._runs_alone",
        "a tenant keeps within its limit",
        lambda: _is_caught(
            lambda: mock.patch.object(OperationLimits, "_runs_alone", lambda *_: None),
            _passes_limit_while_cut_off,
        ),
    ),
    Mutant(
        "run by itself without bound",
        "limedyke.core.limits.operation_allowance.OperationAllowance.take_reserve",
        "a tenant keeps within its limit",
        lambda: _is_caught(
            lambda: mock.patch.object(OperationAllowance, "take_reserve", _unbounded_reserve),
            _passes_limit_while_cut_off,
        ),
    ),
)
