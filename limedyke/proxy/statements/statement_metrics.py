"""Prometheus metrics of the statement proxy; see docs/METRICS.md."""

from __future__ import annotations

import enum

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from limedyke.messages.statements import AnswerKind, StatementKind
from limedyke.metrics import REQUEST_SECONDS_BUCKETS

PREFIX = "limedyke_statements_"
PRIMARY, REPLICA = "primary", "replica"
PRIORITY_LABELS = 10
"""Number of priority label values; less urgent priorities share the last one."""


class StatementMetrics:
    """Counters and latency histograms; label values come from fixed sets.

    :param registry: the registry that ``/metrics`` exports
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._answers = Counter(
            f"{PREFIX}answers",
            "Statements answered, by kind and code.",
            ("kind", "code"),
            registry=registry,
        )
        self._seconds = Histogram(
            f"{PREFIX}seconds",
            "Time from a statement's receipt to its answer.",
            ("kind",),
            buckets=REQUEST_SECONDS_BUCKETS,
            registry=registry,
        )
        self._member_answers = Counter(
            f"{PREFIX}member_answers",
            "Answers of members, by what they say and the member's role.",
            ("answer", "role"),
            registry=registry,
        )
        self._member_seconds = Histogram(
            f"{PREFIX}member_seconds",
            "Time from sending a statement to a member to its answer.",
            ("role",),
            buckets=REQUEST_SECONDS_BUCKETS,
            registry=registry,
        )
        self._failed_tries = Counter(
            f"{PREFIX}failed_tries",
            "Tries to run a statement that failed, by reason; a later one may have served it.",
            ("reason",),
            registry=registry,
        )
        self._connection_wait = Histogram(
            f"{PREFIX}connection_wait_seconds",
            "Time that a statement waited for a connection to a member.",
            buckets=REQUEST_SECONDS_BUCKETS,
            registry=registry,
        )
        self._queue_wait = Histogram(
            f"{PREFIX}queue_wait_seconds",
            "Time that a statement waited for a connection to a member, by its priority.",
            ("priority",),
            buckets=REQUEST_SECONDS_BUCKETS,
            registry=registry,
        )
        self._waiting = Gauge(
            f"{PREFIX}waiting",
            "Statements that wait for a connection to a member, by priority.",
            ("priority",),
            registry=registry,
        )
        self._turned_away = Counter(
            f"{PREFIX}turned_away",
            "Tries that might not wait for a member, or not wait on, by reason and priority.",
            ("reason", "priority"),
            registry=registry,
        )
        self._refused_sessions = Counter(
            f"{PREFIX}sessions_refused", "Sessions not opened.", ("code",), registry=registry
        )
        self.home_tries = Counter(
            f"{PREFIX}home_tries",
            "Tries at a home proxy that went another way than usual, by what happened.",
            ("what",),
            registry=registry,
        )
        self.forwarded_out = Counter(
            f"{PREFIX}forwarded_out", "Statements sent to a home proxy.", registry=registry
        )
        self.forwarded_in = Counter(
            f"{PREFIX}forwarded_in", "Statements run for other proxies.", registry=registry
        )
        self.hedged_reads = Counter(
            f"{PREFIX}hedged_reads",
            "Slow reads that were tried at a second member beside the first.",
            registry=registry,
        )
        self.unanswered = Counter(
            f"{PREFIX}unanswered",
            "Statements whose client's connection ended before their answer was sent.",
            registry=registry,
        )
        self.lines_left_out = Counter(
            f"{PREFIX}log_lines_left_out", "Log lines beyond the budget.", registry=registry
        )
        self.sessions = Gauge(f"{PREFIX}sessions", "Open client connections.", registry=registry)
        self.control_revision = Gauge(
            f"{PREFIX}control_revision", "Revision of the applied declaration.", registry=registry
        )
        self.control_connected = Gauge(
            f"{PREFIX}control_connected", "1 while linked to the leader.", registry=registry
        )
        self.control_behind = Gauge(
            f"{PREFIX}control_behind_seconds",
            "For how long the applied view has been behind the leader's.",
            registry=registry,
        )

    def answered(self, kind: StatementKind, code: str, seconds: float) -> None:
        """Count an answer to a client.

        :param code: label of the result code, or ``done``
        """
        self._answers.labels(kind.value, code).inc()
        self._seconds.labels(kind.value).observe(seconds)

    def member_answered(self, answer: AnswerKind, by_replica: bool, seconds: float) -> None:
        """Count a member's answer."""
        role = REPLICA if by_replica else PRIMARY
        self._member_answers.labels(answer.value, role).inc()
        self._member_seconds.labels(role).observe(seconds)

    def try_failed(self, reason: enum.StrEnum) -> None:
        """Count a failed try."""
        self._failed_tries.labels(reason.value).inc()

    def waits_for_connection(self, priority: int) -> None:
        """Count a statement as waiting until ``waited_for_connection`` is called."""
        self._waiting.labels(_priority_label(priority)).inc()

    def waited_for_connection(self, priority: int, seconds: float) -> None:
        """Record the end and the duration of a wait for a connection."""
        self._connection_wait.observe(seconds)
        self._waiting.labels(_priority_label(priority)).dec()
        self._queue_wait.labels(_priority_label(priority)).observe(seconds)

    def turned_away(self, reason: enum.StrEnum, priority: int) -> None:
        """Count a try that a member's queue refused or dropped."""
        self._turned_away.labels(reason.value, _priority_label(priority)).inc()

    def session_refused(self, code: str) -> None:
        """Count a refused session."""
        self._refused_sessions.labels(code).inc()


def _priority_label(priority: int) -> str:
    return str(min(priority, PRIORITY_LABELS - 1))
