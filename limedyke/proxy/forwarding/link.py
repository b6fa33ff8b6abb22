"""The sending side of a forwarding link: streams, flow control and liveness probes."""

from __future__ import annotations

import dataclasses
import enum
import itertools
import time
from collections import deque
from collections.abc import Iterable

import curio

from limedyke.messages.statements import StatementUnit, StatementUnitEnd
from limedyke.messages.work import (
    AbandonWork,
    AnswerChunk,
    AnswerCredit,
    AnswerEnd,
    LinkProbe,
    WorkUnit,
)
from limedyke.proxy.executor import Relay
from limedyke.proxy.forwarding.outbox import Outbox
from limedyke.transport.link import Link, LinkClosedError

SILENCE_BEFORE_PROBE_S = 0.15
"""Silence, in seconds, after which a busy link is probed. It is longer than most units take, so
that healthy links are rarely probed."""
SILENCE_LIMIT_S = 1.5
"""Silence, in seconds, after which a busy link is closed."""
CHECK_INTERVAL_S = 0.05
LOADED_MACHINE_DELAY_S = 0.15
"""Allowed delay, in seconds, when a machine at either end is short of processor time."""
RECENT_RECEIVE_S = 0.1
"""A link that received something within this time, in seconds, needs no probe before a unit."""
RECENT_USE_S = 1.0
"""A link used within this time, in seconds, stays open even above the limit of links: its caller
may not have used it yet, and would have to dial it again."""


NEVER = float("inf")
MS_PER_S = 1_000.0
ForwardedUnit = WorkUnit | StatementUnit
ForwardedEnd = AnswerEnd | StatementUnitEnd


class NotSent(enum.Enum):
    """Returned for a unit of which no byte was sent, so that it certainly did not run."""

    NOT_SENT = "not-sent"


NOT_SENT = NotSent.NOT_SENT


async def no_relay(chunk: AnswerChunk) -> None:
    """Ignore parts of an answer; the answer to a statement is contained in its end message."""


class _Stream:
    """A unit that runs at the other end."""

    def __init__(self) -> None:
        self.received: deque[AnswerChunk | ForwardedEnd] = deque()
        self.wake = curio.Event()


CROWDED_FOR_S = 0.3
"""Seconds for which a home proxy that refused a unit as crowded is chosen last: about the time in
which it serves its waiting requests."""


class HomeLink:
    """A link to a home proxy, shared by many units.

    Only this end closes an idle link. The other end can't tell whether a unit is in flight.

    :param idle_limit_s: the link is closed after this idle time
    :param travel_s: network round trip time, measured while the link was opened
    :param zone: of the home proxy
    :ivar transactions: numbers of this proxy's transactions that are open at the home proxy
    :ivar used_at: when a unit or transaction last used it (``time.monotonic()`` seconds)
    :ivar is_draining: the home proxy reported that it accepts no new work
    :ivar crowded_until: until when the home proxy counts as crowded; others are preferred
    """

    def __init__(
        self,
        home: str,
        link: Link,
        idle_limit_s: float,
        travel_s: float = 0.0,
        zone: str = "",
    ) -> None:
        self.home = home
        self.zone = zone
        self.travel_s = travel_s
        self.transactions: set[int] = set()
        self.closed = False
        self.is_draining = False
        self.crowded_until = float("-inf")
        self.used_at = time.monotonic()
        self._idle_limit_s = idle_limit_s
        self._work_began = curio.Event()
        self._link = link
        self._outbox = Outbox(link)
        self._streams: dict[int, _Stream] = {}
        self._stream_by_unit: dict[int, int] = {}
        self._numbers = itertools.count(1)
        self._last_heard_at = time.monotonic()
        self._last_received_at = float("-inf")
        self._heard = curio.Event()
        self._is_marked_silent = False

    @property
    def takes_work(self) -> bool:
        """Whether new work may be sent here: the other end is neither draining nor silent."""
        return not (self.is_silent or self.is_draining)

    @property
    def is_silent(self) -> bool:
        """Whether the other end has been silent for too long and may be dead."""
        if not self._streams or self._is_marked_silent:
            return self._is_marked_silent
        return time.monotonic() - self._last_heard_at > self.longest_silence_s

    @property
    def is_crowded(self) -> bool:
        """Whether the home proxy recently refused a unit as crowded."""
        return time.monotonic() < self.crowded_until

    def mark_crowded(self) -> None:
        """Record that the home proxy refused a unit as crowded."""
        self.crowded_until = time.monotonic() + CROWDED_FOR_S

    @property
    def is_busy(self) -> bool:
        """Whether a unit or open transaction uses the link, or it is marked silent and probed."""
        return bool(self._streams or self.transactions or self._is_marked_silent)

    @property
    def longest_silence_s(self) -> float:
        """The longest silence, in seconds, of a busy link while both ends work.

        It is the time until the probe, one check interval, the round trip of the probe, and the
        delay of a loaded machine.
        """
        return SILENCE_BEFORE_PROBE_S + CHECK_INTERVAL_S + self.travel_s + LOADED_MACHINE_DELAY_S

    async def close_if_idle(self) -> None:
        """Close the link unless it is busy; no further unit can start on it."""
        if not self.is_busy:
            self.closed = True
            await self._work_began.set()

    async def run(self) -> None:
        """Serve the link until it closes, falls silent or reaches its idle limit."""
        try:
            async with curio.TaskGroup(wait=any) as tasks:
                await tasks.spawn(self._receive)
                await tasks.spawn(self._watch)
                await tasks.spawn(self._outbox.run)
        finally:
            self.closed = True
            self._outbox.closed = True
            await self._link.close()
            await self._heard.set()
            for stream in list(self._streams.values()):
                await stream.wake.set()

    async def _receive(self) -> None:
        try:
            while True:
                message = await self._link.receive()
                self._last_heard_at = self._last_received_at = time.monotonic()
                self._is_marked_silent = False
                if not self._heard.is_set():
                    await self._heard.set()
                await self._handle(message)
        except LinkClosedError:
            return

    async def _handle(self, message: object) -> None:
        if not isinstance(message, AnswerChunk | AnswerEnd | StatementUnitEnd):
            return
        stream = self._streams.get(message.stream)
        if stream is not None:
            stream.received.append(message)
            await stream.wake.set()

    async def _watch(self) -> None:
        """Return when the link is to be closed.

        Idle links are not polled, as there may be hundreds.
        """
        while not self.closed:
            if self.is_busy and await self._fell_silent():
                return
            idle_left_s = self.used_at + self._idle_limit_s - time.monotonic()
            if idle_left_s <= 0:
                await self.close_if_idle()
                continue
            self._work_began.clear()
            if not self.is_busy and not self.closed:
                await curio.ignore_after(idle_left_s, self._work_began.wait)

    async def _fell_silent(self) -> bool:
        """Watch a busy link; tell whether it fell silent before its work had ended.

        Probes are sent during a silence, and pauses of this process don't count as silence.
        """
        sequence = 0
        looked_at = self._last_heard_at = time.monotonic()
        while self.is_busy:
            await curio.sleep(CHECK_INTERVAL_S)
            now = time.monotonic()
            own_pause = max(0.0, now - looked_at - 2 * CHECK_INTERVAL_S)
            looked_at = now
            self._last_heard_at += own_pause
            silence = now - self._last_heard_at
            if silence > SILENCE_LIMIT_S:
                return self.is_busy
            if silence > SILENCE_BEFORE_PROBE_S:
                sequence += 1
                await self._put_if_open(LinkProbe(sequence, False))
        return False

    async def _put_if_open(self, message: object) -> None:
        try:
            await self._outbox.put(message)
        except LinkClosedError:
            return

    async def answers_probe(self) -> bool:
        """Probe the other end unless it was heard recently; tell whether it answered in time.

        The round trip is worth its cost before a unit that must not be sent twice, while other home
        proxies seem to have failed.
        """
        if time.monotonic() - self._last_received_at < RECENT_RECEIVE_S:
            return True
        self._heard.clear()
        self.used_at = time.monotonic()
        await self._put_if_open(LinkProbe(0, False))
        await curio.ignore_after(self.travel_s + LOADED_MACHINE_DELAY_S, self._heard.wait)
        if self._heard.is_set() and not self.closed:
            return True
        await self._mark_silent()
        return False

    async def _mark_silent(self) -> None:
        """Mark the link as silent: it is probed until it receives data or closes, and not used."""
        self._is_marked_silent = True
        if not self._work_began.is_set():
            await self._work_began.set()

    async def run_unit(
        self,
        unit: ForwardedUnit,
        relay: Relay = no_relay,
        silence_limit_s: float = NEVER,
        limit_s: float = NEVER,
    ) -> ForwardedEnd | NotSent | None:
        """Run a unit at the home proxy.

        :param silence_limit_s: longest silence of the link before the unit is abandoned
        :param limit_s: timeout in seconds
        :returns: the end of its answer. None when there was none in time, so that the unit may have
            run; ``NOT_SENT`` when no byte of it was or will be sent
        """
        number = next(self._numbers)
        stream = _Stream()
        began_at = time.monotonic()
        if not self.is_busy:
            self._last_heard_at = began_at
        self._streams[number] = stream
        self._stream_by_unit[unit.stream] = number
        self.used_at = time.monotonic()
        sent = dataclasses.replace(unit, stream=number, sent_ms=int(began_at * MS_PER_S))
        ended = False
        try:
            if not self._work_began.is_set():
                await self._work_began.set()
            if not await self._queue(sent):
                ended = True
                return NOT_SENT
            end = await self._await_end(
                number, stream, unit, relay, silence_limit_s, began_at + limit_s
            )
            ended = end is not None or self.closed
            if end is None and self._outbox.withdraw(sent):
                ended = True
                return NOT_SENT
            return end
        except LinkClosedError:
            ended = True
            return None
        finally:
            del self._streams[number]
            del self._stream_by_unit[unit.stream]
            self.used_at = time.monotonic()
            if not ended:
                self._is_marked_silent = self._last_received_at <= began_at
                await self._put_if_open(AbandonWork(number, unit.transaction, False))

    async def _queue(self, unit: ForwardedUnit) -> bool:
        """Queue a unit to be sent; return False when the link has closed, so that it never is."""
        try:
            await self._outbox.put(unit)
        except LinkClosedError:
            return False
        return True

    async def _await_end(
        self,
        number: int,
        stream: _Stream,
        unit: ForwardedUnit,
        relay: Relay,
        silence_limit_s: float,
        until: float,
    ) -> ForwardedEnd | None:
        last_heard_at = time.monotonic()
        while True:
            while stream.received:
                message = stream.received.popleft()
                if not isinstance(message, AnswerChunk):
                    return dataclasses.replace(message, stream=unit.stream)
                await relay(AnswerChunk(unit.stream, message.data))
                await self._outbox.put(AnswerCredit(number, len(message.data)))
            if self.closed:
                return None
            stream.wake.clear()
            last_heard_at = max(last_heard_at, self._last_heard_at)
            left_s = min(last_heard_at + silence_limit_s, until) - time.monotonic()
            if left_s <= 0.0:
                return None
            if left_s == NEVER:
                await stream.wake.wait()
            else:
                await curio.ignore_after(left_s, stream.wake.wait)

    def carries(self, work: AbandonWork) -> bool:
        """Tell whether a unit or its transaction is at this home proxy."""
        return work.stream in self._stream_by_unit or work.transaction in self.transactions

    async def abandon(self, work: AbandonWork) -> None:
        """Forward a request to abandon or cancel work."""
        number = self._stream_by_unit.get(work.stream, 0)
        await self._put_if_open(AbandonWork(number, work.transaction, work.cancel_only))


def surplus_links(links: Iterable[HomeLink], limit: int) -> list[HomeLink]:
    """Return the links to close so that at most ``limit`` stay, the least recently used first.

    Busy and recently used links stay open even above the limit.
    """
    opened = [link for link in links if not link.closed]
    recent = time.monotonic() - RECENT_USE_S
    idle = [link for link in opened if not link.is_busy and link.used_at < recent]
    idle.sort(key=lambda link: link.used_at)
    return idle[: max(0, len(opened) - limit)]
