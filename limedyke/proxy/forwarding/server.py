"""The receiving side of forwarding: a home proxy runs the units that arrive over a link."""

from __future__ import annotations

import dataclasses
import itertools
import time
from collections.abc import Awaitable, Callable
from typing import Protocol

import curio

from limedyke.core.message_delay import MessageDelay
from limedyke.event_log import EventLog
from limedyke.messages.work import (
    AbandonWork,
    AnswerChunk,
    AnswerCredit,
    LinkProbe,
    WorkUnit,
)
from limedyke.proxy.executor import Relay, refusal
from limedyke.proxy.forwarding.link import (
    MS_PER_S,
    SILENCE_LIMIT_S,
    ForwardedEnd,
    ForwardedUnit,
)
from limedyke.proxy.forwarding.outbox import Outbox
from limedyke.proxy.forwarding.work_key import WorkKey
from limedyke.result_codes import ResultCode
from limedyke.transport.link import Link, LinkClosedError

STREAM_WINDOW_BYTES = 256 * 1024
SERVED_SILENCE_LIMIT_S = 3.0
"""Silence, in seconds, after which a busy link is closed. It is longer than the sender's own limit,
so that the sender has abandoned the link by then."""
CHECK_INTERVAL_S = 0.1

_log = EventLog("forwarding")


class HomeExecutor(Protocol):
    """Runs the units that other proxies forward; ``origin`` identifies the link."""

    def has_transaction(self, key: WorkKey) -> bool:
        """Tell whether a transaction is open here."""

    def has_transactions_of(self, origin: str) -> bool:
        """Tell whether a transaction that came over a link is open here."""

    async def run(self, unit: ForwardedUnit, relay: Relay, origin: str) -> ForwardedEnd:
        """Run a unit and return the end of its answer; expected failures are not raised."""

    async def abandon(self, work: AbandonWork, origin: str) -> None:
        """Cancel a unit or roll a transaction back."""

    async def abandon_origin(self, origin: str) -> None:
        """Roll back the open transactions of a closed link."""


class _Stream:
    """The answer of one unit, sent under flow control."""

    def __init__(self, number: int, outbox: Outbox) -> None:
        self._number = number
        self._outbox = outbox
        self._unconfirmed = 0
        self._credited = curio.Event()
        self._discarded = False

    async def relay(self, chunk: AnswerChunk) -> None:
        """Send a part of the answer, after waiting for room in the stream's window."""
        size = len(chunk.data)
        while self._unconfirmed and self._unconfirmed + size > STREAM_WINDOW_BYTES:
            if self._discarded:
                return
            self._credited.clear()
            await self._credited.wait()
        if self._discarded:
            return
        self._unconfirmed += size
        await self._outbox.put(AnswerChunk(self._number, chunk.data))

    async def credit(self, size: int) -> None:
        """Add credit: the receiver has passed on ``size`` bytes."""
        self._unconfirmed = max(0, self._unconfirmed - size)
        await self._credited.set()

    async def discard(self) -> None:
        """Send no more of the answer."""
        self._discarded = True
        await self._credited.set()


class ForwardingServer:
    """Serves the links of other proxies.

    :param executor: runs the units
    :param unit_kind: class of the units it runs
    :param refuse: creates the end message of a unit that is refused with a code
    """

    def __init__(
        self,
        executor: HomeExecutor,
        unit_kind: type = WorkUnit,
        refuse: Callable[[ForwardedUnit, ResultCode], ForwardedEnd] = refusal,
    ) -> None:
        self._executor = executor
        self.unit_kind = unit_kind
        self.refuse = refuse
        self._serial = itertools.count(1)
        self.draining = False

    async def serve(self, link: Link) -> None:
        """Run the units that arrive over ``link`` until it closes; then roll back transactions."""
        served = _ServedLink(self, self._executor, link, f"{link.peer_name}#{next(self._serial)}")
        await served.run()


class _ServedLink:
    """One link of another proxy."""

    def __init__(
        self, server: ForwardingServer, executor: HomeExecutor, link: Link, origin: str
    ) -> None:
        self._server = server
        self._executor = executor
        self._link = link
        self._origin = origin
        self._outbox = Outbox(link)
        self._streams: dict[int, _Stream] = {}
        self._tasks: set[curio.Task] = set()
        self._last_heard_at = time.monotonic()
        self._work_began = curio.Event()
        self._delay = MessageDelay()

    async def run(self) -> None:
        """Serve until the link closes or falls silent."""
        try:
            async with curio.TaskGroup(wait=any) as tasks:
                await tasks.spawn(self._receive)
                await tasks.spawn(self._watch_silence)
                await tasks.spawn(self._outbox.run)
        finally:
            self._outbox.closed = True
            for task in list(self._tasks):
                await task.cancel()
            await self._executor.abandon_origin(self._origin)

    async def _receive(self) -> None:
        try:
            while True:
                message = await self._link.receive()
                self._last_heard_at = time.monotonic()
                await self._handle(message)
        except LinkClosedError:
            return

    @property
    def _is_busy(self) -> bool:
        return bool(self._streams) or self._executor.has_transactions_of(self._origin)

    async def _watch_silence(self) -> None:
        """Return when the other end has work here but has fallen silent.

        The sender probes while it has work here, so silence means that it is dead or cut off. Its
        open transactions hold locks and connections and must be rolled back. Idle links are not
        polled, as there may be hundreds.
        """
        while not await self._fell_silent():
            self._work_began.clear()
            if not self._is_busy:
                await self._work_began.wait()

    async def _fell_silent(self) -> bool:
        """Tell whether the other end fell silent before all its work here had ended."""
        looked_at = self._last_heard_at = time.monotonic()
        while self._is_busy:
            await curio.sleep(CHECK_INTERVAL_S)
            now = time.monotonic()
            own_pause_s = max(0.0, now - looked_at - 2 * CHECK_INTERVAL_S)
            looked_at = now
            self._last_heard_at += own_pause_s
            if self._is_busy and now - self._last_heard_at > SERVED_SILENCE_LIMIT_S:
                _log.warning("link-silent", origin=self._origin)
                return True
        return False

    async def _spawn(self, work: Callable[..., Awaitable[None]], *arguments: object) -> None:
        """Run work in a separate task that is cancelled when the link ends."""
        task = await curio.spawn(self._run_task, work, arguments, daemon=True)
        self._tasks.add(task)

    async def _run_task(
        self, work: Callable[..., Awaitable[None]], arguments: tuple[object, ...]
    ) -> None:
        try:
            await work(*arguments)
        finally:
            self._tasks.discard(await curio.current_task())

    async def _handle(self, message: object) -> None:
        if isinstance(message, self._server.unit_kind):
            stream = _Stream(message.stream, self._outbox)
            self._streams[message.stream] = stream
            if not self._work_began.is_set():
                await self._work_began.set()
            await self._spawn(self._run_unit, self._with_time_left(message), stream)
        elif isinstance(message, AnswerCredit):
            stream = self._streams.get(message.stream)
            if stream is not None:
                await stream.credit(message.size)
        elif isinstance(message, AbandonWork):
            await self._abandon(message)
        elif isinstance(message, LinkProbe):
            await self._outbox.put(LinkProbe(message.sequence, True))
        else:
            raise LinkClosedError(f"unexpected message {type(message).__name__}")

    def _with_time_left(self, unit: ForwardedUnit) -> ForwardedUnit:
        """Return a unit with the time that it has left after its journey.

        No time is left once its sender has closed the link for silence, as the sender has given up
        on it then.
        """
        if not unit.sent_ms:
            return unit
        delay_s = self._delay.delay_s(unit.sent_ms / MS_PER_S, time.monotonic())
        left_ms = max(0, unit.deadline_ms - int(delay_s * MS_PER_S))
        if delay_s >= SILENCE_LIMIT_S:
            left_ms = 0
        if not left_ms:
            _log.warning("unit-too-late", origin=self._origin, delay_ms=int(delay_s * MS_PER_S))
        return dataclasses.replace(unit, deadline_ms=left_ms)

    async def _run_unit(self, unit: ForwardedUnit, stream: _Stream) -> None:
        try:
            await self._outbox.put(await self._end_of(unit, stream))
        except LinkClosedError:
            return
        finally:
            self._streams.pop(unit.stream, None)

    async def _end_of(self, unit: ForwardedUnit, stream: _Stream) -> ForwardedEnd:
        key = WorkKey(self._origin, unit.transaction)
        if self._server.draining and not self._executor.has_transaction(key):
            return self._server.refuse(unit, ResultCode.DRAINING)
        return await self._executor.run(unit, stream.relay, self._origin)

    async def _abandon(self, work: AbandonWork) -> None:
        stream = self._streams.get(work.stream)
        if stream is not None and not work.cancel_only:
            await stream.discard()
        await self._spawn(self._executor.abandon, work, self._origin)
