"""Registry, histogram buckets and label values shared by the metrics of all processes.

Label values come from fixed enumerations, result-code labels or declared tenants, which bounds
their number.  There are no per-group labels because a node serves many groups.
"""

from __future__ import annotations

import enum

from prometheus_client import CollectorRegistry, Counter, ProcessCollector

from limedyke.transport.traffic import Direction, Distance, Purpose

REQUEST_SECONDS_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)
WAIT_SECONDS_BUCKETS = (0.0005, 0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1, 5, 30)
SYNC_SECONDS_BUCKETS = (0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.1, 0.5, 1)
CHANGE_SECONDS_BUCKETS = (0.05, 0.1, 0.25, 0.5, 1, 2, 3, 6, 10, 20, 60)


class PromotionOutcome(enum.StrEnum):
    """The state of a promotion, as counted by the proxy that runs it or by the leader."""

    STARTED = "started"
    DONE = "done"
    FAILED = "failed"


class TrafficCounter:
    """Counts bytes by purpose, distance and direction (see ``transport.traffic``)."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._bytes = Counter(
            "limedyke_traffic_bytes",
            "Bytes by purpose, distance of the other end, and direction.",
            ("purpose", "distance", "direction"),
            registry=registry,
        )

    def count(self, purpose: Purpose, distance: Distance, direction: Direction, size: int) -> None:
        """Count ``size`` bytes."""
        self._bytes.labels(purpose.value, distance.value, direction.value).inc(size)


def new_registry() -> CollectorRegistry:
    """Return a registry with process metrics: CPU time, memory and open files."""
    registry = CollectorRegistry()
    ProcessCollector(registry=registry)
    return registry
