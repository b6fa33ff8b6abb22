"""Probes one member over connections of the ``limedyke_admin`` login."""

from __future__ import annotations

import time
from dataclasses import dataclass

import curio
from result import Err, Ok, Result

from limedyke.postgres.member_answer import AnswerViolationError
from limedyke.postgres.member_frames import PositionAnswer
from limedyke.postgres.member_login import MemberCredentials
from limedyke.proxy.members.connection import (
    BackendConnection,
    ConnectionLostError,
    InternalQueryResult,
    MemberEndpoint,
)
from limedyke.result_codes import Failure, ResultCode

ADMIN_USER = "limedyke_admin"
ADMIN_DATABASE = "postgres"
KEPT_CONNECTIONS = 2
KEPT_CONNECTION_TIMEOUT_S = 0.5
"""A statement unanswered for this long on a kept connection is also sent on a new one."""
OVERLOADED_SQLSTATE = "53300"
"""PostgreSQL's ``too_many_connections``."""


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """A member's answer to a probe.

    :param round_trip_s: seconds from query to answer; None for a new connection, where the
        time includes the login
    """

    position: PositionAnswer
    round_trip_s: float | None


@dataclass(frozen=True, slots=True)
class _Attempt:
    """One statement on a kept and a new connection.

    :param kept_lost: set when the kept connection failed
    :param failures: failures on both connections, in order
    """

    kept_lost: curio.Event
    failures: list[Failure]


class MemberProbe:
    """Queries one member for its position, and runs statements with the admin login."""

    def __init__(self, endpoint: MemberEndpoint, password: str, timeout_s: float) -> None:
        self.endpoint = endpoint
        self._credentials = MemberCredentials(ADMIN_USER, ADMIN_DATABASE, password)
        self._timeout_s = timeout_s
        self._idle: list[BackendConnection] = []

    async def ask(self, timeout_s: float | None = None) -> Result[ProbeAnswer, Failure]:
        """Query term and position, on a kept connection if there is one.

        :param timeout_s: how long to wait for the answer; None for the default of this probe
        """
        timeout_s = self._timeout_s if timeout_s is None else timeout_s
        connection = await self._take()
        if connection is None:
            opened = await self._open(timeout_s)
            if isinstance(opened, Err):
                return opened
            connection = opened.ok_value
            assert connection.is_replica is not None
            answer = PositionAnswer(connection.last_position, connection.is_replica)
            await self._keep(connection)
            return Ok(ProbeAnswer(answer, None))
        return await self._ask_over(connection, timeout_s)

    async def _ask_over(
        self, connection: BackendConnection, timeout_s: float
    ) -> Result[ProbeAnswer, Failure]:
        asked_at = time.monotonic()
        try:
            async with curio.timeout_after(timeout_s):
                answer = await connection.ask_position()
        except (ConnectionLostError, AnswerViolationError) as error:
            await connection.close()
            return Err(Failure(ResultCode.NO_MEMBER, str(error)))
        except curio.TaskTimeout:
            connection.broken = True
            await connection.close()
            return Err(Failure(ResultCode.QUEUE_TIMEOUT, "probe timeout"))
        except BaseException:
            connection.broken = True
            await connection.close()
            raise
        round_trip_s = time.monotonic() - asked_at
        await self._keep(connection)
        return Ok(ProbeAnswer(answer, round_trip_s))

    async def execute(self, sql: str, timeout_s: float) -> Result[InternalQueryResult, Failure]:
        """Run one idempotent statement, on a kept connection if there is one.

        A kept connection saves the round trips of a login.  When it is lost, or does not answer
        within ``KEPT_CONNECTION_TIMEOUT_S``, the statement is also sent on a new connection, and
        the first answer is returned.

        :param timeout_s: how long to wait in total
        """
        ends_at = time.monotonic() + timeout_s
        kept = await self._take()
        if kept is None:
            return await self._execute_fresh(sql, ends_at)
        attempt = _Attempt(curio.Event(), [])
        async with curio.TaskGroup(wait=object) as tasks:
            await tasks.spawn(self._try_kept, kept, sql, ends_at, attempt)
            await tasks.spawn(self._try_fresh, sql, ends_at, attempt)
        if tasks.completed is not None:
            return tasks.result
        return Err(attempt.failures[-1])

    async def _try_kept(
        self, kept: BackendConnection, sql: str, ends_at: float, attempt: _Attempt
    ) -> Ok[InternalQueryResult] | None:
        answer = await self._execute_over(kept, sql, ends_at - time.monotonic())
        if isinstance(answer, Ok):
            return answer
        attempt.failures.append(answer.err_value)
        await attempt.kept_lost.set()
        return None

    async def _try_fresh(
        self, sql: str, ends_at: float, attempt: _Attempt
    ) -> Ok[InternalQueryResult] | None:
        await curio.ignore_after(KEPT_CONNECTION_TIMEOUT_S, attempt.kept_lost.wait)
        answer = await self._execute_fresh(sql, ends_at)
        if isinstance(answer, Ok):
            return answer
        attempt.failures.append(answer.err_value)
        return None

    async def _execute_fresh(
        self, sql: str, ends_at: float
    ) -> Result[InternalQueryResult, Failure]:
        opened = await self._open(max(0.0, ends_at - time.monotonic()))
        if isinstance(opened, Err):
            return opened
        left_s = max(0.0, ends_at - time.monotonic())
        return await self._execute_over(opened.ok_value, sql, left_s)

    async def _execute_over(
        self, connection: BackendConnection, sql: str, timeout_s: float
    ) -> Result[InternalQueryResult, Failure]:
        try:
            async with curio.timeout_after(timeout_s):
                answer = await connection.execute(sql)
        except ConnectionLostError as error:
            await connection.close()
            return Err(Failure(ResultCode.NO_MEMBER, f"{self.endpoint.name}: {error}"))
        except curio.TaskTimeout:
            connection.broken = True
            await connection.close()
            return Err(Failure(ResultCode.QUEUE_TIMEOUT, f"{self.endpoint.name}: no answer"))
        except BaseException:
            connection.broken = True
            await connection.close()
            raise
        await self._keep(connection)
        return Ok(answer)

    async def _open(self, timeout_s: float) -> Result[BackendConnection, Failure]:
        return await BackendConnection.open(self.endpoint, self._credentials, timeout_s)

    async def _take(self) -> BackendConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.check_idle():
                return connection
            await connection.close()
        return None

    async def _keep(self, connection: BackendConnection) -> None:
        if len(self._idle) < KEPT_CONNECTIONS:
            self._idle.append(connection)
        else:
            await connection.close()

    async def close(self) -> None:
        """Close the kept connections."""
        while self._idle:
            await self._idle.pop().close()


def is_overload(failure: Failure) -> bool:
    """Return whether a member refused a login because it has no free connections."""
    return OVERLOADED_SQLSTATE in failure.detail


def is_silence(failure: Failure) -> bool:
    """Return whether a probe failed because it timed out."""
    return failure.code is ResultCode.QUEUE_TIMEOUT or "timeout" in failure.detail
