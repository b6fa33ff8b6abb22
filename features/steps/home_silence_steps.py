"""Steps on home proxies that go silent, and on the units that go elsewhere."""

from __future__ import annotations

import curio
from behave import given, step, then, when

from features.steps.statement_path_steps import run
from limedyke.messages.databases import Consistency, Database
from limedyke.messages.statements import (
    Statement,
    StatementAnswer,
    StatementKind,
    StatementUnit,
    StatementUnitEnd,
)
from limedyke.messages.work import TransactionStatus
from limedyke.proxy.forwarding.link import NOT_SENT, HomeLink
from limedyke.transport.link import LinkClosedError

IDLE_LIMIT_S = 60.0


def make_unit(number):
    """Return a write outside a transaction."""
    database = Database("d", "g", Consistency.SESSION, 1_000, 500, 1)
    statement = Statement(f"q{number}", StatementKind.WRITE, "WRITE x 1")
    return StatementUnit(number, 0, database, statement, None, True, None, (), None, 1_000)


class _FakeLink:
    """A fake link whose other end behaves as ``state`` says; counts the units sent."""

    def __init__(self, state):
        self.state = state
        self.units = 0
        self._arrived = curio.Queue()
        self._closed = curio.Event()

    async def send(self, message):
        """Send a message, unless the other end accepts no more bytes."""
        if "takes no more" in self.state:
            await self._closed.wait()
            raise LinkClosedError("closed")
        if isinstance(message, StatementUnit):
            self.units += 1
            if self.state == "answers":
                status = TransactionStatus.IDLE
                await self._arrived.put(StatementUnitEnd(message.stream, StatementAnswer(), status))
            if "once it has" in self.state:
                await self._closed.set()

    async def receive(self):
        """Return the next message of the other end."""
        if self.state == "answers":
            return await self._arrived.get()
        await self._closed.wait()
        raise LinkClosedError("closed")

    async def close(self):
        """Close the link."""
        await self._closed.set()


@given("silence: a link to a home proxy that {state}")
def step_link(context, state):
    context.fake = _FakeLink(state)


@when("silence: a unit is sent over it, for {milliseconds:d} ms")
def step_send(context, milliseconds):
    async def send():
        link = HomeLink("h1", context.fake, IDLE_LIMIT_S)
        serving = await curio.spawn(link.run, daemon=True)
        if "takes no more" in context.fake.state:
            behind = await curio.spawn(link.run_unit, make_unit(1), daemon=True)
            await curio.sleep(0.01)
            del behind
        if "was closed" in context.fake.state:
            await context.fake.close()
            await serving.join()
        if "then closes" in context.fake.state:
            await curio.spawn(close_later, daemon=True)
        return await link.run_unit(make_unit(2), limit_s=milliseconds / 1_000)

    async def close_later():
        await curio.sleep(0.05)
        await context.fake.close()

    context.end = curio.run(send)


@then("silence: its outcome is {told}")
def step_told(context, told):
    expected = {"lost": None, "not sent": NOT_SENT}
    if told == "answered":
        assert context.end.answer.code == 0, context.end
    else:
        assert context.end is expected[told], context.end


@then("silence: {count:d} units were sent")
def step_wire(context, count):
    assert context.fake.units == count, context.fake.units


@step("silence: writes wait at {first:w} or {second:w} for {milliseconds:d} ms")
def step_writes_wait(context, first, second, milliseconds):
    async def ask_and_wait():
        client, _ = await context.path.connect()
        await client.send("QUERY w1 WRITE y 1\r\n")
        await curio.sleep(milliseconds / 1_000)

    run(context, ask_and_wait)
    context.waited_at = (first, second)
