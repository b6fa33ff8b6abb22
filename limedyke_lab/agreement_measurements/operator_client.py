"""An operator client that plans and confirms over the internal protocol, like the command."""

from __future__ import annotations

import itertools
import time
import uuid
from dataclasses import dataclass

import curio
from result import Err

from limedyke.messages.declaration import Declaration
from limedyke.messages.handshake import PeerRole
from limedyke.messages.operator import (
    Confirmed,
    ConfirmRequest,
    Plan,
    PlanRequest,
    Refused,
    Status,
    StatusRequest,
)
from limedyke.transport.link import Link, LinkClosedError, LinkIdentity, dial

REQUEST_TIMEOUT_S = 10.0
RETRY_PAUSE_S = 0.1
MAXIMUM_ATTEMPTS = 150


class OperatorError(Exception):
    """A request was refused, or no controller answered it."""


@dataclass(frozen=True, slots=True)
class TimedAnswer:
    """An answer with the times of request and answer, in monotonic seconds."""

    answer: object
    sent_at: float
    answered_at: float
    answer_bytes: int


class MeasuringOperator:
    """Sends requests to the leading controller, and retries until one answers."""

    def __init__(self, controllers: tuple[str, ...], name: str, key: bytes) -> None:
        self._controllers = itertools.cycle(controllers)
        self._identity = LinkIdentity(PeerRole.OPERATOR, name, key)
        self._link: Link | None = None
        self._redirect = ""

    async def plan(self, declaration: Declaration) -> Plan:
        """Record a plan for a declaration."""
        return (await self._ask(PlanRequest(_request_id(), declaration), Plan)).answer

    async def confirm(self, plan: Plan) -> TimedAnswer:
        """Confirm a plan."""
        return await self._ask(ConfirmRequest(_request_id(), plan.plan_id), Confirmed)

    async def status(self) -> TimedAnswer:
        """Return the state of the whole system."""
        return await self._ask(StatusRequest(_request_id()), Status)

    async def close(self) -> None:
        """Close the link."""
        if self._link is not None:
            await self._link.close()
            self._link = None

    async def _ask(self, request: object, expected: type) -> TimedAnswer:
        for _ in range(MAXIMUM_ATTEMPTS):
            answered = await self._try_request(request)
            if answered is not None and isinstance(answered.answer, expected):
                return answered
            if answered is not None and not self._should_retry(answered.answer):
                raise OperatorError(f"{type(request).__name__}: {answered.answer}")
            await self.close()
            await curio.sleep(RETRY_PAUSE_S)
        raise OperatorError(f"{type(request).__name__}: no controller answered")

    def _should_retry(self, answer: object) -> bool:
        """Store the leader that a refusal names; tell whether to send the request again."""
        if not isinstance(answer, Refused):
            return False
        self._redirect = answer.leader
        return bool(answer.leader) or bool(answer.retry_after_ms) or "leader" in answer.detail

    async def _try_request(self, request: object) -> TimedAnswer | None:
        try:
            async with curio.timeout_after(REQUEST_TIMEOUT_S):
                link = await self._get_link()
                if link is None:
                    return None
                before = link.counters.bytes_in
                sent_at = time.monotonic()
                await link.send(request)
                answer = await link.receive()
                size = link.counters.bytes_in - before
                return TimedAnswer(answer, sent_at, time.monotonic(), size)
        except (LinkClosedError, curio.TaskTimeout):
            return None

    async def _get_link(self) -> Link | None:
        if self._link is None:
            address, self._redirect = self._redirect or next(self._controllers), ""
            key = self._identity.key
            dialled = await dial(address, self._identity, lambda role, name: key)
            self._link = None if isinstance(dialled, Err) else dialled.ok_value
        return self._link


def _request_id() -> str:
    return uuid.uuid4().hex
