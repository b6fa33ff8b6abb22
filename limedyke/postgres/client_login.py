"""The login of a client, sans-IO: received bytes in, commands out."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err

from limedyke.core.sessions.client_exchange import (
    CancelRunningUnit,
    CloseClient,
    LoginCommand,
    LoginSucceeded,
    SendToClient,
    StartTls,
)
from limedyke.postgres.client_authentication import (
    AUTHENTICATION_OK,
    MAXIMUM_PASSWORD_MESSAGE_BYTES,
    SASL_REQUEST,
    ScramExchange,
    Verifier,
    mock_verifier,
)
from limedyke.postgres.client_framing import ClientFramer, FramingError, StartupFramer
from limedyke.postgres.client_messages import (
    authentication,
    failure_response,
    negotiate_protocol_version,
)
from limedyke.postgres.client_startup import (
    SUPPORTED_MINOR,
    CancelRequest,
    GssRequest,
    SslRequest,
    StartupPacket,
    StartupRequest,
    parse_startup_packet,
)
from limedyke.result_codes import Failure, ResultCode

ACCEPT_TLS = b"S"
DECLINE = b"N"
DATABASE_SEPARATOR = "/"
PASSWORD_MESSAGE = ord("p")
TERMINATE_MESSAGE = ord("X")

VerifierLookup = Callable[[str, str, str], Verifier | None]
"""Gives the verifier of (tenant, group, user); None when any of them isn't declared."""


@dataclass(frozen=True, slots=True)
class LoginPolicy:
    """What logins are checked against; shared by all connections.

    :param find_verifier: gives the declared verifier
    :param mock_secret: makes up verifiers of unknown users; the same on every proxy
    """

    find_verifier: VerifierLookup
    mock_secret: bytes = field(repr=False)
    tls_available: bool = False
    tls_required: bool = False


class ClientLogin:
    """Takes one client from its first byte to a proved login.

    :param nonce: unguessable printable text for the SCRAM exchange
    """

    __slots__ = (
        "_encrypted",
        "_exchange",
        "_framer",
        "_gss_declined",
        "_nonce",
        "_policy",
        "_startup",
        "_startup_framer",
    )

    def __init__(self, policy: LoginPolicy, nonce: str) -> None:
        self._policy = policy
        self._nonce = nonce
        self._startup_framer = StartupFramer()
        self._framer = ClientFramer(MAXIMUM_PASSWORD_MESSAGE_BYTES)
        self._startup: StartupRequest | None = None
        self._exchange: ScramExchange | None = None
        self._encrypted = False
        self._gss_declined = False

    def receive(self, data: bytes) -> list[LoginCommand]:
        """Take received bytes and return what to do."""
        try:
            if self._startup is None:
                return self._receive_startup(data)
            return self._receive_password(data)
        except FramingError as error:
            return refuse(error.failure)

    def _receive_startup(self, data: bytes) -> list[LoginCommand]:
        packet, rest = self._startup_framer.feed(data)
        if packet is None:
            return []
        parsed = parse_startup_packet(packet)
        if isinstance(parsed, Err):
            return refuse(parsed.err_value)
        if rest:
            detail = "data behind a startup packet"
            return refuse(Failure(ResultCode.PROTOCOL_VIOLATION, detail))
        return self._take_startup(parsed.ok_value)

    def _take_startup(self, packet: StartupPacket) -> list[LoginCommand]:
        match packet:
            case SslRequest():
                return self._answer_ssl_request()
            case GssRequest() if not self._gss_declined and not self._encrypted:
                self._gss_declined = True
                return [SendToClient(DECLINE)]
            case CancelRequest(process_id, secret):
                return [CancelRunningUnit(process_id, secret), CloseClient("cancel request")]
            case StartupRequest():
                return self._begin_authentication(packet)
        return refuse(Failure(ResultCode.PROTOCOL_VIOLATION, "encryption was asked for before"))

    def _answer_ssl_request(self) -> list[LoginCommand]:
        if self._encrypted:
            detail = "TLS was asked for before"
            return refuse(Failure(ResultCode.PROTOCOL_VIOLATION, detail))
        if not self._policy.tls_available:
            return [SendToClient(DECLINE)]
        self._encrypted = True
        return [SendToClient(ACCEPT_TLS), StartTls()]

    def _begin_authentication(self, startup: StartupRequest) -> list[LoginCommand]:
        if self._policy.tls_required and not self._encrypted:
            return refuse(Failure(ResultCode.TLS_REQUIRED))
        tenant, separator, group = startup.database.partition(DATABASE_SEPARATOR)
        if not separator:
            detail = "The database is named tenant/group."
            return refuse(Failure(ResultCode.UNKNOWN_TENANT_OR_USER, detail))
        verifier = self._policy.find_verifier(tenant, group, startup.user)
        if verifier is None:
            verifier = mock_verifier(self._policy.mock_secret, startup.user, startup.database)
        self._startup = startup
        self._exchange = ScramExchange(verifier, self._nonce)
        answer = SASL_REQUEST
        if startup.minor_version > SUPPORTED_MINOR or startup.unknown_protocol_options:
            options = startup.unknown_protocol_options
            answer = negotiate_protocol_version(SUPPORTED_MINOR, options) + answer
        return [SendToClient(answer)]

    def _receive_password(self, data: bytes) -> list[LoginCommand]:
        messages = self._framer.feed(data)
        if not messages:
            return []
        if len(messages) > 1 or self._framer.has_partial:
            detail = "data behind a password message"
            return refuse(Failure(ResultCode.PROTOCOL_VIOLATION, detail))
        message = messages[0]
        if message.kind == TERMINATE_MESSAGE:
            return [CloseClient("terminated")]
        if message.kind != PASSWORD_MESSAGE:
            return refuse(Failure(ResultCode.PROTOCOL_VIOLATION, "expected a password message"))
        return self._continue_exchange(message.body)

    def _continue_exchange(self, body: bytes) -> list[LoginCommand]:
        answer = self._exchange.receive(body)
        if isinstance(answer, Err):
            return refuse(answer.err_value)
        if not self._exchange.is_finished:
            return [SendToClient(answer.ok_value)]
        tenant, _, group = self._startup.database.partition(DATABASE_SEPARATOR)
        proved = LoginSucceeded(tenant, group, self._startup.user, self._startup.settings)
        return [SendToClient(answer.ok_value + authentication(AUTHENTICATION_OK)), proved]


def refuse(failure: Failure) -> list[LoginCommand]:
    """Return the commands that refuse a client for good."""
    return [SendToClient(failure_response(failure, "FATAL")), CloseClient(str(failure))]
