"""Steps for what logs and metrics show of changes of the configuration."""

from __future__ import annotations

import random

import logbook
from behave import given, step, then, when
from prometheus_client import CollectorRegistry

from limedyke.controller.leading.voter_watch import VoterWatch
from limedyke.controller.metrics import ControllerMetrics
from limedyke.core.agreement import Agreement, AgreementTiming
from limedyke.core.agreement.commands import Role
from limedyke.core.agreement.events import MessageReceived, Proposed, StorageSynced, Tick
from limedyke.core.agreement.progress import Progress
from limedyke.core.agreement.records import StoredState, genesis_snapshot
from limedyke.messages.agreement import (
    AppendEntriesResponse,
    ControllerIdentity,
    MemberConfiguration,
    PreVoteResponse,
    VoteResponse,
)
from limedyke.proxy.control.view_lag import ViewLag

NOW = 100.0
SILENCE_LIMIT_S = 3.0


def _capture_log(context) -> None:
    handler = context.log = logbook.TestHandler()
    handler.push_application()
    context.add_cleanup(handler.pop_application)


def _lines(context, event: str) -> list[str]:
    texts = [record.message for record in context.log.records]
    return [text.removeprefix("event=") for text in texts if text.startswith(f"event={event}")]


def _identity(name: str) -> ControllerIdentity:
    return ControllerIdentity(name, f"{name}1")


class _LeaderAgreement:
    """The part of the agreement that the watch reads; the first voter leads."""

    def __init__(self) -> None:
        self.configuration = MemberConfiguration()
        self.responded_at: dict[ControllerIdentity, float] = {}

    def member_progress(self) -> dict[ControllerIdentity, Progress]:
        return {member: Progress(1, at) for member, at in self.responded_at.items()}


class _LeaderReplica:
    def __init__(self) -> None:
        self.agreement = _LeaderAgreement()
        self.leads = True


@given("change visibility: a leader that wants {wanted:d} voters")
def step_leader(context, wanted):
    _capture_log(context)
    context.now = NOW
    context.replica = _LeaderReplica()
    context.registry = CollectorRegistry()
    metrics = ControllerMetrics(context.registry)
    context.watch = VoterWatch(context.replica, wanted, SILENCE_LIMIT_S, metrics)


@when('change visibility: its voters are "{names}"')
def step_voters(context, names):
    agreement = context.replica.agreement
    voters = tuple(_identity(name) for name in names.split())
    agreement.configuration = MemberConfiguration("x", voters)
    agreement.responded_at = dict.fromkeys(voters[1:], context.now)
    context.watch.check(context.now)


@when('change visibility: {seconds:g} s later its voters are "{names}"')
def step_voters_later(context, seconds, names):
    context.now += seconds
    step_voters(context, names)


@when('change visibility: "{name}" has been silent for {seconds:g} s')
def step_silent(context, name, seconds):
    context.replica.agreement.responded_at[_identity(name)] = context.now - seconds
    context.watch.check(context.now)


@when("change visibility: it leads no more")
def step_follows(context):
    context.replica.leads = False
    context.watch.check(context.now)


@then(
    "change visibility: the gauges show {configured:d} configured, {responding:d} responding, "
    "{wanted:d} wanted"
)
def step_gauges(context, configured, responding, wanted):
    for state, expected in (
        ("configured", configured),
        ("responding", responding),
        ("wanted", wanted),
    ):
        labels = {"state": state}
        found = context.registry.get_sample_value("limedyke_controller_voters", labels)
        assert found == expected, (state, found)


@then('change visibility: the members logged are "{first}" and "{second}"')
def step_members(context, first, second):
    found = _lines(context, "members")
    assert [line.split(" ")[1] for line in found] == [f"voters={first}", f"voters={second}"], found


@then('change visibility: it logs "{line}"')
def step_logs(context, line):
    found = _lines(context, line.split(" ")[0])
    assert found and found[-1] == line, found


@then('change visibility: it logs once "{line}"')
def step_logs_once(context, line):
    found = _lines(context, line.split(" ")[0])
    assert found == [line], found


@given('change visibility: a leader of five whose follower "{name}" lacks its last entry')
def step_holders(context, name):
    voters = tuple(_identity(letter) for letter in "abcde")
    leader = voters[0]
    stored = StoredState(snapshot=genesis_snapshot("x", voters))
    context.agreement = Agreement(leader, stored, AgreementTiming(), random.Random(1), NOW)
    context.now = NOW
    _elect(context, voters)
    _settle(context, voters, behind=())
    _handle(context, Proposed("p", b"entry"))
    _settle(context, voters, behind=(_identity(name),))


def _handle(context, event) -> list:
    context.now += 0.001
    commands = context.agreement.handle(event, context.now)
    numbers = [c.write_number for c in commands if hasattr(c, "write_number")]
    if numbers:
        commands += context.agreement.handle(StorageSynced(max(numbers)), context.now)
    return commands


def _elect(context, voters) -> None:
    context.now += 10.0
    _handle(context, Tick())
    agreement = context.agreement
    for voter in voters[1:]:
        answer = PreVoteResponse(agreement.term, agreement.term + 1, True)
        _handle(context, MessageReceived(voter, answer))
    for voter in voters[1:]:
        _handle(context, MessageReceived(voter, VoteResponse(agreement.term, True)))
    assert agreement.role is Role.LEADER, agreement.role


def _settle(context, voters, behind) -> None:
    """Let all followers but some acknowledge the last entry."""
    agreement = context.agreement
    last = agreement.last_index
    for voter in voters[1:]:
        if voter not in behind:
            answer = AppendEntriesResponse(agreement.term, True, last, last, 0, 0, 1)
            _handle(context, MessageReceived(voter, answer))


@then('change visibility: all but "{name}" hold the last entry, and all hold the one before')
def step_held(context, name):
    agreement = context.agreement
    voters = set(agreement.configuration.voters)
    assert set(agreement.holders(agreement.last_index)) == voters - {_identity(name)}
    assert set(agreement.holders(agreement.last_index - 1)) == voters


@given("change visibility: a proxy that has applied {index:d}")
def step_proxy(context, index):
    _capture_log(context)
    context.now = NOW
    context.lag = ViewLag()
    context.lag.applied(index, NOW)


@step("change visibility: the leader is at {index:d}")
def step_leader_at(context, index):
    context.lag.leader_at(index, context.now)


@when("change visibility: {seconds:g} s later the leader is at {index:d}")
def step_leader_later(context, seconds, index):
    context.now += seconds
    step_leader_at(context, index)


@when("change visibility: {seconds:g} s later it has applied {index:d}")
def step_applied(context, seconds, index):
    context.now += seconds
    context.lag.applied(index, context.now)


@then("change visibility: nothing is logged, and the view is {seconds:g} s behind")
def step_quiet(context, seconds):
    assert not context.log.records, context.log.records
    step_behind(context, seconds)


@then("change visibility: the view is {seconds:g} s behind")
def step_behind(context, seconds):
    assert abs(context.lag.seconds(context.now) - seconds) < 1e-6
