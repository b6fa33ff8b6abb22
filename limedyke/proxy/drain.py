"""Drains a proxy for a planned stop: refuse new work, finish running work, then leave."""

from __future__ import annotations

import time
from typing import Protocol

import curio

from limedyke.event_log import EventLog
from limedyke.proxy.clients.connection import ClientConnection
from limedyke.proxy.clients.services import ClientServices
from limedyke.proxy.clients.watch import ClientWatch
from limedyke.result_codes import Failure, ResultCode

CHECK_INTERVAL_S = 0.02
LAST_ANSWER_READ_S = 0.2
"""How long to wait for clients to read their last message and close."""
BACK_ENDS_DRAIN_S = 1.0
"""Minimum time for the back-end side to drain, even if the deadline has passed."""
LOG = EventLog("drain")


class LeavingControl(Protocol):
    """Reports to the controllers that the proxy is leaving."""

    async def leave(self, done: bool) -> None:
        """Report that the proxy drains, or that it has finished draining."""


class DrainingBackEnds(Protocol):
    """The back-end side, which also serves other proxies."""

    def refuse_new_work(self) -> None:
        """Refuse new work from other proxies from now on; open transactions continue."""

    async def drain(self) -> None:
        """Refuse new work from other proxies, wait for running work, and close connections."""


async def drain_proxy(
    services: ClientServices,
    watch: ClientWatch,
    control: LeavingControl,
    back_ends: DrainingBackEnds,
    deadline_s: float,
) -> int:
    """Take the proxy out of service; the caller has closed the listener.

    :param deadline_s: how long to wait for the work of clients
    :returns: number of clients whose work was aborted at the deadline
    """
    started = time.monotonic()
    services.draining = True
    LOG.info("drain-started", clients=len(services.registry.connections))
    # The controllers revoke the leases after this report; work that came later would lack one.
    back_ends.refuse_new_work()
    await control.leave(done=False)
    failure = Failure(ResultCode.DRAINING)
    cut = await _wait_for_clients(services, watch, failure, started + deadline_s)
    LOG.info("clients-left", cut=cut, elapsed_ms=_elapsed_ms(started))
    async with curio.ignore_after(max(started + deadline_s - time.monotonic(), BACK_ENDS_DRAIN_S)):
        await back_ends.drain()
    await control.leave(done=True)
    LOG.info("drain-ended", cut=cut, elapsed_ms=_elapsed_ms(started))
    return cut


def _elapsed_ms(started: float) -> int:
    return round((time.monotonic() - started) * 1_000)


async def _wait_for_clients(
    services: ClientServices, watch: ClientWatch, failure: Failure, deadline: float
) -> int:
    """Wait for the work of all clients; return the number of clients aborted at the deadline."""
    while time.monotonic() < deadline:
        await watch.ask_all_to_leave(failure)
        if not _remaining(services):
            await _wait_until_read(services, deadline)
            return 0
        await curio.sleep(CHECK_INTERVAL_S)
    cut = len(_remaining(services))
    await watch.end_all(failure)
    return cut


async def _wait_until_read(services: ClientServices, deadline: float) -> None:
    """Wait briefly for clients to read their last message and close."""
    until = min(deadline, time.monotonic() + LAST_ANSWER_READ_S)
    while services.registry.connections and time.monotonic() < until:
        await curio.sleep(CHECK_INTERVAL_S)


def _remaining(services: ClientServices) -> list[ClientConnection]:
    """Return the connections that are not being closed."""
    connections = services.registry.connections
    return [connection for connection in connections if not connection.is_closing]
