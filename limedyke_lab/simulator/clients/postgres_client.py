"""A minimal PostgreSQL client for the simulated callers: token login and simple queries."""

from __future__ import annotations

import re
from collections import deque
from dataclasses import dataclass, field

from postgresql.protocol import element3

from limedyke.postgres import member_frames as frames
from limedyke.postgres.client_framing import ClientFramer, ClientMessage
from limedyke.postgres.client_startup import SESSION_NAME_SETTING, SESSION_TOKEN_SETTING
from limedyke.postgres.member_batch import DUPLICATE_SQLSTATE
from limedyke.postgres.member_login import MemberCredentials, MemberLogin
from limedyke.result_codes import CODE_BY_NUMBER, Outcome, ResultCode
from limedyke_lab.simulator.machine.kernel import Process, Timeout
from limedyke_lab.simulator.machine.network import Address, Endpoint, Network, StreamClosed

CONNECT_TIMEOUT_S = 3.0
MAXIMUM_MESSAGE_BYTES = 1 << 20
SESSION_TOKEN = SESSION_TOKEN_SETTING.encode()
SESSION_NAME = SESSION_NAME_SETTING.encode()
_RESULT_CODE_PREFIX = re.compile(r"^LD(\d{4})")
_ANSWER_KINDS = frozenset(b"TDCZI")
UNKNOWN_SQLSTATES = frozenset({"40003", "08006", "57P01"})


@dataclass(slots=True)
class QueryAnswer:
    """The answer to one query.

    :param rows: text values of all rows
    :param sqlstate: SQLSTATE of the first error, or empty
    :param code: the proxy's result code in that error, or None for an error of a member
    :param repeated: whether a notice says that the request ran before
    :param cut_by_peer: how the connection ended before the answer: True if the proxy closed it,
        False if it broke, None if it did not end
    """

    rows: list[tuple[str, ...]] = field(default_factory=list)
    tags: list[str] = field(default_factory=list)
    sqlstate: str = ""
    message: str = ""
    code: ResultCode | None = None
    status: str = "I"
    cut_by_peer: bool | None = None
    timed_out: bool = False
    repeated: bool = False

    @property
    def ended(self) -> bool:
        """Whether the connection has ended or the answer timed out."""
        return self.cut_by_peer is not None or self.timed_out

    @property
    def outcome(self) -> str:
        """The outcome as the caller sees it: "done" or a value of :class:`Outcome`."""
        if self.ended and self.code is None:
            return Outcome.UNKNOWN.value
        if not self.sqlstate:
            return "done"
        if self.code is not None:
            return self.code.outcome.value
        if self.sqlstate in UNKNOWN_SQLSTATES:
            return Outcome.UNKNOWN.value
        return Outcome.RAN_AND_FAILED.value


@dataclass(frozen=True, slots=True)
class SessionStartup:
    """The session name and token that a client sends when it connects.

    :param token: empty for none; the proxy then finds the session's writes by its name
    """

    name: str
    token: str


class LoginRefused(Exception):  # noqa: N818 - an expected answer, not an error
    """The proxy refused the login; the message is its error detail."""


class _SessionLogin(MemberLogin):
    """A login that sends the session's name and token in the startup packet."""

    def __init__(self, credentials: MemberCredentials, session: SessionStartup) -> None:
        super().__init__(credentials)
        self._startup = [
            (b"user", credentials.user.encode()),
            (b"database", credentials.database.encode()),
        ]
        self._startup.append((SESSION_NAME, session.name.encode()))
        if session.token:
            self._startup.append((SESSION_TOKEN, session.token.encode()))

    def start(self) -> bytes:
        """Return the startup packet."""
        return element3.Startup(self._startup).bytes()


class PostgresClient:
    """One connection of a caller to a proxy.

    :ivar token: the session token that the proxy reported last
    """

    def __init__(self, process: Process, endpoint: Endpoint) -> None:
        self._process = process
        self._endpoint = endpoint
        self._framer = ClientFramer(MAXIMUM_MESSAGE_BYTES)
        self._messages: deque[ClientMessage] = deque()
        self.token = ""

    @classmethod
    async def connect(
        cls,
        process: Process,
        network: Network,
        address: Address,
        credentials: MemberCredentials,
        session: SessionStartup,
    ) -> PostgresClient:
        """Connect and log in.

        :raises LoginRefused: when the proxy refuses
        :raises StreamClosed: when it cannot be reached
        :raises Timeout: when it does not answer in time
        """
        opening = network.connect(process, address)
        endpoint = await process.wait(opening, CONNECT_TIMEOUT_S)
        client = cls(process, endpoint)
        client.token = session.token
        await client._log_in(_SessionLogin(credentials, session))
        return client

    async def _log_in(self, login: _SessionLogin) -> None:
        self._endpoint.send(login.start())
        while not login.ready:
            message = await self._receive(CONNECT_TIMEOUT_S)
            kind = bytes((message.kind,))
            self._update_token(message)
            step = login.receive((kind, message.body))
            if step.is_err():
                self._endpoint.close()
                raise LoginRefused(step.err_value.detail)
            if step.ok_value:
                self._endpoint.send(step.ok_value)

    async def query(self, text: str, timeout_s: float) -> QueryAnswer:
        """Send a simple query and return its answer, complete or cut off."""
        answer = QueryAnswer()
        self._endpoint.send(frames.query(text))
        deadline = self._process.clock() + timeout_s
        try:
            while True:
                message = await self._receive(deadline - self._process.clock())
                if message.kind == ord("Z"):
                    answer.status = message.body.decode()
                    return answer
                self._apply_message(answer, message)
        except StreamClosed as closed:
            answer.cut_by_peer = closed.by_peer
        except Timeout:
            answer.timed_out = True
            self.close()
        return answer

    def _apply_message(self, answer: QueryAnswer, message: ClientMessage) -> None:
        kind = bytes((message.kind,))
        if kind == frames.DATA_ROW:
            values = frames.row_values(message.body)
            answer.rows.append(tuple((value or b"").decode() for value in values))
        elif kind == frames.COMMAND_COMPLETE:
            answer.tags.append(message.body.rstrip(b"\0").decode())
        elif kind == frames.ERROR and not answer.sqlstate:
            fields = frames.error_fields(message.body)
            answer.sqlstate = fields.get(b"C", b"").decode()
            answer.message = fields.get(b"M", b"").decode()
            found = _RESULT_CODE_PREFIX.match(answer.message)
            answer.code = CODE_BY_NUMBER.get(int(found[1])) if found else None
        elif kind == frames.NOTICE:
            code = frames.error_fields(message.body).get(b"C", b"").decode()
            answer.repeated = answer.repeated or code == DUPLICATE_SQLSTATE
        else:
            self._update_token(message)

    def _update_token(self, message: ClientMessage) -> None:
        if message.kind != ord("S"):
            return
        name, value = message.body.split(b"\0")[:2]
        if name == SESSION_TOKEN:
            self.token = value.decode()

    async def _receive(self, timeout_s: float) -> ClientMessage:
        while not self._messages:
            data = await self._process.wait(self._endpoint.receive(), timeout_s)
            self._messages.extend(self._framer.feed(data))
        return self._messages.popleft()

    def has_unexpected_answer(self) -> bool:
        """Tell whether an answer has arrived that belongs to no query.

        Notices, parameter changes and the error that ends an idle connection do not count.
        """
        for data in self._endpoint.inbox.take_all():
            self._messages.extend(self._framer.feed(data))
        return any(message.kind in _ANSWER_KINDS for message in self._messages)

    def close(self) -> None:
        """Send a Terminate message and close the stream."""
        self._endpoint.send(frames.TERMINATE)
        self._endpoint.close()
