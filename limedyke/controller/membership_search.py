"""Finds the leader from a controller that it does not contact, and waits there to be added.

Every waiting controller keeps a single link, to the leader. The leader tells it how often to
announce itself.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import curio

from limedyke.controller.replica import Replica
from limedyke.event_log import EventLog
from limedyke.messages.calls import AwaitMembershipCall, Call, CallAnswer

LEADER_QUERY_FANOUT = 2
"""Number of controllers asked for the leader at a time; more than one, as one may hang."""
INITIAL_RETRY_DELAY_S = 0.1
MAXIMUM_RETRY_DELAY_S = 0.5
"""Delay between two searches. It starts short because the others may just be starting, and grows
because a later election takes about a second."""
MEMBER_CHECK_S = 0.1
EVENTS = EventLog("membership")

AskAt = Callable[[str, Call], Awaitable[CallAnswer]]


class MembershipSearch:
    """Runs beside the replica for the life of the process; idle while the leader contacts it.

    :param replica: this controller's replica
    :param ask_leader: asks the controller at an address over the persistent link to the leader
    :param ask: asks any controller over a link opened for the call
    :param advertise: where the other controllers reach this one (``ip:port``)
    """

    def __init__(self, replica: Replica, ask_leader: AskAt, ask: AskAt, advertise: str) -> None:
        self._replica = replica
        self._ask_leader = ask_leader
        self._ask = ask
        self._advertise = advertise
        self._lost = curio.Event()
        self._is_seeking = False
        self._retry_delay_s = INITIAL_RETRY_DELAY_S

    async def leader_lost(self) -> None:
        """Search again at once: the leader did not answer, or no longer leads."""
        await self._lost.set()

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            self._lost.clear()
            self._report_change()
            if self._is_seeking:
                delay_s = await self._step()
            else:
                self._replica.keep_links()
                self._replica.forget_leader()
                delay_s = MEMBER_CHECK_S
            await curio.ignore_after(delay_s, self._lost.wait)
            if self._lost.is_set():
                self._replica.forget_leader()
                await curio.sleep(INITIAL_RETRY_DELAY_S)

    def _report_change(self) -> None:
        """Log when the search begins and ends."""
        is_seeking = self._replica.seeks_leader
        if is_seeking != self._is_seeking:
            self._is_seeking = is_seeking
            event = "leader-sought" if is_seeking else "leader-found"
            EVENTS.info(event, is_member=self._replica.is_member, role=self._replica.agreement.role)

    def _make_call(self) -> AwaitMembershipCall:
        replica = self._replica
        return AwaitMembershipCall(replica.agreement.identity, self._advertise, replica.is_member)

    async def _step(self) -> float:
        """Announce this controller to the leader, or look for the leader; return the next delay."""
        leader = self._replica.leader_address("")
        if not leader:
            return await self._look_for_leader()
        answer = await self._ask_leader(leader, self._make_call())
        if answer.code:
            self._replica.forget_leader()
            return self._next_retry_delay_s()
        self._replica.learn_members(answer)
        if answer.leader != leader:
            return self._next_retry_delay_s()
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        return answer.retry_after_ms / 1_000

    async def _look_for_leader(self) -> float:
        known = list(self._replica.known_addresses.values())
        chosen = random.sample(known, min(LEADER_QUERY_FANOUT, len(known)))
        async with curio.TaskGroup() as tasks:
            for address in chosen:
                await tasks.spawn(self._query_controller, address)
            async for _ in tasks:
                if self._replica.leader_address(""):
                    await tasks.cancel_remaining()
        if self._replica.leader_address(""):
            return 0.0
        return self._next_retry_delay_s()

    async def _query_controller(self, address: str) -> None:
        answer = await self._ask(address, self._make_call())
        if not answer.code:
            self._replica.learn_members(answer)

    def _next_retry_delay_s(self) -> float:
        """Return a jittered delay that grows with each call."""
        delay_s = self._retry_delay_s
        self._retry_delay_s = min(2 * self._retry_delay_s, MAXIMUM_RETRY_DELAY_S)
        return delay_s * random.uniform(0.5, 1.5)
