"""Access keys: they identify the tenant of a client.

Only digests of keys are declared, stored and compared.  No process except the one that a client
connects to ever holds a key.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

from limedyke.messages.declaration import Tenant

DIGEST_BYTES = 16
"""128 bits: keys are long random texts that cannot be guessed from their digest."""
FINGERPRINT_BYTES = 4
"""Length of the part shown in logs: enough to distinguish keys, too short to recover one."""


def access_key_digest(key: str) -> bytes:
    """Return the digest under which a key is declared."""
    return hashlib.blake2b(
        key.encode("utf-8", "surrogateescape"), digest_size=DIGEST_BYTES
    ).digest()


def fingerprint(digest: bytes) -> str:
    """Return the part of a digest that is shown in logs."""
    return digest[:FINGERPRINT_BYTES].hex()


class AccessKeys:
    """Tenants by the digests of their keys."""

    def __init__(self) -> None:
        self._tenants: Mapping[str, Tenant] | None = None
        self._names: dict[bytes, str] = {}

    def set_tenants(self, tenants: Mapping[str, Tenant]) -> None:
        """Set the declared tenants; passing the same mapping again has no cost."""
        if tenants is self._tenants:
            return
        self._tenants = tenants
        self._names = {
            digest: tenant.name for tenant in tenants.values() for digest in tenant.access_keys
        }

    def tenant_of(self, digest: bytes) -> str | None:
        """Return the name of the tenant that holds a key; None for an unknown key."""
        return self._names.get(digest)
