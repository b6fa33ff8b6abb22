"""A minimal PostgreSQL client for raw bytes that no driver sends, and for thousands of logins."""

from __future__ import annotations

import base64
import hashlib
import hmac
import re
import socket
import struct
from dataclasses import dataclass

SSL_REQUEST = struct.pack("!II", 8, 80_877_103)
GSS_REQUEST = struct.pack("!II", 8, 80_877_104)
PROTOCOL_3 = 196_608
TIMEOUT_S = 10.0
MECHANISM = b"SCRAM-SHA-256"
AUTHENTICATION_OK = 0
HEADER_BYTES = 5


class WireClosedError(Exception):
    """The proxy closed the connection."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """The fields of an ErrorResponse."""

    severity: str
    sqlstate: str
    label: str
    message: str

    @classmethod
    def parse(cls, body: bytes) -> Refusal:
        """Return the fields of an ErrorResponse's body."""
        fields = {part[:1]: part[1:].decode() for part in body.split(b"\0") if part}
        label = re.match(r"LD\d{4}", fields[b"M"])
        return cls(fields[b"S"], fields[b"C"], label[0] if label else "", fields[b"M"])


def startup_packet(parameters: dict[str, str], version: int = PROTOCOL_3) -> bytes:
    """Return a startup packet."""
    pairs = b"".join(f"{name}\0{value}\0".encode() for name, value in parameters.items())
    body = struct.pack("!I", version) + pairs + b"\0"
    return struct.pack("!I", len(body) + 4) + body


def message(kind: bytes, body: bytes) -> bytes:
    """Return a typed message."""
    return kind + struct.pack("!I", len(body) + 4) + body


def sasl_initial(client_first: bytes, mechanism: bytes = MECHANISM) -> bytes:
    """Return the password message that begins SCRAM."""
    return message(b"p", mechanism + b"\0" + struct.pack("!I", len(client_first)) + client_first)


_salted: dict[tuple[str, bytes, int], bytes] = {}


def salted_password(password: str, salt: bytes, iterations: int) -> bytes:
    """Return SCRAM's salted password, computed once."""
    key = (password, salt, iterations)
    if key not in _salted:
        _salted[key] = hashlib.pbkdf2_hmac("sha256", password.encode(), salt, iterations)
    return _salted[key]


class WireClient:
    """One connection."""

    def __init__(self, address: tuple[str, int], source: str = "") -> None:
        origin = (source, 0) if source else None
        self.socket = socket.create_connection(address, TIMEOUT_S, source_address=origin)
        self.parameters: dict[str, str] = {}
        self.key_data = b""
        self._buffer = b""

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self.socket.sendall(data)

    def receive(self) -> tuple[bytes, bytes]:
        """Return the next message's type and body.

        :raises WireClosedError: at the end of the stream
        """
        while True:
            if len(self._buffer) >= HEADER_BYTES:
                (length,) = struct.unpack_from("!I", self._buffer, 1)
                if len(self._buffer) > length:
                    kind, body = self._buffer[:1], self._buffer[HEADER_BYTES : length + 1]
                    self._buffer = self._buffer[length + 1 :]
                    return kind, body
            self._fill()

    def receive_byte(self) -> bytes:
        """Return the one byte that answers a request for encryption."""
        while not self._buffer:
            self._fill()
        byte, self._buffer = self._buffer[:1], self._buffer[1:]
        return byte

    def _fill(self) -> None:
        try:
            data = self.socket.recv(65_536)
        except ConnectionError as error:
            raise WireClosedError from error
        if not data:
            raise WireClosedError
        self._buffer += data

    def receive_refusal(self) -> Refusal:
        """Return the next ErrorResponse, skipping other messages before it."""
        while True:
            kind, body = self.receive()
            if kind == b"E":
                return Refusal.parse(body)

    def is_closed_by_proxy(self) -> bool:
        """Wait for the end of the stream; False when anything else arrives."""
        try:
            self.receive()
        except WireClosedError:
            return True
        return False

    def log_in(self, parameters: dict[str, str], password: str) -> list[tuple[bytes, bytes]]:
        """Log in; return the messages up to ReadyForQuery or ErrorResponse."""
        self.send(startup_packet(parameters))
        received: list[tuple[bytes, bytes]] = []
        while not received or received[-1][0] not in (b"Z", b"E"):
            kind, body = self.receive()
            received.append((kind, body))
            if kind == b"R":
                self._authenticate(body, password)
            elif kind == b"S":
                name, value, _ = body.split(b"\0")
                self.parameters[name.decode()] = value.decode()
            elif kind == b"K":
                self.key_data = body
        return received

    def _authenticate(self, body: bytes, password: str) -> None:
        (request,) = struct.unpack_from("!I", body)
        if request == 10:
            self._first_bare = b"n=,r=abcdefghijklmnop"
            self.send(sasl_initial(b"n,," + self._first_bare))
        elif request == 11:
            self.send(message(b"p", self._prove(body[4:], password)))

    def _prove(self, server_first: bytes, password: str) -> bytes:
        nonce, salt, iterations = (part[2:] for part in server_first.split(b",", 2))
        salted = salted_password(password, base64.b64decode(salt), int(iterations))
        client_key = hmac.digest(salted, b"Client Key", "sha256")
        without_proof = b"c=biws,r=" + nonce
        text = b",".join((self._first_bare, server_first, without_proof))
        stored_key = hashlib.sha256(client_key).digest()
        signature = hmac.digest(stored_key, text, "sha256")
        proof = bytes(one ^ other for one, other in zip(client_key, signature, strict=True))
        return without_proof + b",p=" + base64.b64encode(proof)

    def query(self, text: str) -> list[tuple[bytes, bytes]]:
        """Run a simple query; return the messages up to ReadyForQuery."""
        self.send(message(b"Q", text.encode() + b"\0"))
        return self.receive_until_ready()

    def receive_until_ready(self) -> list[tuple[bytes, bytes]]:
        """Return the messages up to ReadyForQuery."""
        received = [self.receive()]
        while received[-1][0] != b"Z":
            received.append(self.receive())
        return received

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()
