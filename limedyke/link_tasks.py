"""Runs tasks that serve a link until it closes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from limedyke.transport.link import LinkClosedError


async def serve_until_closed(serve: Callable[..., Awaitable[None]], *arguments: object) -> str:
    """Run ``serve`` and return the reason when its link closes, instead of raising an error.

    :returns: why the link closed, or ``done`` when ``serve`` returned by itself
    """
    try:
        await serve(*arguments)
    except LinkClosedError as error:
        return str(error)
    return "done"
