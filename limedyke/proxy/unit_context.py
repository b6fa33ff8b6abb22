"""The context in which one unit runs: the unit, its group and its caller."""

from __future__ import annotations

import re
import time
from collections.abc import Iterator
from dataclasses import dataclass

from result import Result

from limedyke.messages.work import Access, AnswerEnd, LogPosition, TransactionStatus, WorkUnit
from limedyke.proxy.executor import Relay, jittered
from limedyke.proxy.forwarding.work_key import WorkKey
from limedyke.proxy.members.connection import BackendConnection, InternalQueryResult
from limedyke.proxy.members.gate import Grant, MemberGate
from limedyke.proxy.members.group import BackendGroup
from limedyke.proxy.metrics import ProxyMetrics
from limedyke.proxy.open_transactions import OpenTransaction, OpenTransactions, RunningUnit
from limedyke.proxy.unit_exchange import Exchange, ExchangePlan
from limedyke.result_codes import Failure, ResultCode
from limedyke.settings.proxy import ProxySettings

NO_LEASE_RETRY_MS = 500
_MAY_END_TRANSACTION = re.compile(
    rb"(?:Q.{4}|\b)(?:commit|end|rollback|abort|prepare)\b", re.IGNORECASE | re.DOTALL
)
"""``Q.{4}`` matches the type and the length of a Query message.

The length bytes may be letters, in which case no word boundary precedes the statement.
"""
_MAY_SET_TRANSACTION = re.compile(
    rb"(?:Q.{4}|[;\0]|^)\s*(?:begin|start|set)\b", re.IGNORECASE | re.DOTALL
)


def _statement_texts(unit: WorkUnit) -> Iterator[bytes]:
    """Yield the texts of a unit that may contain statements."""
    yield unit.data
    for statement in unit.prepared:
        yield statement.text.encode()


def may_end_transaction(unit: WorkUnit) -> bool:
    """Return whether a unit may contain a statement that ends a transaction."""
    return any(_MAY_END_TRANSACTION.search(text) for text in _statement_texts(unit))


def may_set_transaction(unit: WorkUnit) -> bool:
    """Return whether a unit may open a transaction or set its properties.

    The proxy must not run a query of its own after such a batch, since
    SET TRANSACTION is only allowed before the first query of a transaction.
    """
    return any(_MAY_SET_TRANSACTION.search(text) for text in _statement_texts(unit))


@dataclass(slots=True, eq=False)
class UnitContext:
    """One running unit and the objects that it uses.

    :param origin: the link from which the unit came, or ``LOCAL_ORIGIN``
    :param metrics: counts routing decisions and waits
    """

    settings: ProxySettings
    group: BackendGroup
    unit: WorkUnit
    relay: Relay
    running: RunningUnit
    transactions: OpenTransactions
    origin: str
    metrics: ProxyMetrics

    @property
    def deadline_at(self) -> float:
        """Deadline for waiting and running, in monotonic seconds."""
        return self.running.deadline_at

    @property
    def expired(self) -> bool:
        """Whether the deadline has passed."""
        return time.monotonic() >= self.running.deadline_at

    @property
    def transaction_key(self) -> WorkKey:
        """The key of the unit's transaction."""
        return WorkKey(self.origin, self.unit.transaction)

    async def prepare_connection(self, connection: BackendConnection) -> Failure | None:
        """Apply the session's settings to the connection.

        :raises ConnectionLostError: when it breaks; no part of the unit has been sent
        """
        if connection.state.settings == self.unit.settings:
            return None
        return await connection.apply_settings(self.unit.settings)

    async def exchange(self, connection: BackendConnection, plan: ExchangePlan) -> Exchange:
        """Run the unit's batch on a connection.

        Any exception, such as the caller's cancellation, breaks the connection.
        """
        exchange = Exchange(connection, self.unit, self.relay, plan)
        self.running.connection = connection
        try:
            await exchange.run()
        except BaseException:
            connection.broken = True
            raise
        finally:
            self.running.connection = None
        if exchange.failure is not None:
            connection.broken = True
        else:
            self._observe(exchange)
        return exchange

    def _observe(self, exchange: Exchange) -> None:
        connection = exchange.connection
        if connection.is_replica is None or not exchange.checked:
            return
        name = connection.endpoint.name
        view = self.group.view
        now = time.monotonic()
        view.observed(name, connection.last_position, connection.is_replica, exchange.asked_at, now)
        state = view.members.get(name)
        if state is not None and self.unit.access is Access.READ:
            state.answered_in(now - exchange.asked_at)

    def keep_transaction(
        self, gate: MemberGate, connection: BackendConnection, term: int, status: TransactionStatus
    ) -> bool:
        """Record a transaction that the unit left open; return whether there is one."""
        if status is TransactionStatus.IDLE:
            return False
        if self.unit.transaction == 0:
            connection.broken = True
            return False
        self.transactions.add(
            OpenTransaction(
                self.transaction_key,
                self.unit.tenant,
                self.unit.group,
                self.unit.access,
                gate,
                connection,
                term,
                status,
            )
        )
        return True

    async def execute(self, connection: BackendConnection, sql: str) -> InternalQueryResult:
        """Run one of the proxy's own statements as part of the unit.

        :raises ConnectionLostError: when the connection breaks
        """
        self.running.connection = connection
        try:
            return await connection.execute(sql)
        except BaseException:
            connection.broken = True
            raise
        finally:
            self.running.connection = None

    async def acquire(self, gate: MemberGate) -> Result[Grant, Failure]:
        """Wait for a slot and a connection of the unit's tenant, and record the wait time."""
        asked_at = time.monotonic()
        acquired = await gate.acquire(self.unit, self.deadline_at)
        self.metrics.queue_wait_seconds.observe(time.monotonic() - asked_at)
        return acquired

    def answer_end(
        self, member: str, status: TransactionStatus, position: LogPosition, by_replica: bool
    ) -> AnswerEnd:
        """Return the end of a complete answer."""
        return AnswerEnd(self.unit.stream, status, position, member, by_replica)

    def no_lease(self) -> AnswerEnd:
        """Return the end for a unit whose tenant has no lease here.

        The unit does not wait, because another home proxy may have a lease.
        """
        detail = f"no lease of {self.unit.tenant} here"
        retry_after_ms = jittered(NO_LEASE_RETRY_MS)
        return self.failed(Failure(ResultCode.NO_MEMBER, detail, retry_after_ms))

    def failed(
        self, failure: Failure, status: TransactionStatus = TransactionStatus.IDLE
    ) -> AnswerEnd:
        """Return the end of the answer to a unit that failed."""
        return AnswerEnd(
            self.unit.stream,
            status,
            LogPosition(),
            "",
            False,
            failure.code.value.number,
            failure.detail,
            failure.retry_after_ms or 0,
        )
