"""What all scripts share: a deployment with one service, its members and its platform."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.standins2 import http_calls
from review.standins2.deployment import Deployment, configuration
from review.standins2.group import Group, Member
from review.standins2.member_server import Heartbeats, MemberServer
from review.standins2.platform_api import PromotionApi
from review.standins2.record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
SERVICE = "huvo11a"
READY_LIMIT_S = 30.0
LONGEST_RUN_S = 110.0


class NotRunError(Exception):
    """The case could not be brought to the point at which the rule is checked."""


class Scenario:
    """One run of a case.

    :param synchronous: ``syncReplicas`` of the service
    :param routes: the type of each database's route, by its name
    :ivar has_trouble: False where the run is to leave out the disruption
    :ivar tells_start: True where members tell ``born`` in their heartbeats
    """

    def __init__(self, folder: Path, record: Record, synchronous: int, routes: dict[str, str]):
        self.record = record
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.tells_start = os.environ.get("BORN") == "1"
        self.deployment = Deployment(folder, record)
        self.group = Group(SERVICE, synchronous, record)
        self.servers: dict[str, MemberServer] = {}
        self.heartbeats: dict[str, Heartbeats] = {}
        self._configuration = configuration(1, SERVICE, routes, synchronous)
        self._api = PromotionApi({SERVICE: self.group}, record)
        self._api_server: asyncio.Server | None = None

    async def start_member(self, identity: str, number: int, announces: bool = True) -> Member:
        """Start a member; by default it announces itself."""
        deployment = self.deployment
        ip, zone = deployment.member_ip(number), f"z{number % 3 + 1}"
        member = Member(identity, ip, deployment.base_port + 5, zone)
        self.group.add(member)
        server = self.servers[identity] = MemberServer(self.group, member)
        await server.start()
        interval_s = deployment.heartbeat_interval_ms / 1_000
        nodes = deployment.control_addresses
        beats = self.heartbeats[identity] = Heartbeats(self.group, member, nodes, interval_s)
        if self.tells_start:
            beats.born_ms = int(time.time() * 1_000)
        if announces:
            beats.start()
        return member

    async def start(self) -> None:
        """Start members, platform and processes, and wait until all proxies are ready."""
        deployment = self.deployment
        self._api_server = await http_calls.serve(
            deployment.platform_ip, deployment.platform_port, self._api.answer
        )
        for number, identity in enumerate(("i-a", "i-b", "i-c")):
            await self.start_member(identity, number)
        deployment.start()
        if not await deployment.configure(self._configuration):
            raise NotRunError("no controller acknowledged the configuration")
        if not await deployment.wait_until_ready(READY_LIMIT_S):
            raise NotRunError("not all proxies became ready")
        self.record.write("ready")

    async def end_member(self, identity: str) -> None:
        """End a member: it stops listening, and its connections close."""
        self.group.members[identity].is_running = False
        await self.heartbeats[identity].stop()
        await self.servers[identity].stop()
        self.record.write("member-ends", id=identity)

    async def stop(self) -> None:
        """End everything that this run has started."""
        for identity in list(self.servers):
            await self.heartbeats[identity].stop()
            await self.servers[identity].stop()
        if self._api_server is not None:
            self._api_server.close()
        await self.deployment.stop()

    async def leader_ip(self, timeout_s: float = 10.0) -> str:
        """Return the address of the controller that the members' answers name."""
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        while loop.time() < end:
            for beats in self.heartbeats.values():
                if beats.url:
                    return beats.url.rpartition(":")[0]
            await asyncio.sleep(0.1)
        raise NotRunError("no answer to a heartbeat names a controller")


async def _run(
    folder: Path,
    record: Record,
    synchronous: int,
    routes: dict[str, str],
    case: Callable[[Scenario], Awaitable[bool]],
) -> int:
    scenario = Scenario(folder, record, synchronous, routes)
    try:
        async with asyncio.timeout(LONGEST_RUN_S):
            await scenario.start()
            return HELD if await case(scenario) else BROKEN
    except (NotRunError, TimeoutError) as error:
        record.write("not-run", reason=repr(error))
        print(f"not run: {error!r}")
        return NOT_RUN
    finally:
        await scenario.stop()


def main(
    record_file: Path,
    synchronous: int,
    routes: dict[str, str],
    case: Callable[[Scenario], Awaitable[bool]],
) -> None:
    """Run a case and exit with its status.

    :param record_file: receives what was sent, answered and run
    :param case: returns whether the rule held
    """
    record = Record(record_file)
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        status = asyncio.run(_run(Path(folder), record, synchronous, routes, case))
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for log in Path(folder).glob("*.log"):
                Path(keep).mkdir(exist_ok=True)
                (Path(keep) / log.name).write_bytes(log.read_bytes())
    record.write("ends", status=status)
    record.close()
    sys.exit(status)
