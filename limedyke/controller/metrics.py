"""Metrics of a controller; each attribute is one metric."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from limedyke.metrics import CHANGE_SECONDS_BUCKETS, SYNC_SECONDS_BUCKETS
from limedyke.result_codes import ResultCode


class ControllerMetrics:
    """Metrics of ``limedyke controller``.

    :param registry: the registry that ``/metrics`` shows
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._registry = registry
        self._add_agreement_metrics()
        self._add_state_metrics()
        self._add_proxy_metrics()

    def _counter(self, name: str, meaning: str, *labels: str) -> Counter:
        return Counter(f"limedyke_controller_{name}", meaning, labels, registry=self._registry)

    def _gauge(self, name: str, meaning: str, *labels: str) -> Gauge:
        return Gauge(f"limedyke_controller_{name}", meaning, labels, registry=self._registry)

    def _histogram(self, name: str, meaning: str, buckets: tuple[float, ...]) -> Histogram:
        return Histogram(
            f"limedyke_controller_{name}", meaning, buckets=buckets, registry=self._registry
        )

    def _add_agreement_metrics(self) -> None:
        self.role = self._gauge("role", "1 for the present role.", "role")
        self.term = self._gauge("term", "Term of the controllers' agreement.")
        self.role_changes = self._counter("role_changes", "Role changes by new role.", "role")
        self.step_downs = self._counter("step_downs", "Leaderships ended, by reason.", "reason")
        self.voters = self._gauge(
            "voters",
            "Voters by state, as the leader counts them; 0 off the leader.",
            "state",
        )
        self.commit_index = self._gauge("commit_index", "Last committed entry.")
        self.snapshots = self._counter(
            "snapshots", "Snapshots by kind: saved or installed.", "kind"
        )
        self.sync_seconds = self._histogram(
            "sync_seconds", "Time of one write and sync of the durable log.", SYNC_SECONDS_BUCKETS
        )
        self.commit_seconds = self._histogram(
            "commit_seconds", "Time from proposal to commit.", SYNC_SECONDS_BUCKETS
        )
        self.peer_messages = self._counter(
            "peer_messages", "Messages with other controllers.", "direction"
        )

    def _add_state_metrics(self) -> None:
        self.revision = self._gauge("revision", "Configuration revision in force.")
        self.groups = self._gauge("groups", "Declared groups.")
        self.tenants = self._gauge("tenants", "Declared tenants.")
        self.calls = self._counter(
            "calls", "Calls answered by the leader, by kind and outcome.", "kind", "outcome"
        )
        self.plans = self._counter("plans", "Plan requests by result.", "result")
        self.confirmations = self._counter("confirmations", "Confirmations by result.", "result")
        self.refusals = self._counter("refusals", "Refusals by code.", "code")
        self.promotions = self._counter("promotions", "Promotions ordered, by outcome.", "outcome")
        self.promotion_seconds = self._histogram(
            "promotion_seconds",
            "Time from a primary judged lost to the new one recorded.",
            CHANGE_SECONDS_BUCKETS,
        )
        self.groups_without_primary = self._gauge(
            "groups_without_primary", "Groups whose primary is not recorded."
        )
        self.groups_awaiting_positions = self._gauge(
            "groups_awaiting_positions",
            "Groups whose next primary waits for the log positions of members; 0 off the leader.",
        )

    def _add_proxy_metrics(self) -> None:
        self.proxies = self._gauge("proxies", "Proxies known, by state.", "state")
        self.proxies_connected = self._gauge("proxies_connected", "Proxies linked now.")
        self.proxies_behind = self._gauge("proxies_behind", "Linked proxies behind the revision.")
        self.in_force_seconds = self._histogram(
            "in_force_seconds",
            "Time from a confirmed change to its last acknowledgement.",
            CHANGE_SECONDS_BUCKETS,
        )
        self.heartbeats = self._counter("heartbeats", "Heartbeats of proxies answered.")
        self.member_reports = self._counter(
            "member_reports", "Reports of member health received, by health.", "health"
        )
        self.lease_changes = self._counter("lease_changes", "Leases granted or taken back.", "kind")
        self.leases_expired = self._counter("leases_expired", "Proxies whose leases ran out.")
        self.proxy_bytes = self._counter("proxy_bytes", "Bytes on links to proxies.", "direction")

    def count_refusal(self, code: ResultCode) -> None:
        """Count one refusal."""
        self.refusals.labels(code.label).inc()
