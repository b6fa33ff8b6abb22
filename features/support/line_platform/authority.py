"""A fake of the platform's calls that promote members."""

from __future__ import annotations

import itertools
import json
from collections.abc import Awaitable, Callable

import curio

from features.support.line_platform.group import StandInGroup, StandInMember
from limedyke.transport.http_server import HttpAnswer, HttpRequest

PROMOTE_S = 0.2
LATE_CALL_S = 2.0
UNANSWERED_S = 4.0
"""Longer than a controller waits for the answer to a call."""
STATUS_OK, STATUS_CONFLICT, STATUS_UNAVAILABLE = 200, 409, 503


class StandInAuthority:
    """Promotes members when it is called, also late.

    Fencing numbers rise with each call, so the order in which calls arrive stands for them: one
    that is carried out after a newer one has been accepted is refused.

    :param announce: called with a member that has begun to lead
    :ivar is_down: calls are answered as unavailable
    :ivar late_calls: number of calls still to be carried out late, without an answer
    :ivar promote_s: time from an accepted call until its member leads
    :ivar promotions: accepted calls: the member, and how many were accepted before
    :ivar late_outcomes: members of late calls, and the status of each
    """

    def __init__(
        self, group: StandInGroup, announce: Callable[[StandInMember], Awaitable[None]]
    ) -> None:
        self.is_down = False
        self.late_calls = 0
        self.promote_s = PROMOTE_S
        self.promotions: list[tuple[str, int]] = []
        self.late_outcomes: list[tuple[str, int]] = []
        self._group = group
        self._announce = announce
        self._numbers = itertools.count(1)
        self._newest_accepted = 0

    async def answer(self, request: HttpRequest) -> HttpAnswer:
        """Handle one call."""
        if self.is_down:
            return HttpAnswer(STATUS_UNAVAILABLE)
        identity = json.loads(request.body)["id"]
        number = next(self._numbers)
        if not self.late_calls:
            return HttpAnswer(await self._carry_out(identity, number))
        self.late_calls -= 1
        await curio.spawn(self._carry_out_late, identity, number, daemon=True)
        await curio.sleep(UNANSWERED_S)
        return HttpAnswer(STATUS_UNAVAILABLE)

    async def _carry_out_late(self, identity: str, number: int) -> None:
        await curio.sleep(LATE_CALL_S)
        self.late_outcomes.append((identity, await self._carry_out(identity, number)))

    async def _carry_out(self, identity: str, number: int) -> int:
        """Accept a call unless a newer one was accepted or its member does not run.

        Nothing changes if the member is the present primary.
        """
        member = self._group.members[identity]
        if number < self._newest_accepted or member.task.terminated:
            return STATUS_CONFLICT
        self._newest_accepted = number
        self.promotions.append((identity, len(self.promotions)))
        if not member.is_primary:
            await curio.spawn(self._promote_later, identity, daemon=True)
        return STATUS_OK

    async def _promote_later(self, identity: str) -> None:
        await curio.sleep(self.promote_s)
        if not self._group.members[identity].task.terminated:
            self._group.promote(identity)
            await self._announce(self._group.members[identity])
