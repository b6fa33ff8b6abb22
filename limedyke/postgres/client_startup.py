"""Parses the packets at the beginning of a client connection."""

from __future__ import annotations

import shlex
import struct
from dataclasses import dataclass, field

from result import Err, Ok, Result

from limedyke.result_codes import Failure, ResultCode

CANCEL_CODE = 80_877_102
SSL_CODE = 80_877_103
GSS_CODE = 80_877_104
SUPPORTED_MAJOR = 3
SUPPORTED_MINOR = 0
PROTOCOL_OPTION_PREFIX = "_pq_."
SESSION_PREFIX = "limedyke."
SESSION_TOKEN_SETTING = "limedyke.session"
SESSION_NAME_SETTING = "limedyke.session_name"
_CODE = struct.Struct("!I")
_CANCEL = struct.Struct("!III")


@dataclass(frozen=True, slots=True)
class SslRequest:
    """The client requests TLS."""


@dataclass(frozen=True, slots=True)
class GssRequest:
    """The client requests GSSAPI encryption, which is declined."""


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """The client requests, on a separate connection, to cancel the query of another connection."""

    process_id: int
    secret: int


@dataclass(frozen=True, slots=True)
class StartupRequest:
    """The client requests a session.

    :param database: the requested database, in the form ``tenant/group``
    :param settings: session settings by lower-case name, from parameters and ``options``
    :param minor_version: requested minor protocol version
    :param unknown_protocol_options: ``_pq_.`` options, none of which the proxy supports
    """

    user: str
    database: str
    settings: dict[str, str] = field(default_factory=dict)
    minor_version: int = 0
    unknown_protocol_options: tuple[str, ...] = ()


StartupPacket = SslRequest | GssRequest | CancelRequest | StartupRequest


def parse_startup_packet(packet: bytes) -> Result[StartupPacket, Failure]:
    """Parse a startup packet, given without its length.

    Fails with PROTOCOL_VIOLATION or FEATURE_NOT_SUPPORTED.
    """
    (code,) = _CODE.unpack_from(packet)
    if code == SSL_CODE:
        return Ok(SslRequest())
    if code == GSS_CODE:
        return Ok(GssRequest())
    if code == CANCEL_CODE:
        return _parse_cancel(packet)
    if code >> 16 != SUPPORTED_MAJOR:
        detail = f"protocol version {code >> 16}.{code & 0xFFFF}"
        return Err(Failure(ResultCode.FEATURE_NOT_SUPPORTED, detail))
    return _parse_parameters(packet[_CODE.size :], code & 0xFFFF)


def _parse_cancel(packet: bytes) -> Result[StartupPacket, Failure]:
    if len(packet) != _CANCEL.size:
        return _violation("cancel request of wrong size")
    _, process_id, secret = _CANCEL.unpack(packet)
    return Ok(CancelRequest(process_id, secret))


def _parse_parameters(body: bytes, minor_version: int) -> Result[StartupPacket, Failure]:
    if not body.endswith(b"\0"):
        return _violation("startup packet is not terminated")
    try:
        parts = body[:-1].decode().split("\0")
    except UnicodeDecodeError:
        return _violation("startup packet is not UTF-8")
    if parts.pop() != "" or len(parts) % 2:
        return _violation("startup parameters are not pairs")
    parameters = dict(zip(parts[::2], parts[1::2], strict=True))
    user = parameters.pop("user", "")
    if not user:
        return _violation("no user name")
    if parameters.pop("replication", "false").lower() not in ("false", "off", "no", "0"):
        return Err(Failure(ResultCode.FEATURE_NOT_SUPPORTED, "replication connection"))
    database = parameters.pop("database", user)
    unknown = tuple(name for name in parameters if name.startswith(PROTOCOL_OPTION_PREFIX))
    options = parameters.pop("options", "")
    settings = _parse_options(options)
    if settings is None:
        return _violation("options")
    plain = {name.lower(): value for name, value in parameters.items() if name not in unknown}
    settings.update(plain)
    return Ok(StartupRequest(user, database, settings, minor_version, unknown))


def _parse_options(options: str) -> dict[str, str] | None:
    """Return the settings in ``-c name=value`` and ``--name=value`` options."""
    try:
        words = shlex.split(options)
    except ValueError:
        return None
    settings: dict[str, str] = {}
    position = 0
    while position < len(words):
        word = words[position]
        position += 1
        if word == "-c" and position < len(words):
            word = words[position]
            position += 1
        elif word.startswith("--") or word.startswith("-c"):
            word = word[2:]
        else:
            return None
        name, separator, value = word.partition("=")
        if not separator:
            return None
        settings[name.replace("-", "_").lower()] = value
    return settings


def _violation(detail: str) -> Err[Failure]:
    return Err(Failure(ResultCode.PROTOCOL_VIOLATION, detail))
