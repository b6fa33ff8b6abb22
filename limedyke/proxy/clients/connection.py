"""A client connection: the curio I/O around ``ClientLogin`` and ``Session``.

Each connection has one task that reads, runs and answers in turn; it does not
read while a unit runs.  Events during a unit (a client that disconnects, an
exceeded limit, a drain) are handled by ``ClientWatch``, one task for all
connections.
"""

from __future__ import annotations

import secrets
import time
import traceback
from collections import deque

from curio import socket
from result import Err

from limedyke.core.sessions.client_exchange import (
    AbandonUnit,
    AnswerReceived,
    CancelRunningUnit,
    ClientMessages,
    CloseClient,
    LeaveRequested,
    LoginSucceeded,
    Moment,
    RunUnit,
    SendToClient,
    SessionCommand,
    StartTls,
    Tick,
    UnitEnded,
)
from limedyke.core.sessions.session import Session
from limedyke.core.sessions.session_opening import CancelKey, open_session
from limedyke.event_log import EventLog
from limedyke.messages.work import AnswerChunk, AnswerEnd, WorkUnit
from limedyke.postgres.client_framing import ClientFramer, FramingError
from limedyke.postgres.client_login import ClientLogin, refuse
from limedyke.postgres.client_messages import failure_response
from limedyke.proxy.clients.client_socket import ClientGoneError, ClientSocket
from limedyke.proxy.clients.services import ClientServices, current_moment
from limedyke.result_codes import Failure, ResultCode

LINGER_S = 2.0
"""How long a client may take to read its last message and close before it is disconnected."""
NONCE_BYTES = 18
LOG = EventLog("client")


class ClientConnection:
    """A client's connection from accept to close.

    :param sock: the accepted socket
    :ivar session: the session, or None before the login has finished
    :ivar cancel_key: identifies this connection in cancel requests; None unless admitted
    :ivar accepted_at: monotonic time of the accept
    :ivar busy_since: monotonic time at which the running unit started, 0 for none
    """

    __slots__ = (
        "__weakref__",
        "_framer",
        "_frontend",
        "_services",
        "_socket",
        "accepted_at",
        "busy_since",
        "cancel_key",
        "session",
    )

    def __init__(self, sock: socket.socket, services: ClientServices) -> None:
        self._socket = ClientSocket(sock)
        self._services = services
        self._frontend: ClientLogin | None = None
        self._framer: ClientFramer | None = None
        self.session: Session | None = None
        self.cancel_key: CancelKey | None = None
        self.accepted_at = time.monotonic()
        self.busy_since = 0.0

    async def run(self) -> None:
        """Serve the client until it disconnects or is refused."""
        registry = self._services.registry
        registry.connections.add(self)
        try:
            if await self._log_in():
                await self._serve()
        except (OSError, ClientGoneError) as error:
            LOG.debug("connection-ended", reason=error)
        except Exception as error:
            # A bug must end only this connection; the client gets INTERNAL_ERROR.
            LOG.error("client-task-failed", error=repr(error), trace=traceback.format_exc())
            self.send_last([*refuse(Failure(ResultCode.INTERNAL_ERROR))])
        finally:
            await self._clean_up()

    @property
    def file_number(self) -> int:
        """The socket's file descriptor, or -1 once it is closed."""
        return self._socket.file_number

    @property
    def is_closing(self) -> bool:
        """Whether the connection is being closed."""
        return bool(self._socket.closing_since)

    # Login

    async def _log_in(self) -> bool:
        """Run the login; return whether a session was opened."""
        nonce = secrets.token_urlsafe(NONCE_BYTES)
        self._frontend = ClientLogin(self._services.login_policy, nonce)
        while self.session is None:
            data = await self._socket.receive()
            for command in self._frontend.receive(data):
                if not await self._run_login_command(command):
                    return False
        self._frontend = None
        return True

    async def _run_login_command(self, command: object) -> bool:
        match command:
            case SendToClient(data):
                await self._socket.send_now(data)
            case StartTls():
                timeout_s = self._services.startup_timeout_s
                await self._socket.start_tls(self._services.tls, timeout_s)
            case CancelRunningUnit(process_id, secret):
                await self._cancel_other(CancelKey(process_id, secret))
            case LoginSucceeded():
                return await self._open_session(command)
            case CloseClient(reason):
                self._record_refused_login(reason)
                await self._socket.linger()
                return False
        return True

    def _record_refused_login(self, reason: str) -> None:
        if reason != "cancel request":
            LOG.info("login-refused", reason=reason)
            self._services.metrics.logins.labels(reason.split(":", maxsplit=1)[0][:6]).inc()

    async def _cancel_other(self, key: CancelKey) -> None:
        self._services.metrics.cancels.inc()
        connection = self._services.registry.find(key)
        if connection is None or connection.session is None:
            return
        for command in connection.session.cancel():
            await self._services.executor.abandon(command.work)

    async def _open_session(self, login: LoginSucceeded) -> bool:
        services = self._services
        tenant = services.context.find_tenant(login.tenant)
        if tenant is None or services.draining:
            code = ResultCode.DRAINING if services.draining else ResultCode.UNKNOWN_TENANT_OR_USER
            return await self._refuse_login(failure_response(Failure(code), "FATAL"), code.label)
        admitted = services.registry.admit(self, login.tenant, tenant.client_limit)
        if isinstance(admitted, Err):
            failure = admitted.err_value
            return await self._refuse_login(failure_response(failure, "FATAL"), failure.code.label)
        self.cancel_key = admitted.ok_value
        opened = open_session(services.context, login, self.cancel_key, current_moment())
        if isinstance(opened, Err):
            services.registry.release(self.cancel_key, login.tenant)
            self.cancel_key = None
            return await self._refuse_login(opened.err_value, "settings")
        self.session = opened.ok_value.session
        self._framer = ClientFramer(services.maximum_message_bytes)
        services.metrics.logins.labels("ok").inc()
        await self._socket.send_now(opened.ok_value.greeting)
        return True

    async def _refuse_login(self, answer: bytes, label: str) -> bool:
        LOG.info("login-refused", code=label)
        self._services.metrics.logins.labels(label).inc()
        await self._socket.send_now(answer)
        await self._socket.linger()
        return False

    # The session

    async def _serve(self) -> None:
        while not self.is_closing:
            data = await self._socket.receive()
            try:
                messages = self._framer.feed(data)
            except FramingError as error:
                await self._socket.send_now(failure_response(error.failure, "FATAL"))
                await self._socket.linger()
                return
            if messages:
                moment = current_moment()
                await self._run_commands(self.session.handle(ClientMessages(messages, moment)))
        await self._socket.linger()

    async def _run_commands(self, commands: list[SessionCommand]) -> None:
        """Execute the session's commands, and those that result from them."""
        waiting = deque(commands)
        while waiting:
            command = waiting.popleft()
            match command:
                case SendToClient(data):
                    await self._socket.send(data)
                case RunUnit(unit):
                    end = await self._run_unit(unit)
                    waiting.extend(self.session.handle(UnitEnded(end, current_moment())))
                case AbandonUnit(work):
                    await self._services.executor.abandon(work)
                case CloseClient():
                    self._socket.closing_since = time.monotonic()
        await self._socket.flush()

    async def _run_unit(self, unit: WorkUnit) -> AnswerEnd:
        self.busy_since = time.monotonic()
        self._services.registry.busy.add(self)
        try:
            end = await self._services.executor.run(unit, self._relay)
            self._services.count_unit(unit, end, time.monotonic() - self.busy_since)
        finally:
            self._services.registry.busy.discard(self)
            self.busy_since = 0.0
        return end

    async def _relay(self, chunk: AnswerChunk) -> None:
        """Send part of an answer to the client.

        :raises OSError: when the client is gone
        """
        for command in self.session.handle(AnswerReceived(chunk)):
            await self._socket.send(command.data)

    # Calls from outside the connection's task

    @property
    def needs_tick(self) -> bool:
        """Whether ``tick`` must be called; false for logged-in idle clients, which are the most."""
        session = self.session
        if session is None or self.is_closing or self._socket.sending_since:
            return True
        return session.state.is_in_transaction

    def tick(self, moment: Moment) -> list[SessionCommand]:
        """Return the commands for an exceeded time limit; disconnect a stalled client."""
        closing_since, sending_since = self._socket.closing_since, self._socket.sending_since
        if closing_since:
            if moment.now - closing_since > LINGER_S:
                self._socket.abort()
            return []
        if sending_since:
            if moment.now - sending_since > self._services.stalled_client_s:
                LOG.info("caller-stalled", after_s=moment.now - sending_since)
                self._socket.abort()
            return []
        if self.session is not None:
            return self.session.handle(Tick(moment))
        if moment.now - self.accepted_at > self._services.startup_timeout_s:
            return refuse(Failure(ResultCode.STARTUP_TIMEOUT))
        return []

    def ask_to_leave(self, failure: Failure) -> list[SessionCommand]:
        """Ask the session to end when no work is under way; return the commands to end it now.

        The caller repeats this until the connection closes, because nothing may be sent
        between the parts of an answer.
        """
        if self.is_closing or self._socket.is_sending_answer:
            return []
        if self.session is None:
            return refuse(failure)
        # Requests that have arrived by now are served; later ones are refused.
        if not self.session.is_leaving and self._has_unread_input():
            return []
        return self.session.handle(LeaveRequested(failure, current_moment()))

    def _has_unread_input(self) -> bool:
        """Return whether a request has arrived that the connection's task has not read yet."""
        return not self.busy_since and self._socket.has_unread_input()

    def end_now(self, failure: Failure) -> list[SessionCommand]:
        """End the connection even with work under way; an answer being sent is truncated."""
        if self.session is None or self.is_closing:
            return []
        commands = self.session.end_now(failure)
        if self._socket.is_sending_answer:
            self._socket.abort()
            return [command for command in commands if isinstance(command, AbandonUnit)]
        return commands

    def send_last(self, commands: list[SessionCommand]) -> None:
        """Send the last message if ``commands`` close the connection, without waiting."""
        data = b"".join(command.data for command in commands if isinstance(command, SendToClient))
        if any(isinstance(command, CloseClient) for command in commands):
            self._socket.send_last(data)

    async def _clean_up(self) -> None:
        registry = self._services.registry
        registry.connections.discard(self)
        session = self.session
        if session is not None and self.cancel_key is not None:
            registry.release(self.cancel_key, session.state.owner.tenant)
            self.cancel_key = None
            for command in session.abandon():
                await self._services.executor.abandon(command.work)
        await self._socket.close()
