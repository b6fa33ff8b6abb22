"""Steps for the choice of home proxies from the membership."""

from __future__ import annotations

import random
from collections import Counter
from unittest import mock

from behave import given, then, when

from features.support.control_builders import a_group
from limedyke.core import home
from limedyke.core.home import HomeDirectory, connection_limits, home_proxies
from limedyke.messages.control import ControlSnapshot, ControlUpdate, ProxyRecord, ProxyState
from limedyke.messages.declaration import Declaration
from limedyke.proxy.control.view import ControlViewBuilder

RANKED_SHARE = 0.03


def _proxy(number: int, zones: int, state: ProxyState = ProxyState.SERVING) -> ProxyRecord:
    return ProxyRecord(f"p{number:04d}", 1, "", f"z{number % zones}", state)


def _random_change(generator: random.Random, directory: HomeDirectory, known: dict) -> None:
    proxy = ProxyRecord(
        f"p{generator.randrange(9)}",
        generator.randrange(3),
        "",
        f"z{generator.randrange(3)}",
        generator.choice([ProxyState.SERVING, ProxyState.SERVING, ProxyState.SUSPECTED]),
    )
    if generator.random() < 0.3:
        directory.remove_proxy(proxy.name)
        known.pop(proxy.name, None)
        return
    directory.put_proxy(proxy)
    known[proxy.name] = proxy


@then("homes: both agree in {count:d} random histories of joining, leaving and silent proxies")
def _(context, count):
    for seed in range(count):
        generator = random.Random(seed)
        wanted = generator.randrange(1, 5)
        directory, known = HomeDirectory(wanted), {}
        names = [f"g{number}" for number in range(5)]
        for name in names:
            directory.add_group(name)
        for _ in range(40):
            _random_change(generator, directory, known)
            kept = [directory.homes(name) for name in names]
            computed = [home_proxies(name, known.values(), wanted) for name in names]
            assert kept == computed, (seed, kept, computed)


def _random_update(generator: random.Random, index: int) -> ControlUpdate:
    proxies = tuple(
        ProxyRecord(
            f"p{generator.randrange(9)}",
            index,
            "",
            f"z{generator.randrange(3)}",
            generator.choice([ProxyState.SERVING, ProxyState.SUSPECTED]),
        )
        for _ in range(generator.randrange(3))
    )
    return ControlUpdate(
        base_index=index,
        control_index=index + 1,
        revision=index,
        groups=tuple(
            a_group(f"g{n}", limit=generator.choice([6, 12, 40]))
            for n in generator.sample(range(5), 1)
        ),
        removed_groups=tuple(f"g{n}" for n in generator.sample(range(5), 1)),
        proxies=proxies,
        removed_proxies=tuple(f"p{n}" for n in generator.sample(range(9), 1)),
        home_proxies_per_group=generator.choice([None, None, None, 2, 3, 7]),
    )


@then("homes: {count:d} random updates give the same result as the final state")
def _(context, count):
    generator = random.Random(1)
    view = ControlViewBuilder()
    view.apply_snapshot(ControlSnapshot(0, 0, Declaration(), (), ()))
    followed = HomeDirectory(3)
    for index in range(count):
        update = _random_update(generator, index)
        before = followed.snapshot()
        changed = followed.apply(update)
        state = view.apply_update(update)
        whole = HomeDirectory.of(
            state.home_proxies_per_group,
            state.proxies.values(),
            connection_limits(state.groups.values()),
        )
        after = followed.snapshot()
        assert after == whole.snapshot() == state.homes, index
        kept = before.keys() & after.keys() - {group.name for group in update.groups}
        assert {name for name in kept if before[name] != after[name]} <= changed, index


@given(
    "homes: {proxies:d} proxies in {zones:d} zones, and {groups:d} groups with {count:d} "
    "home proxies"
)
def _(context, proxies, zones, groups, count):
    context.zones, context.proxies = zones, proxies
    context.groups = [f"g{number}" for number in range(groups)]
    context.directory = HomeDirectory(count)
    for number in range(proxies):
        context.directory.put_proxy(_proxy(number, zones))
    for name in context.groups:
        context.directory.add_group(name)


@when("homes: the group's members accept {connections:d} connections each")
def _(context, connections):
    before = context.directory.homes(context.groups[0])
    changed = context.directory.add_group(context.groups[0], connections)
    assert changed is (context.directory.homes(context.groups[0]) != before)


def _duties(context) -> set[tuple[str, str]]:
    directory = context.directory
    return {(name, proxy) for name in context.groups for proxy in directory.homes(name)}


@then("homes: each group has {homes:d} home proxies in {spread:d} zones")
def _(context, homes, spread):
    for name in context.groups:
        chosen = context.directory.homes(name)
        zones = {int(proxy[1:]) % context.zones for proxy in chosen}
        assert (len(chosen), len(zones)) == (homes, spread), chosen


@then("homes: no proxy has more than {most:g} times the mean duty")
def _(context, most):
    duties = Counter(proxy for _, proxy in _duties(context))
    if duties:
        mean = sum(duties.values()) / context.proxies
        assert max(duties.values()) <= most * mean, (max(duties.values()), mean)


@when("homes: {event}")
def _(context, event):
    directory, zones = context.directory, context.zones
    context.before = _duties(context)
    match event:
        case "a proxy joins":
            directory.put_proxy(_proxy(context.proxies, zones))
        case "a proxy is silent":
            directory.put_proxy(_proxy(1, zones, ProxyState.SUSPECTED))
        case "a zone is silent":
            for number in range(0, context.proxies, zones):
                directory.put_proxy(_proxy(number, zones, ProxyState.SUSPECTED))
        case "a proxy restarts at once":
            proxy = _proxy(1, zones)
            directory.put_proxy(ProxyRecord(proxy.name, 2, "", proxy.zone, proxy.state))


@then("homes: at most {share:g} % of the duties have moved")
def _(context, share):
    moved = len(context.before - _duties(context))
    assert moved <= share / 100 * len(context.before), (moved, len(context.before))


@then("homes: a joining proxy costs at most one score for a group, and few rankings")
def _(context):
    score, rank = home._score, home.home_proxies
    with (
        mock.patch.object(home, "_score", side_effect=score) as scores,
        mock.patch.object(home, "home_proxies", side_effect=rank) as rankings,
    ):
        changed = context.directory.put_proxy(_proxy(context.proxies, context.zones))
    groups = len(context.groups)
    assert 0 < len(changed) <= rankings.call_count <= RANKED_SHARE * groups, rankings.call_count
    assert scores.call_count <= groups * (1 + RANKED_SHARE * 4), scores.call_count
