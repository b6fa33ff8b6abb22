"""Updates the pool metrics from the counts of the back ends."""

from __future__ import annotations

from limedyke.proxy.back_ends import BackEndStats
from limedyke.proxy.metrics import ProxyMetrics


class PoolGauges:
    """Sets the gauges, and adds the increase since the last refresh to the counters."""

    def __init__(self, metrics: ProxyMetrics) -> None:
        self._metrics = metrics
        self._opened = 0
        self._failed = 0

    def refresh(self, stats: BackEndStats) -> None:
        """Update the metrics.

        Counts may decrease because pools that were removed are no longer included.
        """
        metrics = self._metrics
        metrics.backend_connections.labels("idle").set(stats.idle)
        metrics.backend_connections.labels("busy").set(stats.busy)
        metrics.backend_connections.labels("opening").set(stats.opening)
        metrics.leased_connections.set(stats.leased)
        metrics.queue_waiting.set(stats.waiting)
        metrics.open_transactions.set(stats.open_transactions)
        metrics.backend_opened.labels("ok").inc(max(0, stats.opened - self._opened))
        metrics.backend_opened.labels("failed").inc(max(0, stats.failed - self._failed))
        self._opened, self._failed = stats.opened, stats.failed
