"""One client's connection: the curio shell around ``Frontend`` and ``Session``.

The only task of a connection reads, runs and answers in turn; while a unit
runs, nothing is read.  What must happen meanwhile (a client that goes away, a
limit reached, a drain) is done from ``ClientWatch``, one task for all.
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
    CancelOther,
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
from limedyke.postgres.client_messages import failure_response
from limedyke.postgres.frontend import Frontend, refuse
from limedyke.proxy.clients.client_socket import ClientGoneError, ClientSocket
from limedyke.proxy.clients.services import ClientServices, present_moment
from limedyke.result_codes import Failure, ResultCode

LINGER_S = 2.0
"""How long a client may take to read its last message and close, before it is cut."""
NONCE_BYTES = 18
LOG = EventLog("client")


class ClientConnection:
    """A client's connection from accept to close.

    :param sock: the accepted socket
    :ivar session: the session, or None before the login is done
    :ivar cancel_key: what a request to cancel has to name; held while the client has a place
    :ivar accepted_at: monotonic seconds of the accept
    :ivar busy_since: monotonic seconds since when a unit runs, 0 for none
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
        self._frontend: Frontend | None = None
        self._framer: ClientFramer | None = None
        self.session: Session | None = None
        self.cancel_key: CancelKey | None = None
        self.accepted_at = time.monotonic()
        self.busy_since = 0.0

    async def run(self) -> None:
        """Serve the client until it leaves or is refused."""
        registry = self._services.registry
        registry.connections.add(self)
        try:
            if await self._log_in():
                await self._serve()
        except (OSError, ClientGoneError) as error:
            LOG.debug("connection-ended", reason=error)
        except Exception as error:
            # A defect must end this connection only; the client is told what it can rely on.
            LOG.error("client-task-failed", error=repr(error), trace=traceback.format_exc())
            self.send_last([*refuse(Failure(ResultCode.INTERNAL_ERROR))])
        finally:
            await self._clean_up()

    @property
    def file_number(self) -> int:
        """The socket's file number, or -1 once it is closed."""
        return self._socket.file_number

    @property
    def is_closing(self) -> bool:
        """Whether the connection is on its way out."""
        return bool(self._socket.closing_since)

    # Login

    async def _log_in(self) -> bool:
        """Take the client through its login; tell whether a session stands."""
        nonce = secrets.token_urlsafe(NONCE_BYTES)
        self._frontend = Frontend(self._services.login_policy, nonce)
        while self.session is None:
            data = await self._socket.receive()
            for command in self._frontend.receive(data):
                if not await self._do_login_command(command):
                    return False
        self._frontend = None
        return True

    async def _do_login_command(self, command: object) -> bool:
        match command:
            case SendToClient(data):
                await self._socket.send_now(data)
            case StartTls():
                timeout_s = self._services.startup_timeout_s
                await self._socket.start_tls(self._services.tls, timeout_s)
            case CancelOther(process_id, secret):
                await self._cancel_other(CancelKey(process_id, secret))
            case LoginSucceeded():
                return await self._open_session(command)
            case CloseClient(reason):
                self._count_login(reason)
                await self._socket.linger()
                return False
        return True

    def _count_login(self, reason: str) -> None:
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
        opened = open_session(services.context, login, self.cancel_key, present_moment())
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
                moment = present_moment()
                await self._do(self.session.handle(ClientMessages(messages, moment)))
        await self._socket.linger()

    async def _do(self, commands: list[SessionCommand]) -> None:
        """Carry out the session's commands, and those that their outcomes bring."""
        waiting = deque(commands)
        while waiting:
            command = waiting.popleft()
            match command:
                case SendToClient(data):
                    await self._socket.send(data)
                case RunUnit(unit):
                    end = await self._run_unit(unit)
                    waiting.extend(self.session.handle(UnitEnded(end, present_moment())))
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
        """Pass part of an answer on; raises when the client is gone."""
        for command in self.session.handle(AnswerReceived(chunk)):
            await self._socket.send(command.data)

    # From outside of the connection's task

    @property
    def may_pass_limit(self) -> bool:
        """Whether ``tick`` has to be asked: not for the many that are logged in and idle."""
        session = self.session
        if session is None or self.is_closing or self._socket.sending_since:
            return True
        return session.state.is_in_transaction

    def tick(self, moment: Moment) -> list[SessionCommand]:
        """Return what a passed limit asks for."""
        closing_since, sending_since = self._socket.closing_since, self._socket.sending_since
        if closing_since:
            if moment.now - closing_since > LINGER_S:
                self._socket.cut()
            return []
        if sending_since:
            if moment.now - sending_since > self._services.stalled_client_s:
                LOG.info("caller-stalled", after_s=moment.now - sending_since)
                self._socket.cut()
            return []
        if self.session is not None:
            return self.session.handle(Tick(moment))
        if moment.now - self.accepted_at > self._services.startup_timeout_s:
            return refuse(Failure(ResultCode.STARTUP_TIMEOUT))
        return []

    def ask_to_leave(self, failure: Failure) -> list[SessionCommand]:
        """Ask for the end once nothing is under way; returns what an idle client is told.

        To be asked again until the connection closes: nothing is put between the parts
        of an answer on its way.
        """
        if self.is_closing or self._socket.is_amid_answer:
            return []
        if self.session is None:
            return refuse(failure)
        # What has arrived by now is served; what comes later is refused as an answer to it.
        if not self.session.is_leaving and self._has_unread_input():
            return []
        return self.session.handle(LeaveRequested(failure, present_moment()))

    def _has_unread_input(self) -> bool:
        """Tell whether a request has arrived that the connection's task hasn't read yet."""
        return not self.busy_since and self._socket.has_unread_input()

    def end_now(self, failure: Failure) -> list[SessionCommand]:
        """End the connection whatever is under way; an answer on its way is cut."""
        if self.session is None or self.is_closing:
            return []
        commands = self.session.end_now(failure)
        if self._socket.is_amid_answer:
            self._socket.cut()
            return [command for command in commands if isinstance(command, AbandonUnit)]
        return commands

    def send_last(self, commands: list[SessionCommand]) -> None:
        """Send what ends an idle connection, without waiting, and let its task see the end."""
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
