"""What running one unit needs: the unit, its group, its caller, and the running mark."""

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
"""The bytes of a Query's length may be letters, so that no word boundary follows them."""
_MAY_SET_TRANSACTION = re.compile(
    rb"(?:Q.{4}|[;\0]|^)\s*(?:begin|start|set)\b", re.IGNORECASE | re.DOTALL
)


def _texts(unit: WorkUnit) -> Iterator[bytes]:
    """Return all that holds statements of a unit."""
    yield unit.data
    for statement in unit.prepared:
        yield statement.text.encode()


def may_end_transaction(unit: WorkUnit) -> bool:
    """Tell whether a unit may hold a statement that ends a transaction."""
    return any(_MAY_END_TRANSACTION.search(text) for text in _texts(unit))


def may_set_transaction(unit: WorkUnit) -> bool:
    """Tell whether a unit may open a transaction or set its properties.

    No query may run behind such a batch, since SET TRANSACTION has to come
    before the first query.
    """
    return any(_MAY_SET_TRANSACTION.search(text) for text in _texts(unit))


@dataclass(slots=True, eq=False)
class UnitContext:
    """One unit on its way.

    :param origin: the link the unit came over, or ``LOCAL_ORIGIN``
    :param metrics: counts the decisions
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
        """When waiting and running end, in monotonic seconds."""
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
        """Give the connection the session's settings.

        :raises ConnectionLostError: when it breaks; nothing of the unit was sent
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
        view.observed(name, connection.known, connection.is_replica, exchange.asked_at, now)
        state = view.members.get(name)
        if state is not None and self.unit.access is Access.READ:
            state.answered_in(now - exchange.asked_at)

    def keep_transaction(
        self, gate: MemberGate, connection: BackendConnection, term: int, status: TransactionStatus
    ) -> bool:
        """Note a transaction that the unit left open; tell whether there is one."""
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
        """Run a statement of the proxy itself as a part of the unit.

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
        """Wait for a slot and a connection of the unit's tenant; the wait is measured."""
        asked_at = time.monotonic()
        acquired = await gate.acquire(self.unit, self.deadline_at)
        self.metrics.queue_wait_seconds.observe(time.monotonic() - asked_at)
        return acquired

    def answer_end(
        self, member: str, status: TransactionStatus, position: LogPosition, by_replica: bool
    ) -> AnswerEnd:
        """Return the end of an answer that came whole."""
        return AnswerEnd(self.unit.stream, status, position, member, by_replica)

    def no_lease(self) -> AnswerEnd:
        """Return the end for a unit whose tenant has no connections here: told at once.

        Another home proxy may have some.
        """
        detail = f"no lease of {self.unit.tenant} here"
        retry_after_ms = jittered(NO_LEASE_RETRY_MS)
        return self.failed(Failure(ResultCode.NO_MEMBER, detail, retry_after_ms))

    def failed(
        self, failure: Failure, status: TransactionStatus = TransactionStatus.IDLE
    ) -> AnswerEnd:
        """Return the end of an answer that failed."""
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
