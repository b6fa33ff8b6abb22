"""State shared by all sessions of a proxy, and the messages sent after a login."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from limedyke.core.sessions.session_token import TokenAuthority
from limedyke.core.sql.statement_cache import StatementCache
from limedyke.messages.declaration import Tenant
from limedyke.postgres.client_messages import parameter_status

SERVER_VERSION = "16.0 (limedyke)"
REPORTED_SETTINGS = {
    "application_name": ("application_name", ""),
    "client_encoding": ("client_encoding", "UTF8"),
    "datestyle": ("DateStyle", "ISO, MDY"),
    "intervalstyle": ("IntervalStyle", "postgres"),
    "timezone": ("TimeZone", "UTC"),
}
"""Reported settings that a startup packet may set: lower-case name to reported name and default."""
FIXED_SETTINGS = {
    "server_version": SERVER_VERSION,
    "server_encoding": "UTF8",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
    "is_superuser": "off",
}
NOT_REPLAYED = frozenset({"application_name"})


@dataclass(slots=True)
class SessionContext:
    """Shared by the sessions of a proxy; ``authority`` is replaced when the keys change.

    :param next_number: returns the next number for a unit or transaction, unique in this process
    :param find_tenant: returns the declared tenant with this name, or None
    """

    statements: StatementCache
    authority: TokenAuthority
    next_number: Callable[[], int]
    find_tenant: Callable[[str], Tenant | None]
    request_deadline_ms: int = 30_000
    idle_in_transaction_s: float = 60.0
    maximum_batch_bytes: int = 16 * 1024 * 1024


def greeting(user: str, settings: dict[str, str]) -> bytes:
    """Return the ParameterStatus messages that follow a login."""
    parts = [parameter_status(name, value) for name, value in FIXED_SETTINGS.items()]
    parts.append(parameter_status("session_authorization", user))
    for key, (name, default) in REPORTED_SETTINGS.items():
        parts.append(parameter_status(name, settings.get(key, default)))
    return b"".join(parts)


def replayed_settings(settings: dict[str, str]) -> dict[str, str]:
    """Return the startup settings to replay on a connection: those that differ from the default."""
    replayed = {}
    for name, value in settings.items():
        default = REPORTED_SETTINGS.get(name, ("", None))[1]
        if name in NOT_REPLAYED or (default is not None and value.lower() == default.lower()):
            continue
        replayed[name] = value
    return replayed
