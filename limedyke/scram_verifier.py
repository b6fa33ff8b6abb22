"""Creates SCRAM-SHA-256 verifiers in PostgreSQL's format."""

from __future__ import annotations

import base64
import secrets

from scramp import ScramMechanism

ITERATIONS = 4_096
SALT_BYTES = 16
"""The salt length that PostgreSQL uses.  ``mock_verifier`` must use the same length, because a
different one would reveal which users are declared."""


def make_verifier(password: str, iterations: int = ITERATIONS) -> str:
    """Return ``SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>`` with a new salt."""
    mechanism = ScramMechanism("SCRAM-SHA-256")
    new_salt = secrets.token_bytes(SALT_BYTES)
    salt, stored_key, server_key, count = mechanism.make_auth_info(password, iterations, new_salt)
    salt_text, stored_text, server_text = (
        base64.b64encode(part).decode() for part in (salt, stored_key, server_key)
    )
    return f"SCRAM-SHA-256${count}:{salt_text}${stored_text}:{server_text}"
