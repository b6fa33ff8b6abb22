"""Access keys: by which tenant a client speaks.

Only digests of keys are declared, kept and compared, so that no process but the one that a client
speaks to ever holds a key.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

from limedyke.messages.declaration import Tenant

DIGEST_BYTES = 16
"""128 bits: keys are long random texts, which nobody guesses by their digest."""
FINGERPRINT_BYTES = 4
"""What logs show of a key: enough to tell two keys apart, too little to find one."""


def access_key_digest(key: str) -> bytes:
    """Return the digest under which a key is declared."""
    return hashlib.blake2b(
        key.encode("utf-8", "surrogateescape"), digest_size=DIGEST_BYTES
    ).digest()


def fingerprint(digest: bytes) -> str:
    """Return what a log line shows of a key."""
    return digest[:FINGERPRINT_BYTES].hex()


class AccessKeys:
    """The tenants by the digests of their keys."""

    def __init__(self) -> None:
        self._tenants: Mapping[str, Tenant] | None = None
        self._names: dict[bytes, str] = {}

    def set_tenants(self, tenants: Mapping[str, Tenant]) -> None:
        """Take the declared tenants; the same mapping again costs nothing."""
        if tenants is self._tenants:
            return
        self._tenants = tenants
        self._names = {
            digest: tenant.name for tenant in tenants.values() for digest in tenant.access_keys
        }

    def tenant_of(self, digest: bytes) -> str | None:
        """Return the name of the tenant that holds a key; None for a key that nobody holds."""
        return self._names.get(digest)
