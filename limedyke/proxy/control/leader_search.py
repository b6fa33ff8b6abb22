"""Finds the leading controller: dials the controllers in turn, the next one if one is slow."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

import curio
from result import Err

from limedyke.event_log import EventLog
from limedyke.messages.control import NotLeader, ProxyHello, ProxyRefused
from limedyke.messages.handshake import PeerRole
from limedyke.proxy.control.controller_selector import ControllerSelector
from limedyke.transport.link import Link, LinkClosedError, LinkIdentity, dial

DIAL_TIMEOUT_S = 0.4
"""Short, because a machine that is off does not answer and other controllers can be dialled."""
SLOW_CONTROLLER_S = 0.15
"""After this time without an answer, the next controller is dialled as well.

It allows for two round trips to another region and some processing.  A slower controller knows no
leader yet, is off or hangs.
"""
CONCURRENT_ATTEMPTS = 2
EVENTS = EventLog("control_client")


@dataclass(frozen=True, slots=True)
class FoundLeader:
    """An open link to a controller that answered as the leader.

    :param first: the first message that it sent
    """

    link: Link
    address: str
    first: object


class LeaderSearch:
    """Searches for the leader whenever the proxy has none.

    :param identity: authenticates this proxy on its links
    :param source_ip: local address to connect from, or empty
    :param controllers: selects the controller to dial next
    :param hello: builds the first message on a link
    :param answer_limit_s: how long a controller may take to answer the hello
    """

    def __init__(
        self,
        identity: LinkIdentity,
        source_ip: str,
        controllers: ControllerSelector,
        hello: Callable[[], ProxyHello],
        answer_limit_s: float,
    ) -> None:
        self._identity = identity
        self._source_ip = source_ip
        self._controllers = controllers
        self._hello = hello
        self._answer_limit_s = answer_limit_s
        self._dialling: set[str] = set()
        self._links: set[Link] = set()

    async def find(self, avoid: str = "") -> FoundLeader:
        """Return the first controller that answers as the leader.

        :param avoid: address of a controller that is not asked
        """
        found = None
        try:
            async with curio.TaskGroup() as attempts:
                while found is None:
                    await self._begin_attempt(attempts, avoid)
                    found = await self._wait_for_attempt(attempts)
                await attempts.cancel_remaining()
        finally:
            for link in self._links - {found.link if found is not None else None}:
                await link.close()
            self._links.clear()
            self._dialling.clear()
        return found

    async def _begin_attempt(self, attempts: curio.TaskGroup, avoid: str) -> None:
        if len(self._dialling) >= CONCURRENT_ATTEMPTS:
            return
        address = self._controllers.next_address()
        if address == avoid:
            await curio.sleep(self._controllers.pause_s())
        elif address not in self._dialling:
            self._dialling.add(address)
            await attempts.spawn(self._attempt, address)

    async def _wait_for_attempt(self, attempts: curio.TaskGroup) -> FoundLeader | None:
        """Wait up to ``SLOW_CONTROLLER_S`` for an attempt to end; return the leader if found."""
        ended = None
        async with curio.ignore_after(SLOW_CONTROLLER_S):
            ended = await attempts.next_done()
        return ended.result if ended is not None else None

    async def _attempt(self, address: str) -> FoundLeader | None:
        """Dial one controller; if it does not lead, return None after a pause."""
        try:
            found = await self._ask(address)
        except LinkClosedError as error:
            EVENTS.info("control-link-closed", controller=address, reason=error)
            found = None
        if found is None:
            await curio.sleep(self._controllers.pause_s())
            self._dialling.discard(address)
        return found

    async def _ask(self, address: str) -> FoundLeader | None:
        dialled = await dial(address, self._identity, self._key, self._source_ip, DIAL_TIMEOUT_S)
        if isinstance(dialled, Err):
            EVENTS.debug("control-dial-failed", controller=address, reason=dialled.err_value)
            return None
        link = dialled.ok_value
        self._links.add(link)
        first = await self._greet(link)
        if not isinstance(first, NotLeader | ProxyRefused):
            return FoundLeader(link, address, first)
        await link.close()
        if isinstance(first, NotLeader):
            self._controllers.redirect(first.leader)
        else:
            EVENTS.warning("control-refused", controller=address, reason=first.detail)
            await curio.sleep(random.uniform(0.5, 1.0) * first.retry_after_ms / 1_000)
        return None

    async def _greet(self, link: Link) -> object:
        """Send the hello; return the first answer.

        :raises LinkClosedError: when the controller does not answer in time
        """
        await link.send(self._hello())
        async with curio.ignore_after(self._answer_limit_s) as timeout:
            first = await link.receive()
        if timeout.expired:
            raise LinkClosedError("the controller does not answer")
        return first

    def _key(self, role: PeerRole, name: str) -> bytes | None:
        return self._identity.key if role is PeerRole.CONTROLLER else None
