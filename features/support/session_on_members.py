"""Sans-IO client sessions that run on real members."""

from __future__ import annotations

import dataclasses

from features.support.back_end_lab import BackEndLab
from features.support.session_exchange import START, messages, new_context, render
from limedyke.core.sessions.client_exchange import (
    AbandonUnit,
    AnswerReceived,
    ClientMessages,
    Event,
    LoginSucceeded,
    RunUnit,
    SendToClient,
    UnitEnded,
)
from limedyke.core.sessions.session_context import SessionContext
from limedyke.core.sessions.session_opening import CancelKey, open_session
from limedyke.messages.work import AbandonWork, AnswerChunk, WorkUnit

PROXY = "p1"


class SessionOnMembers:
    """One client session; its statements run on the primary, so that clients share a connection.

    :param dropped: names of the fields to clear in each unit, which disables a safeguard
    """

    def __init__(
        self, lab: BackEndLab, context: SessionContext | None = None, dropped: tuple[str, ...] = ()
    ) -> None:
        self._lab = lab
        self._dropped = dropped
        self._answer = b""
        login = LoginSucceeded("one", "g", "app", {"limedyke.route": "primary"})
        opened = open_session(context or new_context(), login, CancelKey(1, 2), START)
        self.session = opened.ok_value.session

    def send(self, notation: str) -> str:
        """Send messages and return the answer in notation."""
        self._answer = b""
        self._lab.run(self._handle, ClientMessages(messages(notation), START))
        return render(self._answer)

    def leave(self) -> None:
        """Disconnect and abandon all open work."""
        self._lab.run(self._abandon_session)

    async def _abandon_session(self) -> None:
        for command in self.session.abandon():
            await self._abandon(command.work)

    async def _handle(self, event: Event) -> None:
        for command in self.session.handle(event):
            match command:
                case SendToClient(data):
                    self._answer += data
                case RunUnit(unit):
                    end = await self._lab.proxies[PROXY].run(
                        self._without_dropped_fields(unit), self._relay
                    )
                    await self._handle(UnitEnded(end, START))
                case AbandonUnit(work):
                    await self._abandon(work)

    async def _abandon(self, work: AbandonWork) -> None:
        await self._lab.proxies[PROXY].abandon(work)

    async def _relay(self, chunk: AnswerChunk) -> None:
        await self._handle(AnswerReceived(chunk))

    def _without_dropped_fields(self, unit: WorkUnit) -> WorkUnit:
        empty = {"settings": (), "leaves_state": False}
        return dataclasses.replace(unit, **{name: empty[name] for name in self._dropped})
