"""Steps for candidates that a voter's own log does not name."""

from __future__ import annotations

import random

import curio
from behave import given, then, when

from features.steps.controller_links_steps import MESSAGE, Peer
from limedyke.core.agreement import Agreement, AgreementTiming
from limedyke.core.agreement.commands import SendMessage
from limedyke.core.agreement.events import MessageReceived, StorageSynced
from limedyke.core.agreement.records import StoredState, encode_configuration, genesis_snapshot
from limedyke.messages.agreement import (
    ControllerIdentity,
    EntryKind,
    LogEntry,
    MemberConfiguration,
    PreVoteRequest,
    PreVoteResponse,
    VoteRequest,
    VoteResponse,
)

NOW = 100.0
CANDIDATE_TERM = 9
QUIET_S = 0.7
CANDIDATES = {
    "a member": ControllerIdentity("c", "c1"),
    "a controller that was added since": ControllerIdentity("d", "d1"),
    "a member's next incarnation": ControllerIdentity("c", "c2"),
    "a member's earlier incarnation": ControllerIdentity("b", "b1"),
}


def _identity(name: str, incarnation: int = 1) -> ControllerIdentity:
    return ControllerIdentity(name, f"{name}{incarnation}")


@given('unknown candidates: a voter of "a b c" whose log ends at entry 5 of term 2')
def step_voter(context):
    context.voters = tuple(_identity(name) for name in "abc")


@given('unknown candidates: "b" was replaced by its new incarnation in entry 4')
def step_replaced(context):
    """The voter heard its last leader long ago."""
    a, b, c = context.voters
    replaced = MemberConfiguration("x", (a, _identity("b", 2), c))
    entries = (
        LogEntry(2, 2, int(EntryKind.NOOP), b""),
        LogEntry(3, 2, int(EntryKind.NOOP), b""),
        LogEntry(4, 2, int(EntryKind.CONFIGURATION), encode_configuration(replaced)),
        LogEntry(5, 2, int(EntryKind.NOOP), b""),
    )
    stored = StoredState(
        snapshot=genesis_snapshot("x", (a, b, c)), entries=entries, leader_contact_at=0.0
    )
    context.agreement = Agreement(a, stored, AgreementTiming(), random.Random(1), NOW)


@when(
    "unknown candidates: {who} asks for its pre-vote and its vote, and its log ends at entry "
    "{index:d} of term {term:d}"
)
def step_asks(context, who, index, term):
    candidate = CANDIDATES[who]
    requests = (
        PreVoteRequest(CANDIDATE_TERM, index, term),
        VoteRequest(CANDIDATE_TERM, index, term, False),
    )
    context.answers = []
    for request in requests:
        commands = context.agreement.handle(MessageReceived(candidate, request), NOW)
        numbers = [c.write_number for c in commands if hasattr(c, "write_number")]
        if numbers:
            commands += context.agreement.handle(StorageSynced(max(numbers)), NOW)
        context.answers += [
            command.message
            for command in commands
            if isinstance(command, SendMessage) and command.to == candidate
        ]


@then("unknown candidates: it is {answer}")
def step_answered(context, answer):
    kinds = [type(found) for found in context.answers]
    if answer == "not answered":
        assert not kinds, context.answers
        return
    assert kinds == [PreVoteResponse, VoteResponse], context.answers
    expected = answer == "granted both"
    assert [found.granted for found in context.answers] == [expected] * 2, context.answers


@given('unknown candidates: a controller\'s network that knows no address of "d"')
def step_network(context):
    context.kernel = curio.Kernel()
    context.add_cleanup(context.kernel.run, shutdown=True)
    context.own, context.peer = Peer("a"), Peer("d")
    for peer in (context.own, context.peer):
        context.kernel.run(peer.start)


@when('unknown candidates: a message is sent to "d"')
def step_sends(context):
    context.kernel.run(context.own.network.send, context.peer.identity, MESSAGE)


@when('unknown candidates: "d" tells its address as it asks for the leader')
def step_calls(context):
    context.own.network.learn_caller("d", context.peer.address)


@then('unknown candidates: "d" receives nothing')
def step_nothing(context):
    context.kernel.run(curio.sleep, QUIET_S)
    assert context.peer.received_at is None


@then('unknown candidates: "d" receives it')
def step_receives(context):
    context.kernel.run(curio.sleep, QUIET_S)
    assert context.peer.received_at is not None
