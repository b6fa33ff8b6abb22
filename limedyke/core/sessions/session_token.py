"""Session tokens: signed log positions that a client presents to any proxy.

A token is bound to tenant, group and user, and states the log position up to
which the session has written.  It holds no secret and can't be altered without
the signing key.
"""

from __future__ import annotations

import binascii
import hashlib
import hmac
import struct
from base64 import urlsafe_b64decode, urlsafe_b64encode
from dataclasses import dataclass

from result import Err, Ok, Result

from limedyke.messages.work import LogPosition
from limedyke.result_codes import Failure, ResultCode

TOKEN_VERSION = 1
TOKEN_LIFETIME_S = 24 * 3_600
CLOCK_DIFFERENCE_ALLOWED_S = 300
BARRIER_FLAG = 1
MAC_BYTES = 32
OWNER_BYTES = 16
_FIELDS = struct.Struct(f"!BBIQQQ{OWNER_BYTES}s")
"""Version, flags, key id, term, position, issued at (Unix seconds), owner digest."""


@dataclass(frozen=True, slots=True)
class TokenOwner:
    """The tenant, group and user that a token is issued to."""

    tenant: str
    group: str
    user: str

    def digest(self) -> bytes:
        """Return a short digest that tells tokens of different owners apart."""
        text = "\0".join((self.tenant, self.group, self.user)).encode()
        return hashlib.sha256(text).digest()[:OWNER_BYTES]


@dataclass(frozen=True, slots=True)
class TokenClaim:
    """The content of a token.

    :param position: all known writes of the session are at or before this position
    :param barrier: the session may also have written after it
    """

    position: LogPosition
    barrier: bool = False


class TokenAuthority:
    """Issues and verifies tokens.

    :param keys: key bytes by key id; the highest id signs, all of them verify
    """

    __slots__ = ("_keys", "_newest")

    def __init__(self, keys: dict[int, bytes]) -> None:
        self._keys = keys
        self._newest = max(keys, default=None)

    def issue(self, owner: TokenOwner, claim: TokenClaim, unix_s: int) -> str:
        """Return a token, or an empty string if no key is declared."""
        if self._newest is None:
            return ""
        flags = BARRIER_FLAG if claim.barrier else 0
        position = claim.position
        fields = _FIELDS.pack(
            TOKEN_VERSION,
            flags,
            self._newest,
            position.term,
            position.position,
            unix_s,
            owner.digest(),
        )
        mac = self._mac(self._newest, fields)
        return urlsafe_b64encode(fields + mac).rstrip(b"=").decode()

    def check(self, token: str, owner: TokenOwner, unix_s: int) -> Result[TokenClaim, Failure]:
        """Return the claim of a token, or the failure if it is rejected.

        Fails with SESSION_TOKEN_INVALID, SESSION_TOKEN_FOREIGN or SESSION_TOKEN_EXPIRED.
        """
        data = _decode(token)
        if data is None:
            return Err(Failure(ResultCode.SESSION_TOKEN_INVALID, "The token is malformed."))
        fields, mac = data[: _FIELDS.size], data[_FIELDS.size :]
        version, flags, key_id, term, position, issued_at, digest = _FIELDS.unpack(fields)
        if version != TOKEN_VERSION or flags & ~BARRIER_FLAG:
            return Err(Failure(ResultCode.SESSION_TOKEN_INVALID, "The token's form is unknown."))
        if key_id not in self._keys:
            return Err(Failure(ResultCode.SESSION_TOKEN_EXPIRED, "Its key is not in use."))
        if not hmac.compare_digest(mac, self._mac(key_id, fields)):
            return Err(Failure(ResultCode.SESSION_TOKEN_INVALID, "The signature is wrong."))
        if not hmac.compare_digest(digest, owner.digest()):
            return Err(Failure(ResultCode.SESSION_TOKEN_FOREIGN))
        if issued_at > unix_s + CLOCK_DIFFERENCE_ALLOWED_S:
            return Err(Failure(ResultCode.SESSION_TOKEN_INVALID, "Issued in the future."))
        if issued_at + TOKEN_LIFETIME_S < unix_s:
            return Err(Failure(ResultCode.SESSION_TOKEN_EXPIRED, "The token is too old."))
        return Ok(TokenClaim(LogPosition(term, position), bool(flags & BARRIER_FLAG)))

    def _mac(self, key_id: int, fields: bytes) -> bytes:
        return hmac.digest(self._keys[key_id], fields, "sha256")


def _decode(token: str) -> bytes | None:
    """Return the bytes of a token, or None if its length or encoding isn't canonical."""
    try:
        data = urlsafe_b64decode(token.encode("ascii") + b"=" * (-len(token) % 4))
    except (binascii.Error, ValueError):
        return None
    if len(data) != _FIELDS.size + MAC_BYTES:
        return None
    if urlsafe_b64encode(data).rstrip(b"=") != token.encode("ascii"):
        return None
    return data
