"""Steps for hedged reads, with stand-in members that answer at given times."""

from __future__ import annotations

from types import SimpleNamespace

import curio
from behave import then, when

from limedyke.core.statements.observed_member import ObservedMember
from limedyke.core.statements.time_estimate import TimeEstimate
from limedyke.messages.databases import AnnouncedMember, MemberState
from limedyke.messages.statements import AnswerKind, MemberAnswer
from limedyke.messages.work import FIRST_POSITION, TransactionStatus
from limedyke.proxy.statements.hedged_read import HedgedRead, HedgeTarget
from limedyke.proxy.statements.members.pinned_connection import PinnedConnection

USUAL_S = 0.02
WHOLE_S = 1.0
HEDGE_DELAY_S = 0.1


class _Connection:
    """A stand-in connection that records whether it was closed."""

    def __init__(self):
        self.status = TransactionStatus.IDLE
        self.is_closed = False

    async def close(self):
        """Close it."""
        self.is_closed = True


class _Pool:
    """A stand-in pool that records which connections it hands out."""

    def __init__(self, name):
        record = AnnouncedMember(name, "g", "h:1", "z", "v1", 3, MemberState.READY, False)
        self.observed = ObservedMember(record)
        self.observed.answer = TimeEstimate(USUAL_S, 0.0, True)
        self.lent = []
        self.given_back = []

    def check_out(self):
        """Check a new connection out."""
        connection = _Connection()
        self.lent.append(connection)
        return PinnedConnection(self, connection)

    async def putconn(self, connection):
        """Take a connection back; another client begins a transaction on it immediately."""
        self.given_back.append(connection)
        connection.status = TransactionStatus.IN_TRANSACTION

    @property
    def state(self):
        """The state of the connection that was handed out."""
        if not self.lent:
            return "never lent"
        if not self.given_back:
            return "lent"
        return "closed" if self.lent[0].is_closed else "given back"


class _Exchange:
    """A stand-in exchange that answers at given times."""

    def __init__(self, answers):
        self._answers = answers
        self.wait = curio.sleep

    def count_hedged_read(self):
        """Do nothing."""

    async def connect(self, pool, _attempt, _wait_s):
        """Check a connection out at once."""
        return pool.check_out()

    async def run(self, pinned, _attempt, _after, _limit_s):
        """Answer at the given time."""
        kind, after_s = self._answers[pinned.identity]
        try:
            await self.wait(after_s)
        except curio.CancelledError:
            await pinned.abandon()
            raise
        return MemberAnswer(AnswerKind(kind))


def _read(first, second):
    """Return a hedged read, its two pools and the connection of the first."""
    pools = _Pool("first"), _Pool("second")
    attempt = SimpleNamespace(
        group=SimpleNamespace(acknowledged=FIRST_POSITION),
        tried=set(),
        possible_runs=0,
        may_retry_read=lambda: True,
        may_be_sent=lambda: True,
        time_left=lambda: WHOLE_S,
        connection_wait_s=lambda pool: WHOLE_S,
        record_failure=lambda reason, member: None,
    )
    exchange = _Exchange({"first": first, "second": second})
    read = HedgedRead(exchange, attempt, lambda: HedgeTarget(pools[1], None))
    return read, pools, pools[0].check_out()


@when(
    'hedged reads: the first answers "{first}" after {first_ms:d} ms, the second "{second}" after '
    "{second_ms:d} ms"
)
def step_read(context, first, first_ms, second, second_ms):
    answers = (first, first_ms / 1_000), (second, second_ms / 1_000)
    read, context.pools, pinned = _read(*answers)
    context.sent = curio.run(read.run, pinned, None)


@then("hedged reads: the answer of the {winner:w} is returned, with its connection lent")
def step_returned(context, winner):
    assert context.sent.pinned.identity == winner, context.sent
    pool = next(pool for pool in context.pools if pool.observed.record.identity == winner)
    assert pool.state == "lent", pool.state


@then("hedged reads: the answer of one of them is returned, with its connection lent")
def step_one_returned(context):
    step_returned(context, context.sent.pinned.identity)


@then("hedged reads: the connection of the other is {state}")
def step_other(context, state):
    winner = context.sent.pinned.identity
    pool = next(pool for pool in context.pools if pool.observed.record.identity != winner)
    assert pool.state == state, pool.state


@when('hedged reads: both answer "done" at the same moment')
def step_same_moment(context):
    read, context.pools, pinned = _read(("done", 0.0), ("done", 0.0))
    moment = curio.Event()
    read._exchange.wait = lambda _seconds: moment.wait()

    async def answer_both():
        task = await curio.spawn(read.run, pinned, None)
        await curio.sleep(2 * HEDGE_DELAY_S)
        await moment.set()
        return await task.join()

    context.sent = curio.run(answer_both)


@when('hedged reads: both answer "done" at the moment when the client disconnects')
def step_leaves(context):
    read, context.pools, pinned = _read(("done", 0.2), ("done", 0.1))

    async def leave():
        task = await curio.spawn(read.run, pinned, None)
        await curio.sleep(0.2)
        await task.cancel()

    curio.run(leave)


@then("hedged reads: no connection stays lent")
def step_none_lent(context):
    states = [pool.state for pool in context.pools]
    assert "lent" not in states, states
