"""The planned stop of a proxy: nothing new, everything under way to its end, then leave."""

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
"""How long clients may take to read their last message and close."""
BACK_ENDS_DRAIN_S = 1.0
"""The back-end side gets at least this long, also when the deadline has passed."""
LOG = EventLog("drain")


class LeavingControl(Protocol):
    """Tells the controllers that the proxy leaves."""

    async def leave(self, done: bool) -> None:
        """Tell that the proxy drains, and later that it is done."""


class DrainingBackEnds(Protocol):
    """The back-end side, which serves other proxies too."""

    def refuse_new_work(self) -> None:
        """Take no new work from other proxies from now on; open transactions go on."""

    async def drain(self) -> None:
        """Take no new work from other proxies, let what runs finish, close connections."""


async def drain_proxy(
    services: ClientServices,
    watch: ClientWatch,
    control: LeavingControl,
    back_ends: DrainingBackEnds,
    deadline_s: float,
) -> int:
    """Take the proxy out of service; the listener is closed already.

    :param deadline_s: how long to wait for clients' work
    :returns: how many clients' work was cut at the deadline
    """
    started = time.monotonic()
    services.draining = True
    LOG.info("drain-started", clients=len(services.registry.connections))
    # The controllers take the leases back once they know; work that came later would wait for one.
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
    """Let every client's work come to its end; return how many had to be cut."""
    while time.monotonic() < deadline:
        await watch.ask_all_to_leave(failure)
        if not _remaining(services):
            await _let_answers_arrive(services, deadline)
            return 0
        await curio.sleep(CHECK_INTERVAL_S)
    cut = len(_remaining(services))
    await watch.end_all(failure)
    return cut


async def _let_answers_arrive(services: ClientServices, deadline: float) -> None:
    """Give clients a moment to read their last message and close."""
    until = min(deadline, time.monotonic() + LAST_ANSWER_READ_S)
    while services.registry.connections and time.monotonic() < until:
        await curio.sleep(CHECK_INTERVAL_S)


def _remaining(services: ClientServices) -> list[ClientConnection]:
    """Return the connections that aren't on their way out."""
    connections = services.registry.connections
    return [connection for connection in connections if not connection.is_closing]
