"""Simulated callers: sessions that switch proxies, read, write and run transactions."""

from __future__ import annotations

import random
from dataclasses import replace

from limedyke.postgres.member_login import MemberCredentials
from limedyke.result_codes import Outcome, ResultCode
from limedyke_lab.simulator.clients.caller_requests import (
    CallerPlan,
    OpenTransaction,
    Request,
    read_results,
)
from limedyke_lab.simulator.clients.postgres_client import (
    LoginRefused,
    PostgresClient,
    QueryAnswer,
    SessionStartup,
)
from limedyke_lab.simulator.history import History
from limedyke_lab.simulator.machine.kernel import Process, Timeout
from limedyke_lab.simulator.machine.network import Network, StreamClosed
from limedyke_lab.simulator.statement_sql import get_sql, put_sql
from limedyke_lab.simulator.statements import Get, Put

ANSWER_TIMEOUT_S = 9.0
RECONNECT_PAUSE_S = 0.15
DISCONNECT_SHARE = 0.12
READ_SHARE = 0.6
WRITE_SHARE = 0.25
TRANSACTION_SHARE = 0.1
ROLLBACK_SHARE = 0.15
LOST_TOKEN_SHARE = 0.2
"""Share of the reconnects on which a session presents its name without its token."""
READ_BACK_SHARE = 0.4
READ_BACK_DISCONNECT_SHARE = 0.3
MAXIMUM_ATTEMPTS = 12
RESEND_PAUSE_S = 0.25
OWN_KEYS = 2
SHARED_KEYS = 2


class Caller:
    """One session, which moves between proxies and presents its token to each."""

    def __init__(
        self, process: Process, network: Network, history: History, plan: CallerPlan, seed: str
    ) -> None:
        self.process = process
        self.name = process.name
        self.stopped = False
        self._network = network
        self._history = history
        self._plan = plan
        self._rng = random.Random(seed)
        self._client: PostgresClient | None = None
        self._proxy = ""
        self._token = ""
        self._own_writes: dict[str, str] = {}
        self._requests = 0
        process.start = lambda: process.spawn(self._run())

    async def _run(self) -> None:
        while not self.stopped:
            await self.process.sleep(self._rng.expovariate(1.0 / self._plan.think_s))
            self._maybe_disconnect(DISCONNECT_SHARE)
            draw = self._rng.random()
            if draw < READ_SHARE:
                await self._read(self._choose_key())
            elif draw < READ_SHARE + WRITE_SHARE:
                await self._write(once=False)
            elif draw < READ_SHARE + WRITE_SHARE + TRANSACTION_SHARE:
                await self._run_transaction()
            else:
                await self._write(once=self._plan.once_keys)
        self._disconnect()

    def _maybe_disconnect(self, share: float) -> None:
        """Disconnect with a probability of ``share``; the next request picks a proxy anew."""
        if self._rng.random() < share:
            self._disconnect()

    # ----- requests -----

    def _new_name(self) -> str:
        self._requests += 1
        return f"{self.name}.{self._requests}"

    def _choose_key(self) -> str:
        if self._rng.random() < 0.7:
            return f"{self.name}/{self._rng.randrange(OWN_KEYS)}"
        return f"shared/{self._rng.randrange(SHARED_KEYS)}"

    def _get(self, name: str, key: str) -> Get:
        must_hold = self._own_writes.get(key, "")
        return Get(name, f"{name}#1", self._plan.tenant, self.name, key, must_hold)

    def _put(self, name: str, key: str) -> Put:
        return Put(name, f"{name}#1", self._plan.tenant, self.name, key)

    async def _read(self, key: str) -> None:
        name = self._new_name()
        get = self._get(name, key)
        request = Request(
            name,
            "read",
            get_sql(get),
            transaction=name,
            expected=(get.attempt,),
            key=key,
            must_hold=get.must_hold,
        )
        await self._send(request)

    async def _write(self, once: bool) -> None:
        name, key = self._new_name(), self._choose_key()
        prefix = f"/*limedyke_once='{name}'*/ " if once else ""
        put = self._put(name, key)
        for attempt in range(1, MAXIMUM_ATTEMPTS + 1):
            request = Request(
                name,
                "once" if once else "write",
                prefix + put_sql(put),
                transaction=name,
                expected=(put.attempt,),
                writes=(name,),
                bound=() if once else (name,),
                key=key,
                attempt=attempt,
            )
            answer = await self._send(request)
            if answer.outcome == "done":
                self._own_writes[key] = name
                await self._read_back(key)
            if not once or answer.outcome not in (Outcome.UNKNOWN, Outcome.DID_NOT_RUN):
                return
            await self.process.sleep(RESEND_PAUSE_S)

    async def _read_back(self, key: str) -> None:
        """With some probability, read the key just written, sometimes through another proxy."""
        if self._rng.random() < READ_BACK_SHARE:
            self._maybe_disconnect(READ_BACK_DISCONNECT_SHARE)
            await self._read(key)

    async def _run_transaction(self) -> None:
        transaction = OpenTransaction(self._new_name())
        begun = await self._send(
            Request(transaction.name, "begin", "BEGIN", transaction.name, ("BEGIN",))
        )
        if begun.outcome != "done":
            return
        for _ in range(self._rng.randint(1, 3)):
            await self.process.sleep(self._rng.expovariate(1.0 / 0.01))
            answer = await self._send(self._transaction_step(transaction))
            if answer.outcome != "done":
                await self._roll_back_after_failure(transaction, answer)
                return
        if self._rng.random() < ROLLBACK_SHARE:
            await self._roll_back(transaction)
        else:
            await self._commit(transaction)

    def _transaction_step(self, transaction: OpenTransaction) -> Request:
        name, key = self._new_name(), self._choose_key()
        if self._rng.random() < 0.4:
            get = self._get(name, key)
            text, operation, attempt = get_sql(get), "read", get.attempt
        else:
            put = self._put(name, key)
            text, operation, attempt = put_sql(put), "put-in-transaction", put.attempt
            transaction.puts.append((key, name))
        request = Request(
            name,
            operation,
            text,
            transaction.name,
            expected=(attempt,),
            key=key,
            in_transaction=True,
            bound=tuple(put_name for _, put_name in transaction.puts),
        )
        if operation == "read":
            return replace(request, must_hold=self._own_writes.get(key, ""))
        return request

    async def _commit(self, transaction: OpenTransaction) -> None:
        puts = tuple(name for _, name in transaction.puts)
        name = self._new_name()
        request = Request(
            name,
            "commit",
            "COMMIT",
            transaction.name,
            expected=("COMMIT",),
            writes=puts,
            bound=puts,
            in_transaction=True,
        )
        answer = await self._send(request)
        if answer.outcome == "done":
            self._own_writes.update(transaction.puts)
        else:
            await self._roll_back_after_failure(transaction, answer)

    async def _roll_back_after_failure(
        self, transaction: OpenTransaction, answer: QueryAnswer
    ) -> None:
        if self._client is not None and answer.status != "I":
            await self._roll_back(transaction)

    async def _roll_back(self, transaction: OpenTransaction) -> None:
        await self._send(
            Request(
                self._new_name(),
                "rollback",
                "ROLLBACK",
                transaction.name,
                expected=("ROLLBACK",),
                in_transaction=True,
            )
        )

    # ----- sending -----

    async def _send(self, request: Request) -> QueryAnswer:
        """Send a request over the current or a new connection, and record its answer."""
        if not (request.in_transaction and self._client is None):
            await self._connect()
        plan = self._plan
        self._history.add(
            "request",
            request=request.name,
            attempt=request.attempt,
            session=self.name,
            tenant=plan.tenant,
            group=plan.group,
            operation=request.operation,
            transaction=request.transaction,
            proxy=self._proxy,
        )
        answer = await self._query(request.text)
        self._record(request, answer)
        if answer.ended:
            self._disconnect()
        return answer

    async def _query(self, text: str) -> QueryAnswer:
        if self._client is None:
            return QueryAnswer(cut_by_peer=False)
        if self._client.has_unexpected_answer():
            self._history.add("stray-answer", session=self.name, proxy=self._proxy)
        answer = await self._client.query(text, ANSWER_TIMEOUT_S)
        self._token = self._client.token
        return answer

    def _record(self, request: Request, answer: QueryAnswer) -> None:
        results, holds, member = read_results(request, answer)
        bound = request.bound
        if request.operation == "put-in-transaction" and (
            answer.code is not ResultCode.TRANSACTION_LOST
        ):
            bound = (request.name,)
        self._history.add(
            "answer",
            request=request.name,
            attempt=request.attempt,
            session=self.name,
            group=self._plan.group,
            operation=request.operation,
            transaction=request.transaction,
            in_transaction=request.in_transaction,
            outcome=answer.outcome,
            code=answer.code.label if answer.code is not None else answer.sqlstate,
            proxy=self._proxy,
            member=member,
            must_hold=request.must_hold,
            holds_own_write=holds,
            expected=request.expected,
            results=results,
            writes=request.writes,
            bound=bound,
        )
        if answer.cut_by_peer is not None and answer.code is None:
            self._history.add(
                "request-cut",
                request=request.name,
                proxy=self._proxy,
                by_proxy=answer.cut_by_peer,
            )

    # ----- connections -----

    async def _connect(self) -> None:
        plan = self._plan
        credentials = MemberCredentials(plan.user, f"{plan.tenant}/{plan.group}", plan.password)
        while self._client is None and not self.stopped:
            self._proxy, address = self._rng.choice(plan.proxies)
            try:
                self._client = await PostgresClient.connect(
                    self.process, self._network, address, credentials, self._startup_parameters()
                )
            except LoginRefused as refused:
                self._history.add(
                    "login-refused", session=self.name, proxy=self._proxy, detail=str(refused)
                )
                await self.process.sleep(RECONNECT_PAUSE_S * (0.5 + self._rng.random()))
            except (StreamClosed, Timeout):
                await self.process.sleep(RECONNECT_PAUSE_S * (0.5 + self._rng.random()))

    def _startup_parameters(self) -> SessionStartup:
        """Return the session's name with its token, or without it to simulate a lost token."""
        if self._rng.random() < LOST_TOKEN_SHARE:
            self._history.add("token-lost", session=self.name)
            return SessionStartup(self.name, "")
        return SessionStartup(self.name, self._token)

    def _disconnect(self) -> None:
        if self._client is not None:
            self._client.close()
            self._client = None
