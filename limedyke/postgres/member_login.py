"""Login at a member as a sans-IO state machine, from the startup packet to ReadyForQuery."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from postgresql.protocol import element3
from result import Err, Ok, Result
from scramp import ScramClient, ScramException

from limedyke.postgres import member_frames as frames
from limedyke.result_codes import Failure, ResultCode

MECHANISM = "SCRAM-SHA-256"
APPLICATION_NAME = "limedyke"


class AuthenticationRequest(enum.IntEnum):
    """Codes of PostgreSQL authentication requests."""

    OK = 0
    SASL = 10
    SASL_CONTINUE = 11
    SASL_FINAL = 12


@dataclass(frozen=True, slots=True)
class MemberCredentials:
    """User, password and database for the login at a member."""

    user: str
    database: str
    password: str = field(repr=False)


class MemberLogin:
    """One login; feed it frames until ``ready`` is true, and send the bytes it returns."""

    def __init__(self, credentials: MemberCredentials) -> None:
        self._credentials = credentials
        self._scram: ScramClient | None = None
        self._server_verified = False
        self._authenticated = False
        self.ready = False
        self.backend_key: tuple[int, int] | None = None
        self.parameters: dict[bytes, bytes] = {}

    def start(self) -> bytes:
        """Return the startup packet."""
        return element3.Startup(
            [
                (b"user", self._credentials.user.encode()),
                (b"database", self._credentials.database.encode()),
                (b"client_encoding", b"UTF8"),
                (b"application_name", APPLICATION_NAME.encode()),
            ]
        ).bytes()

    def receive(self, frame: frames.Frame) -> Result[bytes, Failure]:
        """Process a frame; return the bytes to send (possibly none) or the login failure."""
        kind, body = frame
        if kind == frames.AUTHENTICATION:
            return self._authenticate(element3.Authentication.parse(body))
        if kind == frames.ERROR:
            return Err(frames.error_failure(body, ResultCode.NO_MEMBER))
        if kind == frames.PARAMETER_STATUS:
            option = element3.ShowOption.parse(body)
            self.parameters[option.name] = option.value
            return Ok(b"")
        if kind == frames.BACKEND_KEY:
            key = element3.KillInformation.parse(body)
            self.backend_key = (key.pid, key.key)
            return Ok(b"")
        if kind == frames.NOTICE:
            return Ok(b"")
        if kind == frames.READY and self._authenticated:
            self.ready = True
            return Ok(b"")
        return Err(Failure(ResultCode.PROTOCOL_VIOLATION, f"login: unexpected message {kind!r}"))

    def _authenticate(self, message: element3.Authentication) -> Result[bytes, Failure]:
        try:
            return self._respond(message.request, message.salt)
        except (ScramException, UnicodeDecodeError) as error:
            return Err(Failure(ResultCode.NO_MEMBER, f"login: {error}"))

    def _respond(self, request: int, data: bytes) -> Result[bytes, Failure]:
        if request == AuthenticationRequest.OK and self._server_verified:
            self._authenticated = True
            return Ok(b"")
        if request == AuthenticationRequest.SASL and self._scram is None:
            return self._start_scram(data)
        if request == AuthenticationRequest.SASL_CONTINUE and self._scram is not None:
            self._scram.set_server_first(data.decode())
            return Ok(_sasl_message(self._scram.get_client_final().encode()))
        if request == AuthenticationRequest.SASL_FINAL and self._scram is not None:
            self._scram.set_server_final(data.decode())
            self._server_verified = True
            return Ok(b"")
        return Err(Failure(ResultCode.NO_MEMBER, f"login: authentication {request} refused"))

    def _start_scram(self, data: bytes) -> Result[bytes, Failure]:
        if MECHANISM.encode() not in data.split(b"\0"):
            return Err(Failure(ResultCode.NO_MEMBER, "login: no SCRAM-SHA-256 offered"))
        user = self._credentials.user
        self._scram = ScramClient([MECHANISM], user, self._credentials.password)
        first = self._scram.get_client_first().encode()
        header = MECHANISM.encode() + b"\0" + len(first).to_bytes(4, "big")
        return Ok(_sasl_message(header + first))


def _sasl_message(data: bytes) -> bytes:
    """Return a SASL response, which has no terminating zero byte, unlike a password message."""
    return frames.encode_frame((element3.Password.type, data))
