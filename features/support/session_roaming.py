"""Opens a session at another proxy; owners of foreign tokens."""

from __future__ import annotations

from behave.runner import Context

from features.support.session_exchange import SessionExchange, new_context
from limedyke.core.sessions.session_token import TokenOwner

OWNER = TokenOwner("acme", "main", "app")
FOREIGN = {
    "another tenant's": TokenOwner("rival", "main", "app"),
    "another group's": TokenOwner("acme", "other", "app"),
    "another user's": TokenOwner("acme", "main", "other"),
}


def open_elsewhere(
    context: Context, settings: dict[str, str], keys: dict[int, bytes] | None = None
) -> None:
    """Open the session at another proxy.

    :param settings: settings of the startup packet
    :param keys: token keys of that proxy by id; ``KEYS`` if omitted
    """
    shared = new_context(keys)
    context.there = SessionExchange(context.folder, settings, shared)
