"""The platform's call that promotes a member, with its fencing check."""

from __future__ import annotations

import asyncio
import json

from review.standins2.group import Group
from review.standins2.http_calls import HttpMessage, HttpReply
from review.standins2.record import Record


class PromotionApi:
    """Answers ``POST /promote`` for the groups given.

    :param promote_s: time from the call until its member leads
    """

    def __init__(self, groups: dict[str, Group], record: Record, promote_s: float = 0.3) -> None:
        self._groups = groups
        self._record = record
        self._promote_s = promote_s
        self._highest: dict[str, int] = {}
        self._tasks: set[asyncio.Task] = set()

    async def answer(self, message: HttpMessage) -> HttpReply:
        """Handle one call."""
        body = json.loads(message.body)
        holder = message.headers.get("limedyke-duty-holder", "")
        fence = int(message.headers.get("limedyke-fencing-token", "-1"))
        status = self._decide(body["service"], body["id"], fence)
        self._record.write("promote-call", id=body["id"], holder=holder, fence=fence, status=status)
        return HttpReply(status)

    def _decide(self, service: str, identity: str, fence: int) -> int:
        group = self._groups.get(service)
        member = group.members.get(identity) if group is not None else None
        if fence < self._highest.get(service, 0):
            return 409
        self._highest[service] = fence
        if member is None or not member.is_running or member.is_dark:
            return 409
        if group.primary != identity:
            task = asyncio.create_task(self._promote_later(group, identity))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return 200

    async def _promote_later(self, group: Group, identity: str) -> None:
        await asyncio.sleep(self._promote_s)
        if group.members[identity].is_running:
            group.promote(identity)
