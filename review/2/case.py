"""A primary crashes while one replica receives nothing; which member is promoted?

Three services of three members each have ``syncReplicas`` 1, so each acknowledged commit stands in
the log of the primary and of at least one replica.  In each service

- one replica receives nothing for a while, then everything again,
- meanwhile the primary is partitioned from one proxy after the other, for a moment each,
- then the other replica receives nothing for a while, and the primary crashes meanwhile.

The first replica then has every acknowledged commit.  The rule LOST is broken if a member that is
promoted lacks one.
"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.clients import Client  # noqa: E402
from standins.deployment import CaseCannotRunError, Deployment, Machine  # noqa: E402
from standins.members import Member, Service  # noqa: E402
from standins.platform import Platform  # noqa: E402
from standins.record import Record  # noqa: E402
from standins.runner import run_case  # noqa: E402
from standins.tasks import spawn  # noqa: E402

SERVICES = 3
MEMBER_ZONES = ("brno-kampus", "praha-holes", "ostrava-vit")
QUIET_S = 6.0
FIRST_DEAF_S = 9.0
CUT_S = 2.0
BETWEEN_CUTS_S = 0.7
CAUGHT_UP_S = 2.0
DEAF_S = 6.5
CRASH_AFTER_S = 4.0
AFTERWARDS_S = 10.0
PRIMARY_DATABASE, BOUNDED_DATABASE = "alerts", "dash"
LEAST_ACKNOWLEDGED = 50


class Case:
    """The deployment, its traffic, the disruption and the check."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._deployment = Deployment(record)
        self._services = [self._service(number) for number in range(SERVICES)]
        self._platform = Platform(self._services, record)
        self._platform.on_promoted = self._check
        self._clients: list[Client] = []
        self._promoted: set[str] = set()
        self._broken = 0

    def _service(self, number: int) -> Service:
        deployment = self._deployment
        members = [
            Member(
                f"i-{random.getrandbits(32):08x}",
                f"{deployment.ip(copy, 50 + number)}:{deployment.member_port}",
                zone,
            )
            for copy, zone in enumerate(MEMBER_ZONES)
        ]
        return Service(f"telemetrie{number}", members, 1, deployment, self._record)

    def _configuration(self) -> dict:
        routes = []
        for number, service in enumerate(self._services):
            for name, kind, timeout_ms in (
                (PRIMARY_DATABASE, "primary", 1000),
                (BOUNDED_DATABASE, "bounded", 3000),
            ):
                routes.append(
                    {
                        "name": f"r-{name}{number}",
                        "hostname": f"{name}{number}",
                        "pathPrefix": "/",
                        "routeType": kind,
                        "timeoutMs": timeout_ms,
                        "targetLatencyMs": 400 if kind == "primary" else 1000,
                        "priority": 1,
                        "service": service.name,
                        "maxAttempts": 2,
                        "maxStalenessMs": 1500,
                    }
                )
        services = [
            {
                "name": service.name,
                "healthCheckPath": "/health",
                "maxConnections": 50,
                "protocol": "h1",
                "tls": False,
                "syncReplicas": 1,
            }
            for service in self._services
        ]
        limits = {"txIdleMs": 3000}
        return {"version": 1, "routes": routes, "services": services, "limits": limits}

    async def run(self, trouble: str) -> int:
        """Run the case; return the exit status.

        :param trouble: ``0`` to leave the disruption out
        """
        try:
            await self._start()
            await asyncio.sleep(QUIET_S)
            if trouble != "0":
                await asyncio.gather(*(self._disrupt(service) for service in self._services))
            else:
                await asyncio.sleep(FIRST_DEAF_S + CAUGHT_UP_S + DEAF_S)
            await asyncio.sleep(AFTERWARDS_S)
            return self._verdict(trouble)
        finally:
            self._deployment.stop_all()

    async def _start(self) -> None:
        for service in self._services:
            for member in service.members.values():
                await service.start(member)
        await self._platform.start(self._deployment.platform_address)
        self._deployment.start_all()
        await self._deployment.configure(self._configuration())
        await self._deployment.wait_until_ready()
        for number in range(SERVICES):
            for machine in self._deployment.proxies:
                self._add_client(f"{PRIMARY_DATABASE}{number}", machine, writes=0.7)
                self._add_client(f"{PRIMARY_DATABASE}{number}", machine, writes=0.7)
                self._add_client(f"{BOUNDED_DATABASE}{number}", machine, writes=0.0)

    def _add_client(self, database: str, machine: Machine, writes: float) -> None:
        name = f"u{len(self._clients)}"
        client = Client(
            name, database, machine, self._deployment, self._record, writes, pause_s=0.3
        )
        self._clients.append(client)
        spawn(client.run())

    async def _disrupt(self, service: Service) -> None:
        """Let one replica after the other receive nothing; crash the primary the second time."""
        primary = service.primary
        replicas = [member for member in service.members.values() if member is not primary]
        random.shuffle(replicas)
        first, second = replicas
        service.set_deaf(first, True)
        ends_at = self._record.now() + FIRST_DEAF_S
        for machine in self._deployment.proxies:
            await self._cut(service, primary, machine)
            await asyncio.sleep(BETWEEN_CUTS_S)
        await asyncio.sleep(ends_at - self._record.now())
        service.set_deaf(first, False)
        await asyncio.sleep(CAUGHT_UP_S)
        if service.primary is not primary:
            self._record.say(f"{service.name} has another primary already")
            return
        service.set_deaf(second, True)
        await asyncio.sleep(CRASH_AFTER_S)
        await service.crash(primary)
        await asyncio.sleep(DEAF_S - CRASH_AFTER_S)
        service.set_deaf(second, False)
        await service.come_back(primary)

    async def _cut(self, service: Service, primary: Member, machine: Machine) -> None:
        """Partition a primary from a machine for a moment."""
        self._record.say(f"primary of {service.name} is cut off from {machine.name}")
        primary.cut_from.add(machine.ip)
        await asyncio.sleep(CUT_S)
        primary.cut_from.discard(machine.ip)
        self._record.say(f"primary of {service.name} reaches {machine.name} again")

    def _acknowledged(self, service: Service) -> list[str]:
        """Return the ids of the writes to a service that clients got a success for."""
        number = self._services.index(service)
        return [
            statement.request_id
            for client in self._clients
            if client.database == f"{PRIMARY_DATABASE}{number}"
            for statement in client.statements
            if statement.succeeded and statement.text.startswith("WRITE")
        ]

    def _check(self, service: Service, member: Member) -> None:
        """Check the log of a member that takes the lead."""
        self._promoted.add(service.name)
        held = {commit.request_id for commit in member.received}
        acknowledged = self._acknowledged(service)
        lacking = [found for found in acknowledged if found not in held]
        others = {m.identity: len(m.received) for m in service.members.values()}
        self._record.say(
            f"check of {service.name}: {len(acknowledged)} writes acknowledged to clients,"
            f" {member.identity} lacks {len(lacking)}; lengths of the logs: {others}"
        )
        if lacking:
            self._broken += 1
            self._record.note(f"lacking: {' '.join(lacking)}")

    def _verdict(self, trouble: str) -> int:
        counts = [len(self._acknowledged(service)) for service in self._services]
        self._record.say(f"writes acknowledged to clients: {counts}")
        if min(counts) < LEAST_ACKNOWLEDGED:
            raise CaseCannotRunError("too few writes were acknowledged")
        if trouble != "0" and not self._promoted:
            raise CaseCannotRunError("no member was promoted")
        if self._broken:
            self._record.say(f"LOST: broken at {self._broken} of {len(self._promoted)} services")
            return 1
        self._record.say("LOST: held")
        return 0


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, lambda record, trouble: Case(record).run(trouble)))
