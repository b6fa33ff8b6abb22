"""Tasks that serve a link and end with it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from limedyke.transport.link import LinkClosedError


async def serve_until_closed(serve: Callable[..., Awaitable[None]], *arguments: object) -> str:
    """Run ``serve`` until its link ends; return the reason, so that no task ends in an error."""
    try:
        await serve(*arguments)
    except LinkClosedError as error:
        return str(error)
    return "done"
