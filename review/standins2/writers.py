"""Clients that write to a service with ``syncReplicas`` 1, and the check of what it keeps."""

from __future__ import annotations

import asyncio
import itertools

from review.standins2.clients import ClientSession
from review.standins2.group import Member
from review.standins2.scenario import Scenario

DATABASE = "lepu270"
WRITERS = 6
WRITE_PAUSE_S = 0.05
STATEMENT_TIMEOUT_S = 3.0
NOTHING_RECEIVED_S = 6.5
"""How long a replica receives nothing; the deployments name 6 to 6.8 s, ``count = 1`` each."""
PROMOTION_LIMIT_S = 25.0


class Writers:
    """Clients that write all the time; each writes its own thing.

    :ivar acknowledged: request ids of the writes that were answered with success
    """

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._numbers = itertools.count(1)
        self._tasks: list[asyncio.Task] = []
        self.acknowledged: dict[str, float] = {}

    def start(self) -> None:
        """Begin to write."""
        self._tasks = [asyncio.create_task(self._write(number)) for number in range(WRITERS)]

    async def stop(self) -> None:
        """Write no more."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _write(self, number: int) -> None:
        scenario = self._scenario
        proxies = scenario.deployment.proxies
        while True:
            session = ClientSession(scenario.record, f"c{number}")
            address = scenario.deployment.front_address(proxies[number % len(proxies)])
            if await session.open(address, DATABASE):
                await asyncio.sleep(0.3)
                continue
            while await self._write_once(session, number):
                await asyncio.sleep(WRITE_PAUSE_S)
            session.close()

    async def _write_once(self, session: ClientSession, number: int) -> bool:
        request_id = f"w{number}-{next(self._numbers)}"
        text = f"WRITE thing{number} {request_id}"
        answer = await session.ask(text, STATEMENT_TIMEOUT_S, request_id)
        if answer is not None and not answer.error:
            self.acknowledged[request_id] = self._scenario.record.now()
        return answer is not None


def deafen(scenario: Scenario, members: list[Member]) -> None:
    """Let replicas receive nothing for a while."""
    for member in members:
        member.receives = False
        scenario.record.write("receives-nothing", id=member.identity)
    asyncio.get_running_loop().call_later(NOTHING_RECEIVED_S, receive_again, scenario, members)


def receive_again(scenario: Scenario, members: list[Member]) -> None:
    """Let replicas receive again."""
    for member in members:
        member.receives = True
        scenario.record.write("receives-again", id=member.identity)
    scenario.group.replicate()


async def crash(scenario: Scenario, primary: Member) -> None:
    """Crash a member for good."""
    scenario.group.crash(primary)
    await scenario.heartbeats[primary.identity].stop()
    await scenario.servers[primary.identity].stop()


async def missing_after_promotion(scenario: Scenario, writers: Writers, term: int) -> list[str]:
    """Return the writes acknowledged before the promotion that the promoted member lacks."""
    group = scenario.group
    loop = asyncio.get_running_loop()
    end = loop.time() + PROMOTION_LIMIT_S
    before = dict(writers.acknowledged)
    while group.term == term:
        if loop.time() > end:
            scenario.record.write("no-promotion")
            return []
        before = dict(writers.acknowledged)
        await asyncio.sleep(0.01)
    held = {commit.request_id for commit in group.members[group.primary].log}
    return sorted((name for name in before if name not in held), key=before.get)


async def missing_now(scenario: Scenario, writers: Writers) -> list[str]:
    """Return the acknowledged writes that the primary lacks."""
    held = {commit.request_id for commit in scenario.group.members[scenario.group.primary].log}
    return sorted(name for name in writers.acknowledged if name not in held)
