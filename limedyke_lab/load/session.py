"""A client session that runs operations and moves between proxies with its session token."""

from __future__ import annotations

import asyncio
import os
import random
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

import psycopg
from psycopg import AsyncConnection
from psycopg.rows import dict_row

from limedyke.addresses import split_address
from limedyke.postgres.member_batch import DUPLICATE_TEXT
from limedyke_lab.history import ClientOutcome, Event, Kind, NoAnswer, Operation
from limedyke_lab.load.operations import Operations
from limedyke_lab.load.outcome import failed_operation
from limedyke_lab.load.settings import LoadSettings, SessionProfile

TOKEN_PARAMETER = b"limedyke.session"
RECONNECT_PAUSE_S = 0.05
REFUSED_PAUSE_S = 0.02
KEYED_ATTEMPTS = 4
CLOSE_TIMEOUT_S = 1.0
NANOSECONDS = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Login:
    """Address and credentials of a connection."""

    address: str
    user: str
    password: str
    dbname: str
    options: str = ""


Recorder = Callable[[Operation | Event], None]
Run = Callable[[Operations, Operation], Awaitable[Operation]]


@dataclass(slots=True)
class SharedState:
    """State shared by the sessions of one worker: request numbers and register owners."""

    next_number: int
    owners: dict[str, list[str]] = field(default_factory=dict)

    def next_request_number(self) -> int:
        """Return the next request number."""
        number = self.next_number
        self.next_number += 1
        return number


def shut_down_socket(connection: AsyncConnection) -> None:
    """Shut down the socket of a connection so that its pending operation fails."""
    try:
        duplicate = socket.socket(fileno=os.dup(connection.fileno()))
    except (psycopg.Error, OSError):
        return
    with duplicate:
        try:
            duplicate.shutdown(socket.SHUT_RDWR)
        except OSError:
            return


class ClientSession:
    """One session of a profile.

    :param name: unique across all workers; also the owner name of its register
    :param group: the database group it works on
    """

    def __init__(
        self,
        name: str,
        group: str,
        profile: SessionProfile,
        settings: LoadSettings,
        shared: SharedState,
        record: Recorder,
    ) -> None:
        self.name = name
        self.group = group
        self._profile = profile
        self._settings = settings
        self._shared = shared
        self._record = record
        self._random = random.Random(f"{settings.seed}/{name}")
        self._proxies = sorted(settings.proxies)
        self._proxy = self._random.choice(self._proxies)
        self._connection: AsyncConnection | None = None
        self._token = ""
        self._repeated = False

    async def run(self, is_over: Callable[[], bool]) -> None:
        """Run operations until the load is over."""
        weights = self._profile.mix.weights()
        kinds, shares = list(weights), list(weights.values())
        await asyncio.sleep(self._random.random() * self._profile.think_ms / 1_000)
        while not is_over():
            if self._random.random() < self._profile.roam_probability:
                await self._roam()
            if await self._ensure_connected():
                await self._operate(self._random.choices(kinds, shares)[0])
            await asyncio.sleep(self._random.expovariate(1) * self._profile.think_ms / 1_000)
        await self._disconnect()

    # Connections

    async def _roam(self) -> None:
        """Disconnect and choose another proxy; the token is kept."""
        await self._disconnect()
        others = [proxy for proxy in self._proxies if proxy != self._proxy]
        if others:
            self._proxy = self._random.choice(others)

    async def _disconnect(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            try:
                await asyncio.wait_for(connection.close(), CLOSE_TIMEOUT_S)
            except (TimeoutError, psycopg.Error, OSError):
                return

    async def _ensure_connected(self) -> bool:
        if self._connection is not None and not self._connection.closed:
            return True
        options = ""
        if self._token and self._profile.carry_token:
            options = f"-c limedyke.session={self._token}"
        dbname = self._settings.dbname.format(tenant=self._profile.tenant, group=self.group)
        address = self._settings.proxies[self._proxy]
        login = Login(address, self._profile.user, self._profile.password, dbname, options)
        try:
            self._connection = await self._connect(login)
        except (psycopg.Error, OSError) as error:
            self._note("connect-failed", self._proxy, str(error)[:200])
            await self._roam()
            await asyncio.sleep(RECONNECT_PAUSE_S)
            return False
        return True

    async def _connect(self, login: Login) -> AsyncConnection:
        """Open a connection.

        :raises psycopg.Error: when it is refused or times out
        """
        host, port = split_address(login.address)
        connection = await AsyncConnection.connect(
            host=host,
            port=port,
            user=login.user,
            password=login.password,
            dbname=login.dbname,
            options=login.options,
            application_name=self.name,
            autocommit=True,
            row_factory=dict_row,
            connect_timeout=self._settings.connect_timeout_s,
        )
        connection.add_notice_handler(self._on_notice)
        return connection

    def _on_notice(self, notice: psycopg.errors.Diagnostic) -> None:
        """Record that the response was marked as a repetition of an earlier one."""
        self._repeated = self._repeated or notice.message_primary == DUPLICATE_TEXT

    def _note(self, name: str, target: str, detail: str = "") -> None:
        self._record(Event(time.monotonic_ns(), name, target, detail=detail))

    def _store_token(self, connection: AsyncConnection) -> None:
        """Store the newest token received with a response."""
        value = None if connection.closed else connection.pgconn.parameter_status(TOKEN_PARAMETER)
        if value:
            self._token = value.decode()

    # Operations

    async def _operate(self, kind: Kind) -> None:
        match kind:
            case Kind.READ:
                await self._read()
            case Kind.WRITE:
                await self._run_and_record(self._begin(Kind.WRITE, self.name), Operations.write)
            case Kind.MARK:
                await self._mark()
            case Kind.TRANSACTION:
                operation = self._begin(Kind.TRANSACTION, self.name)
                await self._run_and_record(operation, Operations.transaction)

    def _begin(self, kind: Kind, owner: str) -> Operation:
        """Return the record of an operation about to start."""
        return Operation(
            number=self._shared.next_request_number(),
            session=self.name,
            tenant=self._profile.tenant,
            group=self.group,
            proxy=self._proxy,
            kind=kind,
            start_ns=time.monotonic_ns(),
            end_ns=0,
            outcome=ClientOutcome.UNKNOWN,
            owner=owner,
            traceable=kind in (Kind.MARK, Kind.TRANSACTION) or not self._profile.extended,
        )

    async def _read(self) -> None:
        owners = self._shared.owners.get(self.group) or [self.name]
        own = self._random.random() < self._profile.own_read_share
        owner = self.name if own else self._random.choice(owners)
        await self._run_and_record(self._begin(Kind.READ, owner), Operations.read)

    async def _mark(self) -> None:
        """Send a keyed mark; retry through other proxies while its outcome is unknown."""
        operation = self._begin(Kind.MARK, self.name)
        operation = replace(operation, once_key=f"mark-{operation.number}")
        for attempt in range(1, KEYED_ATTEMPTS + 1):
            start_ns = time.monotonic_ns()
            outcome = await self._run_and_record(
                replace(operation, attempt=attempt, proxy=self._proxy, start_ns=start_ns),
                Operations.mark,
            )
            if outcome is not ClientOutcome.UNKNOWN:
                return
            await self._roam()
            if not await self._ensure_connected():
                return

    async def _run_and_record(self, operation: Operation, run: Run) -> ClientOutcome:
        """Run an operation, record it and return its outcome."""
        connection = self._connection
        timeout_s = self._settings.operation_timeout_s
        timer = asyncio.get_running_loop().call_later(timeout_s, shut_down_socket, connection)
        self._repeated = False
        try:
            done = await run(Operations(connection, self._profile.extended), operation)
            done = replace(done, repeated=self._repeated)
            self._store_token(connection)
        except psycopg.Error as error:
            done = failed_operation(operation, error)
        finally:
            timer.cancel()
        done = replace(done, end_ns=time.monotonic_ns())
        if done.no_answer and done.end_ns - done.start_ns >= timeout_s * NANOSECONDS:
            done = replace(done, no_answer=NoAnswer.TIMED_OUT)
        self._record(done)
        if connection.closed:
            await self._roam()
        elif done.outcome is not ClientOutcome.DONE:
            await asyncio.sleep(REFUSED_PAUSE_S)
        return done.outcome
