"""Metrics of members and retry budgets, computed when they are collected."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Iterator

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from limedyke.proxy.statements.group import StatementGroup

PREFIX = "limedyke_members_"
MEMBER_LABELS = ("group", "member")
GROUP_LABELS = ("group", "outcome")
MADE, DENIED = "made", "denied"


class MemberGauges(Collector):
    """Exports members only of groups with a lease, as this proxy uses no others.

    :param groups: returns the groups
    """

    def __init__(self, groups: Callable[[], Iterable[StatementGroup]]) -> None:
        self._groups = groups

    def collect(self) -> Iterator[GaugeMetricFamily | CounterMetricFamily]:
        """Return the current metrics."""
        now = time.monotonic()
        limit = _gauge("limit", "What may be under way at a member at once.")
        under_way = _gauge("under_way", "What is under way there.")
        waiting = _gauge("waiting", "Requests that wait for a connection there.")
        slowness = _gauge("slowness", "How many times longer than at best its answers take.")
        failing = _gauge("failing_share", "Share of what is asked there that is expected to fail.")
        lag = _gauge("lag_seconds", "How late its log comes, while it is a replica.")
        turned_away = CounterMetricFamily(
            f"{PREFIX}turned_away", "Answers that it has no room.", labels=MEMBER_LABELS
        )
        ended_resting = CounterMetricFamily(
            f"{PREFIX}resting_transactions_ended",
            "Resting transactions that gave way to waiting requests.",
            labels=MEMBER_LABELS,
        )
        tries = CounterMetricFamily(
            f"{PREFIX}further_tries", "Tries beyond the first, by outcome.", labels=GROUP_LABELS
        )
        for group in self._groups():
            tries.add_metric((group.name, MADE), group.retries.made)
            tries.add_metric((group.name, DENIED), group.retries.denied)
            for pool in group.pools.values() if group.limit > 0 else ():
                observed = pool.observed
                labels = (group.name, observed.record.identity)
                limit.add_metric(labels, observed.concurrency.limit)
                under_way.add_metric(labels, observed.under_way(now))
                waiting.add_metric(labels, observed.waiting)
                slowness.add_metric(labels, observed.concurrency.slowness)
                failing.add_metric(labels, observed.quality.failing_share(now))
                lag.add_metric(labels, observed.lag.lag_s)
                turned_away.add_metric(labels, observed.concurrency.turned_away_count)
                ended_resting.add_metric(labels, pool.ended_for_waiting)
        yield from (limit, under_way, waiting, slowness, failing, lag)
        yield from (turned_away, ended_resting, tries)


def _gauge(name: str, text: str) -> GaugeMetricFamily:
    return GaugeMetricFamily(f"{PREFIX}{name}", text, labels=MEMBER_LABELS)
