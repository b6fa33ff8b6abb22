"""A member that was replaced as primary is promoted again while it is cut off from control.

One service has three members.  The first primary goes dark.  The next one, A, is partitioned from
two of the three proxies for a moment, and from the controllers for longer, so that the third
member, B, is promoted.  A no longer leads, but can't tell the controllers.  The proxies reach A
again; it lags, as a replica may.  Then B is partitioned from two proxies, and A is to be promoted
again.

The rule STALE is broken if a read of a ``primary`` route runs on a log that lacks a commit which
was acknowledged to its client before the read was sent.
"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.clients import Client, Statement  # noqa: E402
from standins.deployment import CaseCannotRunError, Deployment, Machine  # noqa: E402
from standins.members import LAG_S as USUAL_LAG_S  # noqa: E402
from standins.members import Member, Run, Service  # noqa: E402
from standins.platform import Platform  # noqa: E402
from standins.record import Record  # noqa: E402
from standins.runner import run_case  # noqa: E402
from standins.tasks import spawn  # noqa: E402

ZONES = ("brno-kampus", "praha-holes", "ostrava-vit")
SERVICE, DATABASE = "telemetrie", "alerts"
CLIENTS_PER_PROXY = 6
WRITES = 0.3
QUIET_S = 5.0
LAG_S = 60 * USUAL_LAG_S
LAG_LASTS_S = 6.5
"""Both as ``replica_lag`` has them in the site file."""
DARK_S = 14.0
"""Twice as long as ``srv_crash`` has it in the site file."""
PROMOTED_LIMIT_S = 6.0
SETTLED_S = 3.0
PROXY_CUT_S = 0.4
"""How long A stays cut off from the proxies once B leads."""
REACHED_S = 0.5
SECOND_CUT_S = 5.0
CONTROL_CUT_AFTER_S = 1.0
"""Before A loses the lead, so that it can't say so."""
CONTROL_CUT_S = 8.0
AFTERWARDS_S = 10.0
LEAST_ACKNOWLEDGED = 50


class Case:
    """The deployment, its traffic, the disruption and the check."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._deployment = Deployment(record)
        members = [self._member(number) for number in range(len(ZONES))]
        self._service = Service(SERVICE, members, 0, self._deployment, record)
        self._platform = Platform([self._service], record)
        self._clients: list[Client] = []

    def _member(self, number: int) -> Member:
        deployment = self._deployment
        address = f"{deployment.ip(number, 50)}:{deployment.member_port}"
        return Member(f"i-{random.getrandbits(32):08x}", address, ZONES[number])

    def _configuration(self) -> dict:
        route = {
            "name": "r-alerts",
            "hostname": DATABASE,
            "pathPrefix": "/",
            "routeType": "primary",
            "timeoutMs": 1000,
            "targetLatencyMs": 400,
            "priority": 1,
            "service": SERVICE,
            "maxAttempts": 2,
        }
        service = {
            "name": SERVICE,
            "healthCheckPath": "/health",
            "maxConnections": 50,
            "protocol": "h1",
            "tls": False,
            "syncReplicas": 0,
        }
        limits = {"txIdleMs": 3000}
        return {"version": 1, "routes": [route], "services": [service], "limits": limits}

    async def run(self, trouble: str) -> int:
        """Run the case; return the exit status.

        :param trouble: ``0`` to leave the disruption out
        """
        try:
            await self._start()
            await asyncio.sleep(QUIET_S)
            if trouble == "0":
                await asyncio.sleep(DARK_S)
            else:
                await self._disrupt()
            await asyncio.sleep(AFTERWARDS_S)
            return self._verdict()
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
            for _ in range(CLIENTS_PER_PROXY):
                self._add_client(machine)

    def _add_client(self, machine: Machine) -> None:
        name = f"u{len(self._clients)}"
        client = Client(
            name, DATABASE, machine, self._deployment, self._record, WRITES, pause_s=0.1
        )
        self._clients.append(client)
        spawn(client.run())

    async def _disrupt(self) -> None:
        """Let B replace A as the primary, then A replace B."""
        service = self._service
        first = service.primary
        await service.crash(first)
        spawn(self._come_back(first))
        member_a = await self._next_primary(first)
        await asyncio.sleep(SETTLED_S)
        some_proxies = self._deployment.proxies[:2]
        self._cut(member_a, some_proxies, True)
        spawn(self._cut_from_control(member_a))
        member_b = await self._next_primary(member_a)
        spawn(self._lag(member_a))
        await asyncio.sleep(PROXY_CUT_S)
        self._cut(member_a, some_proxies, False)
        await asyncio.sleep(REACHED_S)
        self._cut(member_b, some_proxies, True)
        await asyncio.sleep(SECOND_CUT_S)
        self._cut(member_b, some_proxies, False)

    async def _lag(self, member: Member) -> None:
        self._record.say(f"replica {member.identity} applies its log late, by {LAG_S} s")
        member.lag_s = LAG_S
        await asyncio.sleep(LAG_LASTS_S)
        member.lag_s = USUAL_LAG_S
        self._record.say(f"replica {member.identity} applies its log as usual")

    async def _come_back(self, member: Member) -> None:
        await asyncio.sleep(DARK_S)
        await self._service.come_back(member)

    async def _next_primary(self, replaced: Member) -> Member:
        """Wait until another member leads, and return it."""
        end = self._record.now() + PROMOTED_LIMIT_S
        while self._record.now() < end:
            primary = self._service.primary
            if primary is not None and primary is not replaced:
                return primary
            await asyncio.sleep(0.02)
        raise CaseCannotRunError(f"no member replaces {replaced.identity}")

    async def _cut_from_control(self, member: Member) -> None:
        await asyncio.sleep(CONTROL_CUT_AFTER_S)
        self._record.say(f"member {member.identity} is cut off from the controllers")
        member.is_cut_from_control = True
        await asyncio.sleep(CONTROL_CUT_S)
        member.is_cut_from_control = False
        self._record.say(f"member {member.identity} reaches the controllers again")

    def _cut(self, member: Member, machines: list[Machine], is_cut: bool) -> None:
        """Partition a member from proxies, or heal that."""
        names = ", ".join(machine.name for machine in machines)
        what = "is cut off from" if is_cut else "reaches again"
        self._record.say(f"member {member.identity} {what} {names}")
        for machine in machines:
            if is_cut:
                member.cut_from.add(machine.ip)
            else:
                member.cut_from.discard(machine.ip)

    def _verdict(self) -> int:
        lead = self._service.primary
        if lead is None:
            raise CaseCannotRunError("no member leads at the end")
        place = {commit.request_id: number for number, commit in enumerate(lead.received)}
        statements = [found for client in self._clients for found in client.statements]
        writes = [
            found
            for found in statements
            if found.succeeded and found.text.startswith("WRITE") and found.request_id in place
        ]
        self._record.say(f"writes acknowledged to clients and kept: {len(writes)}")
        if len(writes) < LEAST_ACKNOWLEDGED:
            raise CaseCannotRunError("too few writes were acknowledged")
        reads = {found.request_id: found for found in statements if found.text.startswith("READ")}
        stale = 0
        for run in self._service.runs:
            read = reads.get(run.request_id)
            if read is not None and run.applied in place:
                missing = _missing(run, read, writes, place)
                stale += bool(missing)
                if missing:
                    self._record.note(
                        f"stale: read {read.request_id}, sent {read.sent_at:.3f}, ran at"
                        f" {run.member} {run.at:.3f}, lacks {len(missing)} commits; the last was"
                        f" acknowledged {max(w.answered_at for w in missing):.3f}"
                    )
        self._record.say(f"{stale} of {len(reads)} reads of the primary route lacked commits")
        self._record.say(f"STALE: {'broken' if stale else 'held'}")
        return 1 if stale else 0


def _missing(
    run: Run, read: Statement, writes: list[Statement], place: dict[str, int]
) -> list[Statement]:
    """Return the kept writes, acknowledged before a read was sent, that its log lacked."""
    seen = place[run.applied]
    return [w for w in writes if w.answered_at < read.sent_at and place[w.request_id] > seen]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, lambda record, trouble: Case(record).run(trouble)))
