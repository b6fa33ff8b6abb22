"""The planned stop of a proxy: it accepts less work in phases and answers all it has accepted."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Collection
from typing import Protocol

import curio

from limedyke.core.statements.stop_schedule import StopSchedule, StopState
from limedyke.event_log import EventLog
from limedyke.proxy.forwarding.server import ForwardingServer
from limedyke.proxy.statements.clients.client import StatementClient

CHECK_INTERVAL_S = 0.05
MS_PER_S = 1_000
EVENTS = EventLog("proxy")


class ForwardedWork(Protocol):
    """The work of other proxies on this one."""

    @property
    def has_work(self) -> bool:
        """Whether a unit runs or a transaction is open here."""

    @property
    def under_way(self) -> int:
        """Number of running units."""


class LeavingControl(Protocol):
    """Tells the controllers that the proxy leaves."""

    async def leave(self, done: bool) -> None:
        """Report that the proxy is draining, or has finished."""


class PlannedStop:
    """Takes one proxy out of service.

    :param state: shared with all components that accept work
    :param clients: the connected clients
    :param forwarded: the work of other proxies on this one
    :param home_server: serves the links of other proxies
    """

    def __init__(
        self,
        state: StopState,
        clients: Collection[StatementClient],
        forwarded: ForwardedWork,
        home_server: ForwardingServer,
        control: LeavingControl,
    ) -> None:
        self._state = state
        self._clients = clients
        self._forwarded = forwarded
        self._home_server = home_server
        self._control = control

    async def run(self, whole_s: float, close_listener: Callable[[], Awaitable[None]]) -> None:
        """Run the planned stop.

        :param whole_s: seconds until the process is killed
        :param close_listener: stops accepting clients
        """
        began_at = time.monotonic()
        schedule = self._state.begin(began_at, whole_s)
        EVENTS.info("stopping", clients=len(self._clients))
        await curio.sleep(schedule.idle_sessions_until - began_at)
        await self._wait_until(schedule.statements_until)
        await close_listener()
        self._home_server.draining = True
        await self._wait_until(schedule.answers_until)
        interrupted = await self._interrupt_remaining(schedule)
        await self._control.leave(done=True)
        EVENTS.info(
            "stopped",
            clients=len(self._clients),
            under_way=sum(client.is_serving for client in self._clients),
            forwarded_under_way=self._forwarded.under_way,
            cut_short=interrupted,
            elapsed_ms=int((time.monotonic() - began_at) * MS_PER_S),
        )

    async def _wait_until(self, until: float) -> None:
        """Wait until a moment, or until no work is left; end sessions as the schedule says."""
        while self._clients or self._forwarded.has_work:
            if time.monotonic() >= until:
                return
            for client in list(self._clients):
                await client.end_if_due()
            await curio.sleep(CHECK_INTERVAL_S)

    async def _interrupt_remaining(self, schedule: StopSchedule) -> int:
        """Answer each running statement with its known outcome; return how many there were."""
        interrupted = 0
        for client in list(self._clients):
            interrupted += client.is_serving
            await client.interrupt_statement()
        while self._clients and time.monotonic() < schedule.ends_at:
            for client in list(self._clients):
                await client.end_if_due()
            await curio.sleep(CHECK_INTERVAL_S)
        return interrupted
