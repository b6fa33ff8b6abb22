"""One open connection to a member."""

from __future__ import annotations

import select
import time
from collections import deque

import curio
from curio import socket
from result import Err, Ok, Result

from limedyke.addresses import split_address
from limedyke.messages.statements import (
    AnswerKind,
    MemberAnswer,
    MemberStatus,
    PreparedShape,
    Statement,
)
from limedyke.messages.work import LogPosition, TransactionStatus
from limedyke.proxy.statements.members.member_codec import MemberCodec
from limedyke.proxy.statements.members.member_traffic import UNCOUNTED, MemberTraffic
from limedyke.transport.traffic import Purpose

RECEIVE_BYTES = 64 * 1024
USER_TIMEOUT_MS = 3_000
MAXIMUM_PREPARED_STATEMENTS = 256
LOST = MemberAnswer(AnswerKind.LOST)


class ConnectionLostError(Exception):
    """The connection broke, or could not be opened."""


class ConnectionRefusedByMemberError(Exception):
    """The member refused the connection; ``answer`` says why."""

    def __init__(self, answer: MemberAnswer) -> None:
        super().__init__(answer.kind)
        self.answer = answer


class MemberConnection:
    """Runs statements one after the other. If its state is uncertain it is closed, never reused.

    :ivar tenant: the only tenant whose statements it runs
    :ivar values: session values set on the connection
    :ivar status: of the connection's transaction
    :ivar checked_out_at: when a request last checked it out
    :ivar last_received_at: when data last arrived on it
    :ivar is_reserved: it is checked out by a request that has not sent anything yet
    :ivar connect_s: duration of the TCP connect, about one network round trip
    :ivar open_s: duration of the whole opening, without pauses of this process
    :ivar opening_position: the member's log position at the opening; None if not reported
    """

    def __init__(
        self,
        sock: socket.socket,
        codec: MemberCodec,
        traffic: MemberTraffic = UNCOUNTED,
        tenant: str = "",
    ) -> None:
        self.tenant = tenant
        self._socket = sock
        self._traffic = traffic
        self._purpose = Purpose.STATEMENTS
        self._codec = codec
        self._answers: deque[MemberAnswer] = deque()
        self._prepared: dict[PreparedShape, str] = {}
        self.values: dict[str, str] = {}
        self.status = TransactionStatus.IDLE
        self.is_closed = False
        self.idle_since = time.monotonic()
        self.checked_out_at = self.idle_since
        self.last_received_at = self.idle_since
        self.is_reserved = False
        self.connect_s = 0.0
        self.open_s = 0.0
        self.opening_position: LogPosition | None = None

    @classmethod
    async def open(
        cls,
        address: str,
        group: str,
        identity: str,
        codec: MemberCodec,
        source_ip: str,
        traffic: MemberTraffic = UNCOUNTED,
        tenant: str = "",
    ) -> MemberConnection:
        """Open a connection to exactly this member.

        :param tenant: whose statements it will run; empty for status queries and public databases
        :raises ConnectionLostError: when the connection can't be established
        :raises ConnectionRefusedByMemberError: when the member refuses the connection
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection = cls(sock, codec, traffic, tenant)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
            if source_ip:
                sock.bind((source_ip, 0))
            began_at = time.monotonic()
            await sock.connect(split_address(address))
            connection.connect_s = time.monotonic() - began_at
            await connection._send(codec.open(group, identity, tenant))
            answer = await connection._receive()
        except (OSError, ValueError) as error:
            await connection.close()
            raise ConnectionLostError(str(error)) from None
        except curio.CancelledError:
            await connection.close()
            raise
        if answer.kind is not AnswerKind.DONE:
            await connection.close()
            raise ConnectionRefusedByMemberError(answer)
        connection.opening_position = answer.position
        return connection

    def is_alive(self) -> bool:
        """Tell whether an idle connection is still open, with no unexpected data to read."""
        if self.is_closed:
            return False
        readable, _, _ = select.select([self._socket.fileno()], [], [], 0)
        return not readable

    async def close(self) -> None:
        """Close the connection; the member rolls back an open transaction."""
        if self.is_closed:
            return
        self.is_closed = True
        try:
            await self._socket.close()
        except OSError:
            return

    async def run(
        self,
        statement: Statement,
        values: dict[str, str],
        begin: Statement | None = None,
        prepared: PreparedShape | None = None,
        after: LogPosition | None = None,
        send_by: float = float("inf"),
    ) -> MemberAnswer:
        """Run a statement under the session's values.

        :param begin: statement that begins a transaction first
        :param after: log position that the member must hold for the first of these statements
        :param send_by: latest time to send it, seconds of the monotonic clock
        :returns: the statement's answer, or that of ``begin`` if it failed;
            ``LOST`` when the connection broke and the statement may have run;
            ``TOO_LATE`` when its time was over before it was sent
        """
        name = ""
        preparations = self._requests_to_set(values)
        if prepared is not None:
            name = self._prepared_name(prepared, preparations)
        if preparations and not await self._prepare(preparations):
            return MemberAnswer(AnswerKind.NOT_SENT, detail="session values could not be set")
        if begin is not None:
            begun = await self._exchange([self._codec.statement(begin, after)])
            if begun.kind is AnswerKind.LOST:
                return MemberAnswer(AnswerKind.NOT_SENT, detail="connection lost during BEGIN")
            if begun.kind is not AnswerKind.DONE:
                return begun
            after = None
        if time.monotonic() >= send_by:
            return MemberAnswer(AnswerKind.TOO_LATE, detail="not sent in time")
        if prepared is not None:
            return await self._exchange([self._codec.execute(statement, name, after)])
        return await self._exchange([self._codec.statement(statement, after)])

    async def _prepare(self, preparations: list[bytes]) -> bool:
        """Send the requests that set the session's state; close the connection if one fails."""
        answer = await self._exchange(preparations)
        if answer.kind is not AnswerKind.DONE:
            await self.close()
        return answer.kind is AnswerKind.DONE

    async def roll_back(self) -> MemberAnswer:
        """Roll the open transaction back."""
        return await self._exchange([self._codec.rollback()])

    async def ask_status(self) -> MemberStatus | None:
        """Return the member's status; None when it is too busy to answer.

        :raises ConnectionLostError: when the connection broke
        """
        answer = await self._ask(self._codec.ask_status())
        return self._codec.read_status(answer) if answer.kind is AnswerKind.DONE else None

    async def hold(self, term: int) -> Result[MemberStatus, MemberAnswer]:
        """Stop a replica from receiving; return its status, or the answer that refuses it.

        :param term: see ``MemberCodec``
        :raises ConnectionLostError: when the connection broke
        """
        answer = await self._ask(self._codec.hold(term))
        status = self._codec.read_status(answer) if answer.kind is AnswerKind.DONE else None
        return Ok(status) if status is not None else Err(answer)

    async def release(self) -> MemberAnswer:
        """Let a held replica receive again.

        :raises ConnectionLostError: when the connection broke
        """
        return await self._ask(self._codec.release())

    async def _ask(self, request: bytes) -> MemberAnswer:
        """Send a request of the proxy's own and return the answer.

        :raises ConnectionLostError: when the connection broke
        """
        self._purpose = Purpose.QUESTIONS
        try:
            answer = await self._exchange([request])
        finally:
            self._purpose = Purpose.STATEMENTS
        if answer.kind is AnswerKind.LOST:
            raise ConnectionLostError("no answer to a request of the proxy's own")
        return answer

    def _requests_to_set(self, values: dict[str, str]) -> list[bytes]:
        """Return the requests that give the connection exactly these values."""
        if values == self.values:
            return []
        requests = []
        present = self.values
        if not present.keys() <= values.keys() or len(self._prepared) > MAXIMUM_PREPARED_STATEMENTS:
            requests.append(self._codec.discard())
            self._prepared.clear()
            present = {}
        for name, value in values.items():
            if present.get(name) != value:
                requests.append(self._codec.set_value(name, value))
        self.values = dict(values)
        return requests

    def _prepared_name(self, prepared: PreparedShape, requests: list[bytes]) -> str:
        """Return the connection's name for a prepared statement; prepare it if necessary."""
        name = self._prepared.get(prepared)
        if name is None:
            name = f"p{len(self._prepared) + 1}"
            self._prepared[prepared] = name
            requests.append(self._codec.prepare(name, prepared.writes, prepared.shape))
        return name

    async def _exchange(self, requests: list[bytes]) -> MemberAnswer:
        """Send all requests together; return the first failure, or else the last answer.

        Returns ``LOST`` and closes the connection when it broke.
        """
        first_failure: MemberAnswer | None = None
        answer = LOST
        try:
            await self._send(b"".join(requests))
            for _ in requests:
                answer = await self._receive()
                self.status = answer.status
                if answer.kind is not AnswerKind.DONE and first_failure is None:
                    first_failure = answer
        except (OSError, ValueError):
            await self.close()
            return LOST
        except curio.CancelledError:
            await self.close()
            raise
        return first_failure or answer

    async def _send(self, data: bytes) -> None:
        self._traffic.sent(self._purpose, len(data))
        await self._socket.sendall(data)

    async def _receive(self) -> MemberAnswer:
        while not self._answers:
            data = await self._socket.recv(RECEIVE_BYTES)
            if not data:
                raise OSError("closed by the member")
            self.last_received_at = time.monotonic()
            self._traffic.received(self._purpose, len(data))
            self._answers.extend(self._codec.feed(data))
        return self._answers.popleft()
