"""Requests to the agreement that wait for their answer."""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio
from result import Err, Result

from limedyke.result_codes import Failure, ResultCode

Answer = Result[object, Failure]


@dataclass(slots=True)
class _Pending:
    """A request that waits for the agreement's answer."""

    done: curio.Event = field(default_factory=curio.Event)
    answer: Answer | None = None


class PendingRequests:
    """Numbers requests and wakes the callers that wait for them."""

    def __init__(self) -> None:
        self._pending: dict[str, _Pending] = {}
        self._numbers = itertools.count(1)
        self._ended = False

    async def ask(self, begin: Callable[[str], Awaitable[None]]) -> Answer:
        """Start a request and wait for its answer.

        :param begin: starts the request under the number passed to it
        """
        if self._ended:
            return Err(Failure(ResultCode.NOT_LEADER, "This controller is reopening its log."))
        number = str(next(self._numbers))
        pending = self._pending[number] = _Pending()
        try:
            await begin(number)
            await pending.done.wait()
        finally:
            self._pending.pop(number, None)
        return pending.answer

    async def finish(self, number: str, answer: Answer) -> None:
        """Set the answer of a request; ignored if no caller waits for it any more."""
        pending = self._pending.get(number)
        if pending is not None:
            pending.answer = answer
            await pending.done.set()

    async def end(self) -> None:
        """Fail all pending requests as unknown, and refuse new ones.

        Their entries may be in other controllers' logs, where a later leader may commit them.
        """
        self._ended = True
        failure = Failure(ResultCode.CONTROL_OUTCOME_UNKNOWN, "The disk refused a write.")
        for number in list(self._pending):
            await self.finish(number, Err(failure))
