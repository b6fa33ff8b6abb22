"""Prometheus metrics of a proxy's operation limits; see docs/METRICS.md."""

from __future__ import annotations

import enum

from prometheus_client import CollectorRegistry, Counter, Histogram

from limedyke.metrics import REQUEST_SECONDS_BUCKETS

PREFIX = "limedyke_limits_"


class Refused(enum.StrEnum):
    """Why an operation was refused."""

    USED_UP = "used-up"
    DISPLACED = "displaced"
    ALONE_USED_UP = "alone-used-up"
    ALONE_TOO_LONG = "alone-too-long"


class LimitMetrics:
    """Counters and times by priority; all label values come from fixed sets.

    :param registry: the registry that ``/metrics`` exposes
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._wait = Histogram(
            f"{PREFIX}wait_seconds",
            "Time that an operation waited for a token until it ran.",
            ("priority",),
            buckets=REQUEST_SECONDS_BUCKETS,
            registry=registry,
        )
        self._refused = Counter(
            f"{PREFIX}refused",
            "Operations refused for their tenant's limit, by reason.",
            ("priority", "reason"),
            registry=registry,
        )
        self._given_back = Counter(
            f"{PREFIX}given_back",
            "Operations admitted that did not run, or whose client left while they waited.",
            ("priority",),
            registry=registry,
        )

    def waited(self, priority: int, seconds: float) -> None:
        """Record the wait of an operation that runs now with its token."""
        self._wait.labels(str(priority)).observe(seconds)

    def refused(self, priority: int, reason: Refused) -> None:
        """Count an operation that was refused."""
        self._refused.labels(str(priority), reason.value).inc()

    def given_back(self, priority: int) -> None:
        """Count an operation that returned its token."""
        self._given_back.labels(str(priority)).inc()
