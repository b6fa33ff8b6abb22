"""A read that is also sent to a second member when the first takes unusually long."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, replace

import curio

from limedyke.event_log import EventLog
from limedyke.messages.statements import NOT_RUN, AnswerKind, MemberAnswer
from limedyke.messages.work import LogPosition
from limedyke.proxy.statements.attempt import Attempt
from limedyke.proxy.statements.members.member_exchange import MemberExchange
from limedyke.proxy.statements.members.member_pool import MemberPool
from limedyke.proxy.statements.members.pinned_connection import PinnedConnection

EVENTS = EventLog("reads")
MINIMUM_HEDGE_DELAY_S = 0.1
"""Minimum delay, in seconds, before a read is sent to a second member: a healthy machine pauses for
up to 0.1 s when its CPU quota is used up."""
UNANSWERED_KINDS = frozenset({AnswerKind.LOST, AnswerKind.TIMED_OUT})
RETRYABLE_READ_ANSWERS = UNANSWERED_KINDS | {AnswerKind.FAILED, AnswerKind.OUTDATED}
"""Answers after which a read is tried at another member although it may have run: a faulty member
fails reads that others serve, and a member that was replaced lacks commits that others have."""


@dataclass(frozen=True, slots=True)
class SentRead:
    """A member's answer to a read, and the connection that it ran on."""

    pinned: PinnedConnection
    answer: MemberAnswer

    @property
    def is_final(self) -> bool:
        """Whether no other member need be tried."""
        return self.answer.kind not in NOT_RUN | RETRYABLE_READ_ANSWERS

    async def put_back(self, attempt: Attempt) -> None:
        """Return the connection of a read that is not final, and record why it failed."""
        kind = self.answer.kind
        attempt.record_failure(kind, self.pinned.identity)
        if kind in RETRYABLE_READ_ANSWERS:
            attempt.possible_runs += 1
        if kind in UNANSWERED_KINDS:
            await self.pinned.abandon()
        else:
            await self.pinned.release()


@dataclass(frozen=True, slots=True)
class HedgeTarget:
    """The second member for a hedged read.

    :param after: log position that the member must hold; None for the primary
    """

    pool: MemberPool
    after: LogPosition | None


class HedgedRead:
    """Runs one read on one member or two.

    The first try continues when the second starts; the first final answer is used.

    :param choose_hedge_target: returns another member with room, or None
    """

    def __init__(
        self,
        exchange: MemberExchange,
        attempt: Attempt,
        choose_hedge_target: Callable[[], HedgeTarget | None],
    ) -> None:
        self._exchange = exchange
        self._attempt = attempt
        self._choose_hedge_target = choose_hedge_target
        self._answered: list[SentRead] = []

    async def run(self, pinned: PinnedConnection, after: LogPosition | None) -> SentRead:
        """Return the first final answer, or the last one when none is final."""
        if not self._attempt.may_retry_read():
            return await self._ask(pinned, after)
        sent: SentRead | None = None
        try:
            sent = await self._run_hedged(pinned, after)
        finally:
            await self._release_all_but(sent)
        return sent

    async def _run_hedged(self, pinned: PinnedConnection, after: LogPosition | None) -> SentRead:
        async with curio.TaskGroup() as reads:
            await reads.spawn(self._ask, pinned, after)
            ended = None
            async with curio.ignore_after(_hedge_delay_s(pinned)):
                ended = await reads.next_done()
            if ended is None:
                await self._start_hedge(reads)
                ended = await reads.next_done()
            sent = await self._first_final(reads, ended)
            await reads.cancel_remaining()
        return sent

    async def _release_all_but(self, chosen: SentRead | None) -> None:
        """Release the connections of all other answers, even of one that came at the same time."""
        for sent in self._answered:
            if sent is not chosen and not sent.pinned.is_given_back:
                await sent.pinned.release()

    async def _first_final(self, reads: curio.TaskGroup, ended: curio.Task | None) -> SentRead:
        sent: SentRead | None = None
        while ended is not None:
            found = ended.result
            if found is not None and sent is not None:
                await sent.put_back(self._attempt)
            sent = found or sent
            if sent is not None and sent.is_final:
                break
            ended = await reads.next_done()
        return sent

    async def _start_hedge(self, reads: curio.TaskGroup) -> None:
        second = self._choose_hedge_target()
        if second is not None and self._attempt.may_be_sent():
            self._attempt.tried.add(second.pool.observed.record.identity)
            self._exchange.count_hedged_read()
            await reads.spawn(self._connect_and_ask, second)

    async def _connect_and_ask(self, second: HedgeTarget) -> SentRead | None:
        wait_s = self._attempt.connection_wait_s(second.pool)
        pinned = await self._exchange.connect(second.pool, self._attempt, wait_s)
        return None if pinned is None else await self._ask(pinned, second.after)

    async def _ask(self, pinned: PinnedConnection, after: LogPosition | None) -> SentRead:
        attempt = self._attempt
        acknowledged = attempt.group.acknowledged
        answer = await self._exchange.run(pinned, attempt, after, attempt.time_left())
        if after is None and _is_outdated(answer, acknowledged):
            answer = await self._reject(pinned, answer)
        sent = SentRead(pinned, answer)
        self._answered.append(sent)
        return sent

    async def _reject(self, pinned: PinnedConnection, answer: MemberAnswer) -> MemberAnswer:
        """Return the answer to deliver in place of one that shows that the member was replaced."""
        group = self._attempt.group
        position = f"{answer.position.term}.{answer.position.position}"
        EVENTS.warning("read-outdated", group=group.name, member=pinned.identity, position=position)
        await group.record_reported_role(pinned.identity, False, time.monotonic())
        detail = f"the log of {pinned.identity} at {position} lacks an acknowledged commit"
        return replace(answer, kind=AnswerKind.OUTDATED, rows=(), detail=detail)


def _is_outdated(answer: MemberAnswer, acknowledged: LogPosition) -> bool:
    """Tell whether a read of the primary ran on a log that lacks an acknowledged commit.

    :param acknowledged: position of a commit that was acknowledged before the read was sent
    """
    has_position = answer.kind is AnswerKind.DONE and answer.position is not None
    return has_position and answer.position < acknowledged


def _hedge_delay_s(pinned: PinnedConnection) -> float:
    return max(MINIMUM_HEDGE_DELAY_S, pinned.pool.observed.answer.longest_s)
