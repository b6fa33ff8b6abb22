"""A stand-in for the platform, which promotes members."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable

from standins import http
from standins.members import Member, Service
from standins.record import Record
from standins.tasks import spawn

PROMOTE_S = 0.6
"""Figure of ``sites/chlad-pool.toml``, as the page SYSTEM gives it."""


class Platform:
    """Carries out ``POST /promote``.

    :ivar on_promoted: called with the service and the member just before the member leads
    """

    def __init__(self, services: list[Service], record: Record) -> None:
        self._services = {service.name: service for service in services}
        self._record = record
        self._fences: dict[str, int] = {}
        self.on_promoted: Callable[[Service, Member], None] = lambda service, member: None

    async def start(self, address: str) -> None:
        """Serve the calls."""
        self._server = await http.serve(address, self._answer)

    async def _answer(self, request: http.Request) -> tuple[int, dict]:
        body = json.loads(request.body)
        fence = int(request.headers["limedyke-fencing-token"])
        holder = request.headers["limedyke-duty-holder"]
        status = self._promote(body["service"], body["id"], fence)
        self._record.say(
            f"platform: promote {body['id']} of {body['service']}, holder {holder},"
            f" fence {fence}: {status}"
        )
        return status, {}

    def _promote(self, name: str, identity: str, fence: int) -> int:
        service = self._services.get(name)
        if service is None or fence < self._fences.get(name, 0):
            return 409
        self._fences[name] = fence
        member = service.members.get(identity)
        if member is None or not member.is_running:
            return 409
        if not member.is_primary:
            spawn(self._promote_later(service, member))
        return 200

    async def _promote_later(self, service: Service, member: Member) -> None:
        await asyncio.sleep(PROMOTE_S * random.uniform(0.5, 1.0))
        if not member.is_running:
            return
        self._record.say(f"member {member.identity} of {service.name} leads")
        self.on_promoted(service, member)
        service.promote(member)
