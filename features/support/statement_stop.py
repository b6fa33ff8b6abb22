"""A proxy's parts in one process, which can be stopped while clients use it."""

from __future__ import annotations

import time

import curio
from curio import socket

from features.support.statement_path import LineClient, StatementPath, summary
from limedyke.core.statements.stop_schedule import StopSchedule
from limedyke.messages.databases import Consistency
from limedyke.messages.statements import StatementUnit
from limedyke.proxy.forwarding.server import ForwardingServer
from limedyke.proxy.statements.clients.client import StatementClient
from limedyke.proxy.statements.homes.home_service import StatementHomeService, refuse_unit
from limedyke.proxy.statements.planned_stop import PlannedStop
from line_protocol import LineClientCodec


class QuietControl:
    """A stand-in for the controllers that records the end of the stop."""

    def __init__(self) -> None:
        self.is_done = False

    async def leave(self, done: bool) -> None:
        """Record whether the proxy is done."""
        self.is_done = done


class StoppingPath(StatementPath):
    """A proxy that can be stopped.

    :ivar schedule: of the planned stop, once it has begun
    """

    def __init__(self, consistency: Consistency) -> None:
        super().__init__(consistency)
        self.served: set[StatementClient] = set()
        self.control = QuietControl()
        self.is_let_in = True
        self.schedule: StopSchedule | None = None
        self._stopping: curio.Task | None = None

    async def connect(self, database: str = "db", key: str = "u1") -> tuple[LineClient, str]:
        """Open a client's session and register it with the proxy."""
        ours, theirs = socket.socketpair()
        served = StatementClient(theirs, LineClientCodec(), self.services)
        self.served.add(served)
        served.task = await curio.spawn(self._serve, served, daemon=True)
        client = LineClient(ours)
        self.clients.append(client)
        await client.send(f"START {database} {key}\r\n")
        return client, summary([await client.receive()])

    async def _serve(self, served: StatementClient) -> None:
        try:
            await served.run()
        finally:
            self.served.discard(served)

    async def stop_proxy(self, whole_s: float) -> None:
        """Start the planned stop in the background."""
        services = self.services
        home = StatementHomeService(
            self.groups, None, services.log, services.log._metrics, services.stop
        )
        server = ForwardingServer(home, StatementUnit, refuse_unit)
        planned = PlannedStop(services.stop, self.served, home, server, self.control)
        self._stopping = await curio.spawn(planned.run, whole_s, self._close, daemon=True)
        await curio.sleep(0)
        self.schedule = services.stop.schedule

    async def _close(self) -> None:
        self.is_let_in = False

    async def wait_until(self, share_name: str) -> None:
        """Wait until a moment of the schedule has just passed."""
        moment = getattr(self.schedule, share_name)
        await curio.sleep(max(0.0, moment - time.monotonic()))

    async def wait_for_end(self) -> None:
        """Wait until the proxy has left service."""
        await self._stopping.join()
