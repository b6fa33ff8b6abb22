"""Looks for another leader while the linked one does not answer, without leaving it."""

from __future__ import annotations

import curio

from limedyke.event_log import EventLog
from limedyke.proxy.control.leader_search import FoundLeader, LeaderSearch
from limedyke.proxy.control.leader_silence import LeaderSilence
from limedyke.transport.link import LinkClosedError

MIN_INTERVAL_S = 1.0
"""Shortest time between two searches, so that a leader that is slow under load does not have all
proxies ask the other controllers continuously."""
EVENTS = EventLog("control_client")


class SuccessorSearch:
    """Searches for another leader while requests that can't wait are unanswered.

    A leader that is paused keeps its links. Its successor is known to the other controllers long
    before the link counts as silent.

    :param search: searches among the controllers
    :param silence: says when the linked leader leaves requests unanswered
    """

    def __init__(self, search: LeaderSearch, silence: LeaderSilence) -> None:
        self._search = search
        self._silence = silence
        self._found: FoundLeader | None = None

    def take_found(self) -> FoundLeader | None:
        """Return the leader that was found, once; None when none was."""
        found, self._found = self._found, None
        return found

    async def watch(self, address: str) -> None:
        """Search whenever a request is unanswered, until a successor is found.

        :param address: of the linked leader, which is not asked
        :raises LinkClosedError: when another controller leads
        """
        while True:
            await self._silence.wait_begun()
            EVENTS.info("leader-not-answering", controller=address)
            self._found = await self._find_unless_answered(address)
            if self._found is not None:
                raise LinkClosedError(f"{self._found.address} leads")
            await curio.sleep(MIN_INTERVAL_S)

    async def _find_unless_answered(self, address: str) -> FoundLeader | None:
        """Search until another leader is found or the linked one answers."""
        async with curio.TaskGroup(wait=any) as tasks:
            search = await tasks.spawn(self._search.find, address)
            await tasks.spawn(self._silence.wait_ended)
        return None if search.cancelled else search.result
