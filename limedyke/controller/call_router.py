"""Accepts external calls at any controller and forwards them to the leader."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from itertools import count

import curio
from result import Err

from limedyke.controller.leading.leader_calls import LeaderCalls, failure_answer
from limedyke.event_log import EventLog
from limedyke.in_flight import InFlightCounter
from limedyke.link_tasks import serve_until_closed
from limedyke.messages.calls import Call, CallAnswer, ForwardedAnswer, ForwardedCall
from limedyke.result_codes import Failure, ResultCode
from limedyke.transport.link import KeyLookup, Link, LinkClosedError, LinkIdentity, dial

DIAL_TIMEOUT_S = 0.6
CALL_TIMEOUT_S = 1.0
LEADER_LOST_CODES = frozenset(
    code.value.number for code in (ResultCode.NOT_LEADER, ResultCode.CONTROL_OUTCOME_UNKNOWN)
)
EVENTS = EventLog("calls")


class _LeaderLink:
    """An open link to the leader, with the calls that wait for their answers."""

    def __init__(self, link: Link, address: str) -> None:
        self.link = link
        self.address = address
        self.is_open = True
        self._receiver: curio.Task | None = None
        self._numbers = count(1)
        self._waiting: dict[int, curio.Queue] = {}

    async def ask(self, call: Call) -> CallAnswer:
        number = next(self._numbers)
        answers = self._waiting[number] = curio.Queue()
        try:
            await self.link.send(ForwardedCall(number, call))
            return await answers.get()
        except LinkClosedError as error:
            return _unknown_outcome(str(error))
        finally:
            self._waiting.pop(number, None)

    async def start(self) -> None:
        """Start receiving answers."""
        self._receiver = await curio.spawn(self._receive_all, daemon=True)

    async def stop(self) -> None:
        """Close the link; the receiving task is cancelled first, as it reads from the link."""
        if self._receiver is not None:
            await self._receiver.cancel()
        await self.link.close()

    async def _receive_all(self) -> None:
        """Deliver answers until the link closes; then fail the calls that still wait."""
        reason = await serve_until_closed(self._receive)
        self.is_open = False
        for answers in list(self._waiting.values()):
            await answers.put(_unknown_outcome(reason))
        await self.link.close()

    async def _receive(self) -> None:
        while True:
            message = await self.link.receive()
            if not isinstance(message, ForwardedAnswer):
                raise LinkClosedError(f"unexpected {type(message).__name__}")
            answers = self._waiting.get(message.number)
            if answers is not None:
                await answers.put(message.answer)


def _unknown_outcome(reason: str) -> CallAnswer:
    return failure_answer(Failure(ResultCode.CONTROL_OUTCOME_UNKNOWN, reason))


class CallRouter:
    """Answers calls: locally on the leader, otherwise over a link to the leader.

    :param calls: gives what executes calls on the leader; None before the cluster is founded
    :param leader_address: internal address of the known leader, or an empty string
    :param leader_lost: called when the controller there cannot be reached or no longer leads
    """

    def __init__(
        self,
        calls: Callable[[], LeaderCalls | None],
        leader_address: Callable[[], str],
        identity: LinkIdentity,
        keys: KeyLookup,
        source_ip: str,
        leader_lost: Callable[[], Awaitable[None]],
    ) -> None:
        self._leader_lost = leader_lost
        self._calls = calls
        self._leader_address = leader_address
        self._identity = identity
        self._keys = keys
        self._source_ip = source_ip
        self._link: _LeaderLink | None = None
        self._dial_lock = curio.Lock()
        self._answer_deadline = float("inf")
        self._forwarded = InFlightCounter()

    def set_answer_deadline(self, deadline: float) -> None:
        """Answer each call by this time of the monotonic clock; the process ends soon after."""
        self._answer_deadline = deadline

    async def drain(self) -> None:
        """Return once all calls that other controllers forwarded are answered."""
        await self._forwarded.ended()

    async def ask(self, call: Call, timeout_s: float) -> CallAnswer:
        """Return the answer to a call within ``timeout_s``."""
        limit_s = min(timeout_s, self._answer_deadline - time.monotonic())
        async with curio.ignore_after(max(0.0, limit_s)):
            return await self._ask(call)
        return _unknown_outcome("no answer in time")

    async def ask_leader(self, address: str, call: Call) -> CallAnswer:
        """Ask the controller at an address over the persistent link to the leader."""
        async with curio.ignore_after(CALL_TIMEOUT_S):
            link = await self._leader_link(address)
            if link is None:
                return _unknown_outcome("not reached")
            return await link.ask(call)
        return _unknown_outcome("no answer in time")

    async def ask_at(self, address: str, call: Call) -> CallAnswer:
        """Ask any controller over a link that is opened for this call."""
        async with curio.ignore_after(CALL_TIMEOUT_S):
            return await self._ask_at(address, call)
        return _unknown_outcome("no answer in time")

    async def _ask_at(self, address: str, call: Call) -> CallAnswer:
        dialled = await dial(address, self._identity, self._keys, self._source_ip, DIAL_TIMEOUT_S)
        if isinstance(dialled, Err):
            return _unknown_outcome(str(dialled.err_value))
        link = dialled.ok_value
        try:
            await link.send(ForwardedCall(0, call))
            answered = await link.receive()
        except LinkClosedError as error:
            return _unknown_outcome(str(error))
        finally:
            await link.close()
        if not isinstance(answered, ForwardedAnswer):
            return _unknown_outcome(f"unexpected {type(answered).__name__}")
        return answered.answer

    async def serve(self, link: Link) -> None:
        """Answer the calls that another controller forwards."""
        while True:
            message = await link.receive()
            if not isinstance(message, ForwardedCall):
                raise LinkClosedError(f"unexpected {type(message).__name__}")
            await curio.spawn(self._answer_forwarded, link, message, daemon=True)

    async def _answer_forwarded(self, link: Link, message: ForwardedCall) -> None:
        calls = self._calls()
        answer = failure_answer(Failure(ResultCode.NOT_LEADER))
        with self._forwarded:
            if calls is not None:
                answer = await calls.answer_forwarded(message.call)
            await serve_until_closed(link.send, ForwardedAnswer(message.number, answer))

    async def _ask(self, call: Call) -> CallAnswer:
        calls = self._calls()
        if calls is None:
            return failure_answer(Failure(ResultCode.NOT_LEADER, "No cluster is known yet."))
        answer = await calls.answer(call)
        if answer.code != ResultCode.NOT_LEADER.value.number:
            return answer
        address = self._leader_address()
        if not address:
            return answer
        link = await self._leader_link(address)
        forwarded = answer if link is None else await link.ask(call)
        if forwarded.code in LEADER_LOST_CODES:
            await self._leader_lost()
        return forwarded

    async def _leader_link(self, address: str) -> _LeaderLink | None:
        """Return the open link to the leader, dialling if there is none; None if that fails."""
        async with self._dial_lock:
            known = self._link
            if known is not None and known.is_open and known.address == address:
                return known
            if known is not None:
                await known.stop()
            self._link = None
            dialled = await dial(
                address, self._identity, self._keys, self._source_ip, DIAL_TIMEOUT_S
            )
            if isinstance(dialled, Err):
                EVENTS.info("leader-not-reached", address=address, reason=dialled.err_value)
                return None
            self._link = _LeaderLink(dialled.ok_value, address)
            await self._link.start()
            return self._link
