"""Opens connections to one member and records the outcomes in ``ObservedMember``."""

from __future__ import annotations

import time
from collections.abc import Callable

import curio
from curio import socket
from result import Err, Ok, Result

from limedyke.addresses import split_address
from limedyke.core.statements.observed_member import ObservedMember
from limedyke.event_log import EventLog
from limedyke.messages.statements import AnswerKind
from limedyke.messages.work import LogPosition
from limedyke.proxy.statements.members.member_codec import MemberCodec
from limedyke.proxy.statements.members.member_connection import (
    ConnectionLostError,
    ConnectionRefusedByMemberError,
    MemberConnection,
)
from limedyke.proxy.statements.members.member_traffic import MemberTraffic
from limedyke.proxy.statements.members.present_time import call_with_timeout

EVENTS = EventLog("pools")
Opened = Result[MemberConnection, ConnectionLostError | ConnectionRefusedByMemberError]


class MemberConnector:
    """Opens connections to exactly one member.

    :param observed: records the outcome of each attempt
    :param make_codec: creates the codec of a connection
    :param source_ip: local address; empty for any
    :param connect_timeout_s: timeout of an attempt; longer if the member is known to be slower
    :param traffic: counts the bytes of all its connections
    """

    def __init__(
        self,
        observed: ObservedMember,
        make_codec: Callable[[], MemberCodec],
        source_ip: str,
        connect_timeout_s: float,
        traffic: MemberTraffic,
    ) -> None:
        self.connect_timeout_s = connect_timeout_s
        self._observed = observed
        self._make_codec = make_codec
        self._source_ip = source_ip
        self._traffic = traffic

    async def open(self, tenant: str) -> Opened:
        """Open a connection for a tenant.

        A timeout is ignored and the attempt repeated if this process was paused meanwhile.
        """
        observed = self._observed
        limit_s = max(self.connect_timeout_s, observed.opening.longest_s)
        while True:
            asked_at = time.monotonic()
            reported = observed.told
            try:
                connection = await call_with_timeout(limit_s, self._connect, tenant)
                connection.open_s = observed.awaited_s(asked_at, time.monotonic())
                return await self._check_log(connection, reported)
            except curio.TaskTimeout:
                if observed.answer_timed_out(asked_at, limit_s, time.monotonic()):
                    return Err(ConnectionLostError("no answer to a connection attempt"))
            except ConnectionRefusedByMemberError as error:
                now = time.monotonic()
                if error.answer.kind is not AnswerKind.WRONG_MEMBER:
                    observed.answered(now, None)
                if error.answer.kind is AnswerKind.BUSY:
                    observed.concurrency.turned_away(now - asked_at, now)
                return Err(error)
            except ConnectionLostError as error:
                if not observed.answered_lately(time.monotonic()):
                    observed.broke(time.monotonic())
                return Err(error)

    async def check_address(self, timeout_s: float) -> None:
        """Check whether the member's address accepts TCP; used when no connection is free."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        asked_at = time.monotonic()
        try:
            async with sock, curio.timeout_after(timeout_s):
                if self._source_ip:
                    sock.bind((self._source_ip, 0))
                await sock.connect(split_address(self._observed.record.address))
        except curio.TaskTimeout:
            self._observed.answer_timed_out(asked_at, timeout_s, time.monotonic())
        except OSError:
            self._observed.broke(time.monotonic())

    async def _connect(self, tenant: str) -> MemberConnection:
        record = self._observed.record
        return await MemberConnection.open(
            record.address,
            record.group,
            record.identity,
            self._make_codec(),
            self._source_ip,
            self._traffic,
            tenant,
        )

    async def _check_log(self, connection: MemberConnection, reported: LogPosition) -> Opened:
        """Close a new connection to a primary that lost the log it reported before."""
        observed = self._observed
        had_lost_log = observed.has_lost_log
        observed.opened_at(connection.opening_position, reported)
        if not observed.has_lost_log:
            return Ok(connection)
        if not had_lost_log:
            identity = observed.record.identity
            EVENTS.warning(
                "primary-lost-log", member=identity, at=connection.opening_position, told=reported
            )
        await connection.close()
        return Err(ConnectionLostError("the member has lost its log"))
