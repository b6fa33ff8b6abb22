"""Authentication of clients by SCRAM-SHA-256 against declared verifiers.

For an unknown user the same exchange runs with a mock verifier derived from a
secret, so that a client can't tell an unknown user from a wrong password.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from base64 import b64decode
from dataclasses import dataclass, field

from result import Err, Ok, Result
from scramp import ScramException, ScramMechanism

from limedyke.postgres.client_messages import authentication
from limedyke.result_codes import Failure, ResultCode
from limedyke.scram_verifier import ITERATIONS, SALT_BYTES

MECHANISM = "SCRAM-SHA-256"
SASL_START = 10
SASL_CONTINUE = 11
SASL_FINAL = 12
AUTHENTICATION_OK = 0
MAXIMUM_PASSWORD_MESSAGE_BYTES = 8_192
_LENGTH = struct.Struct("!i")
_MECHANISM = ScramMechanism(MECHANISM)

SASL_REQUEST = authentication(SASL_START, MECHANISM.encode() + b"\0\0")


@dataclass(frozen=True, slots=True)
class Verifier:
    """The stored form of a password, from which it can't be computed."""

    iterations: int
    salt: bytes = field(repr=False)
    stored_key: bytes = field(repr=False)
    server_key: bytes = field(repr=False)


def parse_verifier(text: str) -> Verifier | None:
    """Parse ``SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>``; None if malformed."""
    try:
        mechanism, salt_part, key_part = text.split("$")
        iterations, salt = salt_part.split(":")
        stored_key, server_key = key_part.split(":")
        verifier = Verifier(
            int(iterations), b64decode(salt), b64decode(stored_key), b64decode(server_key)
        )
    except ValueError:
        return None
    return verifier if mechanism == MECHANISM else None


def mock_verifier(process_secret: bytes, user: str, database: str) -> Verifier:
    """Return a verifier that no password matches; it is stable for each user and database.

    It has the default form of the verifiers made by ``make_verifier`` and by PostgreSQL.
    """
    seed = hmac.new(process_secret, f"{user}\0{database}".encode(), hashlib.sha512).digest()
    return Verifier(ITERATIONS, seed[:SALT_BYTES], seed[:32], seed[32:])


class ScramExchange:
    """The server's side of one SCRAM exchange.

    :param verifier: a declared verifier or a mock one, with which the exchange always fails
    :param nonce: unpredictable printable text
    """

    __slots__ = ("_finished", "_server", "_started")

    def __init__(self, verifier: Verifier, nonce: str) -> None:
        keys = (verifier.salt, verifier.stored_key, verifier.server_key, verifier.iterations)
        # libpq leaves the SCRAM user name empty; the user name of the startup packet applies.
        self._server = _MECHANISM.make_server(lambda _user: keys, s_nonce=nonce)
        self._started = False
        self._finished = False

    @property
    def is_finished(self) -> bool:
        """Whether the client has proved its password."""
        return self._finished

    def receive(self, body: bytes) -> Result[bytes, Failure]:
        """Process the body of a SASL message and return the response to send."""
        try:
            if not self._started:
                return self._receive_first(body)
            return self._receive_final(body)
        except (ScramException, ValueError, UnicodeDecodeError, struct.error):
            return Err(Failure(ResultCode.AUTHENTICATION_FAILED))

    def _receive_first(self, body: bytes) -> Result[bytes, Failure]:
        mechanism, rest = body.split(b"\0", 1)
        (length,) = _LENGTH.unpack_from(rest)
        message = rest[_LENGTH.size :]
        if mechanism.decode() != MECHANISM or length != len(message):
            return Err(Failure(ResultCode.PROTOCOL_VIOLATION, "SASL initial response"))
        self._started = True
        self._server.set_client_first(message.decode())
        return Ok(authentication(SASL_CONTINUE, self._server.get_server_first().encode()))

    def _receive_final(self, body: bytes) -> Result[bytes, Failure]:
        self._server.set_client_final(body.decode())
        answer = authentication(SASL_FINAL, self._server.get_server_final().encode())
        self._finished = True
        return Ok(answer)
