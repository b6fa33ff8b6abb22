"""A member withdraws, the leader is killed, and an earlier heartbeat of the member arrives late.

A replica is replaced: its successor starts, then it sends ``DELETE /instances/ID`` without having
said ``draining``, serves on for some seconds, and ends.  A heartbeat that it sent shortly before
arrives seconds late, and the process that led the controllers is killed after the acknowledgement
of the DELETE.  The rule DRAIN is broken if a client's statement reaches the member later than
``drainTimeoutMs`` after the acknowledgement, sent on by machines in touch.
"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import http  # noqa: E402
from standins.clients import Client  # noqa: E402
from standins.deployment import (  # noqa: E402
    BOUNDS,
    CaseCannotRunError,
    Deployment,
    Machine,
)
from standins.members import Member, Service  # noqa: E402
from standins.platform import Platform  # noqa: E402
from standins.record import Record  # noqa: E402
from standins.runner import run_case  # noqa: E402
from standins.tasks import spawn  # noqa: E402

ZONES = ("brno-kampus", "praha-holes", "ostrava-vit")
SERVICE = "telemetrie"
DATABASES = (("dash", "bounded", 0.0), ("ship", "direct", 0.12), ("alerts", "primary", 0.2))
CLIENTS_PER_PROXY = 3
QUIET_S = 6.0
HEARTBEAT_LATE_S = 3.0
"""How late the held heartbeat arrives; the pages say that one may come seconds late."""
KILL_AFTER_S = 0.1
RESTART_AFTER_S = 0.5
SERVES_ON_S = BOUNDS["drainTimeoutMs"] / 1000 + 6.0
"""``drainTimeoutMs`` and some seconds, as the pages allow."""
LEAST_STATEMENTS = 200


class Case:
    """The deployment, its traffic, the disruption and the check."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._deployment = Deployment(record)
        members = [self._member(number) for number in range(len(ZONES))]
        self._service = Service(SERVICE, members, 0, self._deployment, record)
        self._platform = Platform([self._service], record)
        self._clients: list[Client] = []
        self._calm_from = 0.0
        self._acknowledged_at = 0.0

    def _member(self, number: int) -> Member:
        deployment = self._deployment
        zone = number % len(ZONES)
        address = f"{deployment.ip(zone, 50 + number)}:{deployment.member_port}"
        return Member(f"i-{random.getrandbits(32):08x}", address, ZONES[zone])

    def _configuration(self) -> dict:
        routes = [
            {
                "name": f"r-{name}",
                "hostname": name,
                "pathPrefix": "/",
                "routeType": kind,
                "timeoutMs": 1000,
                "targetLatencyMs": 800,
                "priority": 1,
                "service": SERVICE,
                "maxAttempts": 2,
                "maxStalenessMs": 1500,
            }
            for name, kind, _ in DATABASES
        ]
        service = {
            "name": SERVICE,
            "healthCheckPath": "/health",
            "maxConnections": 50,
            "protocol": "h1",
            "tls": False,
            "syncReplicas": 0,
        }
        limits = {"txIdleMs": 3000}
        return {"version": 1, "routes": routes, "services": [service], "limits": limits}

    async def run(self, trouble: str) -> int:
        """Run the case; return the exit status.

        :param trouble: ``0`` for none, ``late`` or ``kill`` for one part only, else both
        """
        try:
            await self._start()
            await asyncio.sleep(QUIET_S)
            leaving = await self._replace_replica(trouble)
            await asyncio.sleep(self._acknowledged_at + SERVES_ON_S - self._record.now())
            await self._service.stop(leaving)
            return self._verdict(leaving)
        finally:
            self._deployment.stop_all()

    async def _start(self) -> None:
        for member in self._service.members.values():
            await self._service.start(member)
        await self._platform.start(self._deployment.platform_address)
        self._deployment.start_all()
        await self._deployment.configure(self._configuration())
        await self._deployment.wait_until_ready()
        for machine in self._deployment.proxies:
            for name, _, writes in DATABASES:
                for _ in range(CLIENTS_PER_PROXY):
                    self._add_client(name, machine, writes)

    def _add_client(self, database: str, machine: Machine, writes: float) -> None:
        name = f"u{len(self._clients)}"
        client = Client(
            name, database, machine, self._deployment, self._record, writes, pause_s=0.2
        )
        self._clients.append(client)
        spawn(client.run())

    async def _replace_replica(self, trouble: str) -> Member:
        """Replace the last replica; return the member that leaves."""
        service = self._service
        leaving = list(service.members.values())[-1]
        successor = self._member(len(service.members) + 2)
        await service.join(successor)
        await asyncio.sleep(2.0)
        leader = self._deployment.controller_at(leaving.heartbeat_url)
        if leader is None:
            raise CaseCannotRunError("the leader is not known")
        leaving.beats = False
        if trouble not in ("0", "kill"):
            spawn(self._send_late(leaving, leader))
            await asyncio.sleep(1.0)
            if not await service.announce(leaving):
                raise CaseCannotRunError("no controller acknowledges a heartbeat")
        if not await service.tell(leaving, "DELETE", None):
            raise CaseCannotRunError("no controller acknowledges the DELETE")
        self._acknowledged_at = self._calm_from = self._record.now()
        self._record.say(f"DELETE of {leaving.identity} acknowledged; it serves on")
        if trouble not in ("0", "late"):
            await self._kill(leader)
        return leaving

    async def _send_late(self, member: Member, leader: Machine) -> None:
        """Send a heartbeat whose bytes the network holds back."""
        others = [m for m in self._deployment.controllers if m is not leader]
        receiver = random.choice(others)
        body = self._service.announcement(member)
        self._record.say(f"heartbeat {body['callSeq']} of {member.identity} leaves, and is held")
        address = self._deployment.control_address(receiver)
        path = f"/instances/{member.identity}"
        answer = await http.call(address, "PUT", path, body, held_s=HEARTBEAT_LATE_S)
        self._record.say(f"held heartbeat reached {receiver.name}: status {answer.status}")

    async def _kill(self, machine: Machine) -> None:
        await asyncio.sleep(KILL_AFTER_S)
        self._deployment.kill(machine)
        await asyncio.sleep(RESTART_AFTER_S)
        self._deployment.start(machine)
        self._calm_from = self._record.now()

    def _verdict(self, leaving: Member) -> int:
        answered = sum(s.succeeded for client in self._clients for s in client.statements)
        self._record.say(f"statements answered with success: {answered}")
        if answered < LEAST_STATEMENTS:
            raise CaseCannotRunError("too few statements were answered")
        bound_at = self._acknowledged_at + BOUNDS["drainTimeoutMs"] / 1000
        in_touch_at = self._calm_from + BOUNDS["contactMs"] / 1000
        runs = [run for run in self._service.runs if run.member == leaving.identity]
        late = [run for run in runs if run.at > max(bound_at, in_touch_at)]
        self._record.say(
            f"{leaving.identity} ran {len(runs)} statements, {len(late)} of them later than"
            f" {BOUNDS['drainTimeoutMs']} ms after the acknowledgement"
        )
        for run in late:
            self._record.note(f"late: {run.at - self._acknowledged_at:.3f} s, {run.request_id}")
        self._record.say(f"DRAIN: {'broken' if late else 'held'}")
        return 1 if late else 0


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, lambda record, trouble: Case(record).run(trouble)))
