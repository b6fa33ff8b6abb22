"""Steps for the search of a controller that the leader does not contact."""

from __future__ import annotations

import time

import curio
from behave import given, then, when

from limedyke.controller.membership_search import AskAt, MembershipSearch
from limedyke.core.agreement.commands import Role
from limedyke.messages.agreement import ControllerIdentity
from limedyke.messages.calls import CallAnswer

LEADER, SILENT = "10.0.0.1:1", "10.0.0.2:1"
SILENCE_S = 1.0
QUIET_S = 0.5
POLL_S = 0.01


class _Agreement:
    identity = ControllerIdentity("a", "a1")
    role = Role.PRE_CANDIDATE


class _Replica:
    """The part of the replica that the search uses."""

    def __init__(self) -> None:
        self.agreement = _Agreement()
        self.is_member = True
        self.seeks_leader = False
        self.known_addresses = {"b": LEADER, "c": SILENT}
        self._hint = ""

    def leader_address(self, own_address: str) -> str:
        return self._hint

    def learn_members(self, answer: CallAnswer) -> None:
        self._hint = answer.leader

    def forget_leader(self) -> None:
        self._hint = ""

    def keep_links(self) -> None:
        pass


def _answers(context, silent: frozenset[str]) -> AskAt:
    async def ask(address: str, call) -> CallAnswer:
        context.asked.append(address)
        if address in silent:
            await curio.sleep(SILENCE_S)
        return CallAnswer(leader=LEADER, retry_after_ms=100)

    return ask


def _start(context, silent: frozenset[str]) -> None:
    context.asked, context.announced = [], []
    context.replica = _Replica()

    async def announce(address: str, call) -> CallAnswer:
        context.announced.append(address)
        return CallAnswer(leader=LEADER, retry_after_ms=100)

    context.search = MembershipSearch(
        context.replica, announce, _answers(context, silent), "10.0.0.3:1"
    )
    context.kernel = curio.Kernel()
    context.task = context.kernel.run(curio.spawn, context.search.run)

    def end() -> None:
        context.kernel.run(context.task.cancel)
        context.kernel.run(shutdown=True)

    context.add_cleanup(end)


@given("membership search: a controller that knows two others, of which one does not answer")
def step_silent(context):
    _start(context, frozenset({SILENT}))


@given("membership search: a controller that knows two others")
def step_others(context):
    _start(context, frozenset())


@when("membership search: it seeks the leader")
def step_seeks(context):
    context.replica.seeks_leader = True


@when("membership search: the leader contacts it")
def step_contacted(context):
    context.replica.seeks_leader = False
    context.kernel.run(curio.sleep, QUIET_S)


@then("membership search: it has announced itself to the leader within {limit:g} s")
def step_announced(context, limit):
    async def wait() -> None:
        until = time.monotonic() + limit
        while not context.announced and time.monotonic() < until:
            await curio.sleep(POLL_S)

    context.kernel.run(wait)
    assert context.announced[:1] == [LEADER], (context.announced, context.asked)


@then("membership search: it asks nobody any more")
def step_quiet(context):
    before = (len(context.asked), len(context.announced))
    context.kernel.run(curio.sleep, QUIET_S)
    assert (len(context.asked), len(context.announced)) == before
