"""A curio connection to a member: login, batches, the proxy's own statements and cancel."""

from __future__ import annotations

import contextlib
import socket as plain_socket
import time
from dataclasses import dataclass

import curio
from curio import socket
from postgresql.protocol import element3
from postgresql.protocol.buffer import pq_message_stream
from result import Err, Ok, Result

from limedyke.addresses import split_address
from limedyke.messages.work import LogPosition, SessionSetting
from limedyke.postgres import member_frames as frames
from limedyke.postgres.internal_query import InternalQueryReader, InternalQueryResult
from limedyke.postgres.member_answer import AnswerReader, AnswerViolationError
from limedyke.postgres.member_frames import Frame, PositionAnswer
from limedyke.postgres.member_login import MemberCredentials, MemberLogin
from limedyke.proxy.members.connection_state import BackendState
from limedyke.result_codes import Failure, ResultCode

RECEIVE_BYTES = 64 * 1024
MAXIMUM_FRAME_BYTES = 256 * 1024 * 1024
CANCEL_TIMEOUT_S = 2.0
MARK_COUNT = 1_000
"""Position queries carry a mark from 1 to this number.

Marks are reused so that a member can cache the limited set of query texts.
"""
_IDLE_KINDS = frozenset({frames.NOTICE, frames.PARAMETER_STATUS, frames.NOTIFICATION})


class ConnectionLostError(Exception):
    """The connection broke, or was shut down because the member or the caller is gone.

    :param nothing_sent: true if no byte of the batch was handed to the network
    """

    def __init__(self, detail: str, nothing_sent: bool = False) -> None:
        super().__init__(detail)
        self.nothing_sent = nothing_sent


@dataclass(frozen=True, slots=True)
class MemberEndpoint:
    """Address of a member, and the local address to connect from (empty for any)."""

    name: str
    address: str
    source_ip: str = ""


async def open_socket(endpoint: MemberEndpoint) -> socket.socket:
    """Connect to a member.

    :raises OSError: when the connection cannot be opened
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        if endpoint.source_ip:
            sock.bind((endpoint.source_ip, 0))
        await sock.connect(split_address(endpoint.address))
    except BaseException:
        await sock.close()
        raise
    return sock


class BackendConnection:
    """A logged-in connection to a member.

    One exchange is in flight at a time.  An answer that may not belong to the
    exchange marks the connection ``broken``; it is then closed and never reused.

    :ivar last_position: the member's last known term and log position
    :ivar round_trip_s: round-trip time of the first login message, which running statements
        do not delay; 0 after it has been recorded
    """

    def __init__(self, sock: socket.socket, endpoint: MemberEndpoint) -> None:
        self._socket = sock
        self._stream = pq_message_stream()
        self._unframed_bytes = 0
        self._put_back: tuple[Frame, ...] = ()
        self._mark = 0
        self._backend_key: tuple[int, int] | None = None
        self.endpoint = endpoint
        self.broken = False
        self.state = BackendState()
        self.last_position = LogPosition()
        self.is_replica: bool | None = None
        self.round_trip_s = 0.0
        self.used_at = 0.0

    @classmethod
    async def open(
        cls, endpoint: MemberEndpoint, credentials: MemberCredentials, timeout_s: float
    ) -> Result[BackendConnection, Failure]:
        """Connect, log in, and query the member's term and position."""
        try:
            async with curio.timeout_after(timeout_s):
                sock = await open_socket(endpoint)
                connection = cls(sock, endpoint)
                failure = await connection._log_in(credentials)
        except (OSError, ConnectionLostError) as error:
            return Err(Failure(ResultCode.NO_MEMBER, f"{endpoint.name}: {error}"))
        except curio.TaskTimeout:
            return Err(Failure(ResultCode.NO_MEMBER, f"{endpoint.name}: connect timeout"))
        if failure is not None:
            await connection.close()
            return Err(failure)
        return Ok(connection)

    async def _log_in(self, credentials: MemberCredentials) -> Failure | None:
        try:
            login = MemberLogin(credentials)
            started_at = time.monotonic()
            await self.send(login.start())
            while not login.ready:
                received = await self.receive()
                self.round_trip_s = self.round_trip_s or time.monotonic() - started_at
                for frame in received:
                    step = login.receive(frame)
                    if isinstance(step, Err):
                        return step.err_value
                    if step.ok_value:
                        await self.send(step.ok_value)
            self._backend_key = login.backend_key
            await self.ask_position()
        except AnswerViolationError as error:
            return Failure(error.code, f"{self.endpoint.name}: {error}")
        except BaseException:
            await self.close()
            raise
        return None

    def next_mark(self) -> int:
        """Return a mark for a position query that was not used recently on this connection."""
        self._mark = self._mark % MARK_COUNT + 1
        return self._mark

    async def send(self, data: bytes) -> None:
        """Send all bytes.

        :raises ConnectionLostError: when the connection is broken
        """
        if self.broken:
            raise ConnectionLostError("connection is broken", nothing_sent=True)
        sent = 0
        try:
            sent = await self._socket.send(data)
            if sent < len(data):
                await self._socket.sendall(memoryview(data)[sent:])
        except OSError as error:
            self.broken = True
            raise ConnectionLostError(str(error), nothing_sent=sent == 0) from error

    async def receive(self) -> tuple[Frame, ...]:
        """Wait for data and return at least one frame.

        :raises ConnectionLostError: when the connection ends
        """
        if self._put_back:
            received, self._put_back = self._put_back, ()
            return received
        while True:
            try:
                data = await self._socket.recv(RECEIVE_BYTES)
            except OSError as error:
                self.broken = True
                raise ConnectionLostError(str(error)) from error
            if not data:
                self.broken = True
                raise ConnectionLostError("closed by the member")
            received = self._split(data)
            if received:
                return received

    def _split(self, data: bytes) -> tuple[Frame, ...]:
        self._stream.write(data)
        try:
            received = self._stream.read()
        except ValueError as error:
            self.broken = True
            raise ConnectionLostError(f"malformed message: {error}") from error
        self._unframed_bytes = 0 if received else self._unframed_bytes + len(data)
        if self._unframed_bytes > MAXIMUM_FRAME_BYTES:
            self.broken = True
            raise ConnectionLostError("message too large")
        return received

    async def ask_position(self) -> PositionAnswer:
        """Query the member's term and position, and record them for this connection.

        :raises ConnectionLostError: when the connection is broken, or the answer does not
            match this query
        """
        mark = self.next_mark()
        reader = AnswerReader(mark_before=mark)
        await self.send(frames.position_query(mark))
        try:
            while not reader.checked_before:
                await self._feed(reader)
        except AnswerViolationError as error:
            raise ConnectionLostError(str(error)) from error
        answer = reader.position_before
        assert answer is not None
        self.record_position(answer)
        return answer

    def record_position(self, answer: PositionAnswer) -> None:
        """Record the position and role that the member reported on this connection."""
        self.last_position = answer.place
        self.is_replica = answer.is_replica

    async def _feed(self, reader: AnswerReader) -> None:
        received = await self.receive()
        try:
            reader.feed(received)
        except AnswerViolationError:
            self.broken = True
            raise

    async def execute(self, sql: str) -> InternalQueryResult:
        """Run one of the proxy's own statements and return its complete answer.

        :raises ConnectionLostError: when the connection breaks
        """
        await self.send(frames.query(sql))
        answer = await self.read_internal_result()
        self._reject_unexpected(self._put_back)
        self._put_back = ()
        return answer

    async def read_internal_result(self) -> InternalQueryResult:
        """Read the answer to one of the proxy's own queries; further answers may follow it.

        :raises ConnectionLostError: when the connection breaks
        """
        reader = InternalQueryReader()
        while True:
            received = await self.receive()
            for index, frame in enumerate(received):
                answer = reader.feed(frame)
                if answer is not None:
                    self._put_back = received[index + 1 :]
                    return answer

    def _reject_unexpected(self, received: tuple[Frame, ...]) -> None:
        if any(kind not in _IDLE_KINDS for kind, _ in received):
            self.broken = True
            raise ConnectionLostError("messages after the end of the answer")

    async def receive_into(self, reader: AnswerReader) -> None:
        """Receive more frames of an answer and pass them to the reader.

        :raises AnswerViolationError: when a frame does not belong to the answer
        :raises ConnectionLostError: when the connection breaks
        """
        await self._feed(reader)

    def check_idle(self) -> bool:
        """Return whether the idle connection is still open and received nothing unexpected."""
        self.broken = self.broken or bool(self._put_back)
        while not self.broken:
            try:
                data = self._socket._socket.recv(RECEIVE_BYTES)
            except BlockingIOError:
                return True
            except OSError:
                data = b""
            self._check_idle_data(data)
        return False

    def _check_idle_data(self, data: bytes) -> None:
        if not data:
            self.broken = True
            return
        try:
            received = self._split(data)
        except ConnectionLostError:
            return
        if self._unframed_bytes or any(kind not in _IDLE_KINDS for kind, _ in received):
            self.broken = True

    async def evict_prepared(self) -> None:
        """Close the least recently used prepared statements above the limit.

        :raises ConnectionLostError: when the connection breaks
        """
        await self.send(self.state.evict_statements())
        await self.read_internal_result()
        self._reject_unexpected(self._put_back)
        self._put_back = ()

    async def apply_settings(self, settings: tuple[SessionSetting, ...]) -> Failure | None:
        """Replace the session settings of the connection.

        :raises ConnectionLostError: when the connection breaks
        """
        answer = await self.execute(self.state.settings_sql(settings))
        if answer.sqlstate:
            self.state.tainted = True
            detail = f"settings: {answer.sqlstate}: {answer.message}"
            return Failure(ResultCode.FEATURE_NOT_SUPPORTED, detail)
        self.state.settings = settings
        return None

    def shut(self) -> None:
        """Shut the connection down; tasks that wait on it get ConnectionLostError."""
        self.broken = True
        try:
            self._socket._socket.shutdown(plain_socket.SHUT_RDWR)
        except OSError:
            return

    async def cancel(self) -> None:
        """Send a cancel request for the running statement over a separate connection."""
        if self._backend_key is None:
            return
        request = element3.CancelRequest(*self._backend_key).bytes()
        try:
            async with curio.timeout_after(CANCEL_TIMEOUT_S):
                sock = await open_socket(self.endpoint)
                await sock.sendall(request)
                await sock.close()
        except (OSError, curio.TaskTimeout):
            return

    async def close(self) -> None:
        """Send Terminate if the connection is usable, and close it; safe to call twice."""
        if not self.broken:
            self.broken = True
            with contextlib.suppress(OSError):
                self._socket._socket.send(frames.TERMINATE)
        await self._socket.close()
