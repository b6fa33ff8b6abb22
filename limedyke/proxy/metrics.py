"""Metrics of a proxy for PostgreSQL clients; the attributes are the metrics themselves."""

from __future__ import annotations

import enum

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from limedyke.core.routing import RoutingReason
from limedyke.metrics import REQUEST_SECONDS_BUCKETS, WAIT_SECONDS_BUCKETS
from limedyke.result_codes import ResultCode


class RetryCause(enum.StrEnum):
    """Why a read was sent again."""

    CONNECTION_LOST = "connection-lost"
    MEMBER_BEHIND = "member-behind"


class ProxyMetrics:
    """Metrics of ``limedyke proxy``.

    :param registry: the registry exported at ``/metrics``
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._registry = registry
        self._add_client_metrics()
        self._add_routing_metrics()
        self._add_pool_metrics()
        self._add_control_metrics()

    def _counter(self, name: str, meaning: str, *labels: str) -> Counter:
        return Counter(f"limedyke_proxy_{name}", meaning, labels, registry=self._registry)

    def _gauge(self, name: str, meaning: str, *labels: str) -> Gauge:
        return Gauge(f"limedyke_proxy_{name}", meaning, labels, registry=self._registry)

    def _histogram(self, name: str, meaning: str, buckets: tuple[float, ...]) -> Histogram:
        return Histogram(
            f"limedyke_proxy_{name}", meaning, buckets=buckets, registry=self._registry
        )

    def _add_client_metrics(self) -> None:
        self.clients = self._gauge("clients", "Client connections open now.")
        self.clients_accepted = self._counter("clients_accepted", "Client connections accepted.")
        self.logins = self._counter("logins", "Logins by result: ok or a code.", "result")
        self.units = self._counter("units", "Units of work by access.", "access")
        self.tenant_units = self._counter("tenant_units", "Units of work by tenant.", "tenant")
        self.request_seconds = self._histogram(
            "request_seconds", "Time from a whole batch to its answer.", REQUEST_SECONDS_BUCKETS
        )
        self.refusals = self._counter("refusals", "Refusals and failures by code.", "code")
        self.cancels = self._counter("cancels", "Cancel requests received.")
        self.open_transactions = self._gauge("open_transactions", "Transactions open now.")

    def _add_routing_metrics(self) -> None:
        self.reads = self._counter("reads", "Reads by server and reason.", "served_by", "reason")
        self.writes = self._counter("writes", "Writes sent to a primary.")
        self.retries = self._counter("retries", "Units of work sent again, by cause.", "cause")
        self.unknown_outcomes = self._counter("unknown_outcomes", "Writes of unknown outcome.")
        self.once_duplicates = self._counter("once_duplicates", "Once-keys seen before.")
        self.forwarded_out = self._counter("forwarded_out", "Units sent to a home proxy.")
        self.forwarded_in = self._counter("forwarded_in", "Units run for another proxy.")
        self.replica_waits = self._counter("replica_waits", "Waits for a replica, by end.", "end")

    def _add_pool_metrics(self) -> None:
        self.backend_connections = self._gauge(
            "backend_connections", "Connections to members by state.", "state"
        )
        self.backend_opened = self._counter(
            "backend_opened", "Connections to members opened, by result.", "result"
        )
        self.leased_connections = self._gauge("leased_connections", "Connections under lease now.")
        self.leases_expired = self._counter("leases_expired", "Leases that ran out unrenewed.")
        self.queue_waiting = self._gauge("queue_waiting", "Units waiting for a connection or slot.")
        self.queue_wait_seconds = self._histogram(
            "queue_wait_seconds", "Wait for a connection and slot.", WAIT_SECONDS_BUCKETS
        )
        self.queue_timeouts = self._counter("queue_timeouts", "Waits ended by their deadline.")

    def _add_control_metrics(self) -> None:
        self.revision = self._gauge("revision", "Configuration revision in force here.")
        self.control_index = self._gauge("control_index", "Last control update in force here.")
        self.control_connected = self._gauge("control_connected", "1 while linked to the leader.")
        self.control_links = self._gauge("control_links", "Links to a leader since the start.")
        self.control_updates = self._counter("control_updates", "Control states put in force.")
        self.member_reports = self._counter(
            "member_reports", "Reports of changed member health, by health.", "health"
        )
        self.promotions = self._counter("promotions", "Promotions run here.", "outcome")
        self.draining = self._gauge("draining", "1 while this proxy leaves service.")

    def count_read(self, by_replica: bool, reason: RoutingReason) -> None:
        """Count one served read."""
        served_by = "replica" if by_replica else "primary"
        self.reads.labels(served_by, reason.value).inc()

    def count_refusal(self, code: ResultCode) -> None:
        """Count one refusal or failure."""
        self.refusals.labels(code.label).inc()
