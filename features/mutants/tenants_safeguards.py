"""Mutants of the code that isolates tenants and enforces their limits."""

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
"""Most operations within 5 s, including the permitted excess of 10 % and 20 operations."""
ONE_OF_TWO_RUNS = 6


async def _tenants_are_mixed() -> bool:
    """Let two tenants write in turn over one connection; return whether one ran for the other."""
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
    """Remove the key of an open session; return whether the session is still served."""
    path = StatementPath(Consistency.SESSION)
    path.hold_key("one", "k1")
    await path.start()
    client, _ = await path.connect("db", "k1")
    path.hold_key("one", "k9")
    await path.tell_view()
    answer = await client.ask("WRITE x 1")
    await path.stop()
    return answer == "done I"


def _passes_limit_after_leader_change() -> bool:
    """Use five successive leaders for a second each; return whether the limit was exceeded."""
    world = LimitsWorld(RATE, BURST, 100.0)
    for _ in range(5):
        world.limits = OperationLimits(world.tenants, 12.0, world.now)
        world.play(PROXIES, (), 8, 1.0)
    return world.most_in_window() > MOST_IN_WINDOW


def _passes_limit_under_many_leaders() -> bool:
    """Use ten successive leaders with times without a leader in between."""
    world = LimitsWorld(RATE, BURST, 100.0)
    world.play(PROXIES, (), 8, 1.0)
    for _ in range(10):
        world.play((), PROXIES, 8, 0.3)
        world.change_leader()
        world.play(PROXIES, (), 8, 0.4)
    return world.most_in_window() > MOST_IN_WINDOW


def _passes_limit_under_leaders_with_reports() -> bool:
    """Use ten successive leaders, to which a dozen proxies report their use."""
    world = LeadersWorld(150.0, 150, 12, 3.0, 1)
    world.play(6.0)
    for _ in range(10):
        world.leader_dies(0.1)
        world.play(0.6)
    world.play(3.0)
    return world.most_in_window() > world.bound


def _passes_limit_of_stale_shares() -> bool:
    """Move a tenant's work from proxy to proxy every 2 s, then cut all proxies off."""
    world = LimitsWorld(RATE, BURST, 100.0)
    for proxy in PROXIES:
        for _ in range(20):
            world.play((proxy,), (), 3, 0.1)
            for other in PROXIES:
                world.limits.proxy_contacted(other, world.now)
    world.play((), PROXIES, 3, 6.0)
    return world.most_in_window() > MOST_IN_WINDOW


def _passes_limit_while_cut_off() -> bool:
    """Cut two of three proxies off at three times the limit."""
    world = LimitsWorld(RATE, BURST, 100.0)
    world.play(PROXIES, (), 3, 5.0)
    world.play(PROXIES[2:], PROXIES[:2], 3, 8.0)
    return world.most_in_window() > MOST_IN_WINDOW


def _is_caught(patch: Callable[[], AbstractContextManager], violates: Callable[[], bool]) -> bool:
    if violates():
        raise AssertionError("the violation shows with the safeguard in place")
    with patch():
        return violates()


def _set_first_tenants_only(keys: AccessKeys, tenants: object) -> None:
    if keys._tenants is None:
        _set_tenants(keys, tenants)


_set_tenants = AccessKeys.set_tenants


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
        "keep the keys of the first view",
        "limedyke.core.access_keys.AccessKeys.set_tenants",
        "a key that was taken away is refused",
        lambda: _is_caught(
            lambda: mock.patch.object(AccessKeys, "set_tenants", _set_first_tenants_only),
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
        "grant all first tokens with each leader",
        "limedyke.core.limits.operation_limits.FULL_FIRST_TOKENS_AFTER_S",
        "a tenant keeps within its limit",
        lambda: _is_caught(
            lambda: mock.patch.object(operation_limits, "FULL_FIRST_TOKENS_AFTER_S", 0.01),
            _passes_limit_under_many_leaders,
        ),
    ),
    Mutant(
        "refill the reserve with each loss of the leader",
        "limedyke.core.limits.operation_allowance.RESERVE_REFILL_S",
        "a tenant keeps within its limit",
        lambda: _is_caught(
            lambda: mock.patch.object(operation_allowance, "RESERVE_REFILL_S", 0.01),
            _passes_limit_under_leaders_with_reports,
        ),
    ),
    Mutant(
        "ignore a tenant's use before the leader began",
        "limedyke.core.limits.use_window.UseWindow.level",
        "a tenant keeps within its limit",
        lambda: _is_caught(
            lambda: mock.patch.object(UseWindow, "level", lambda _self, _rate, burst, _now: burst),
            _passes_limit_under_leaders_with_reports,
        ),
    ),
    Mutant(
        "grant shares that together exceed the limit",
        "limedyke.core.limits.operation_limits.OperationLimits._granted_share_rate",
        "a tenant keeps within its limit",
        lambda: _is_caught(
            lambda: mock.patch.object(OperationLimits, "_granted_share_rate", lambda *_: 0.0),
            _passes_limit_of_stale_shares,
        ),
    ),
    Mutant(
        "withhold nothing for proxies without a leader",
        "limedyke.core.limits.operation_limits.OperationLimits._start_leaderless",
        "a tenant keeps within its limit",
        lambda: _is_caught(
            lambda: mock.patch.object(OperationLimits, "_start_leaderless", lambda *_: None),
            _passes_limit_while_cut_off,
        ),
    ),
    Mutant(
        "run without a leader and without bound",
        "limedyke.core.limits.operation_allowance.OperationAllowance.take_reserve",
        "a tenant keeps within its limit",
        lambda: _is_caught(
            lambda: mock.patch.object(OperationAllowance, "take_reserve", _unbounded_reserve),
            _passes_limit_while_cut_off,
        ),
    ),
)
