"""Services shared by all client connections of a proxy."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from prometheus_client import Counter

from limedyke.core.sessions.client_exchange import Moment
from limedyke.core.sessions.session_context import SessionContext
from limedyke.messages.work import Access, AnswerEnd, WorkUnit
from limedyke.postgres.client_login import LoginPolicy
from limedyke.proxy.clients.registry import ClientRegistry
from limedyke.proxy.clients.tls import ClientTls
from limedyke.proxy.executor import Executor
from limedyke.proxy.metrics import ProxyMetrics
from limedyke.result_codes import CODE_BY_NUMBER


@dataclass(slots=True)
class ClientServices:
    """Services shared by all connections of a proxy.

    :param tls: TLS for client connections, or None if it is not offered
    :param startup_timeout_s: time limit from accept to a finished login
    :param stalled_client_s: how long a client may leave an answer unread
    :param maximum_message_bytes: maximum size of a client message
    :param draining: true while the proxy drains and refuses logins
    :param unit_counters: cached counters by kind of access and tenant
    """

    context: SessionContext
    login_policy: LoginPolicy
    registry: ClientRegistry
    executor: Executor
    metrics: ProxyMetrics
    tls: ClientTls | None
    startup_timeout_s: float
    stalled_client_s: float
    maximum_message_bytes: int
    draining: bool = False
    unit_counters: dict[tuple[Access, str], tuple[Counter, ...]] = field(default_factory=dict)

    def count_unit(self, unit: WorkUnit, end: AnswerEnd, seconds: float) -> None:
        """Count a unit that has ended.

        :param seconds: its duration, including its wait
        """
        self.metrics.request_seconds.observe(seconds)
        if end.code in CODE_BY_NUMBER:
            self.metrics.count_refusal(CODE_BY_NUMBER[end.code])
        key = (unit.access, unit.tenant)
        if key not in self.unit_counters:
            by_access = self.metrics.units.labels(unit.access.value)
            self.unit_counters[key] = (by_access, self.metrics.tenant_units.labels(unit.tenant))
        for counter in self.unit_counters[key]:
            counter.inc()


def current_moment() -> Moment:
    """Return the current monotonic and wall-clock time."""
    return Moment(time.monotonic(), int(time.time()))
