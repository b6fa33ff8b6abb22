"""Steps for the policy that chooses automatic voter changes."""

from __future__ import annotations

from behave import given, then, when

from limedyke.core.agreement.events import AddLearner, PromoteLearner, RemoveMember
from limedyke.core.agreement.voter_policy import VoterPolicy, WaitingController
from limedyke.messages.agreement import ControllerIdentity, MemberConfiguration

NOW = 100.0


def identities(text: str) -> tuple[ControllerIdentity, ...]:
    """Return identities written as a name and an incarnation number; a dash means none."""
    return () if text == "-" else tuple(ControllerIdentity(t[0], t) for t in text.split())


@given("voter policy: {wanted:d} voters are wanted, a voter silent for {limit:g} s is replaced")
def step_policy(context, wanted, limit):
    context.policy = VoterPolicy(wanted, limit)


@given(
    'voter policy: voters "{voters}", learners "{learners}", of which "{caught_up}" are caught up'
)
def step_members(context, voters, learners, caught_up):
    context.configuration = MemberConfiguration("cluster", identities(voters), identities(learners))
    context.caught_up = identities(caught_up)


@given('voter policy: "{silent}" silent for {seconds:g} s')
def step_silent(context, silent, seconds):
    members = context.configuration.voters + context.configuration.learners
    context.last_response_at = dict.fromkeys(members[1:], NOW)
    context.last_response_at.update(dict.fromkeys(identities(silent), NOW - seconds))


@when('voter policy: "{waiting}" have announced themselves')
def step_waiting(context, waiting):
    found = [WaitingController(identity, "127.0.0.1:1", NOW) for identity in identities(waiting)]
    context.change = context.policy.next_change(
        context.configuration, context.caught_up, context.last_response_at, found, NOW
    )


@then("voter policy: the next change is to {expected}")
def step_change(context, expected):
    match context.change:
        case None:
            text = "do nothing"
        case AddLearner(identity):
            text = f"add {identity.incarnation}"
        case PromoteLearner(identity, None):
            text = f"promote {identity.incarnation}"
        case PromoteLearner(identity, replaced):
            text = f"replace {replaced.incarnation} by {identity.incarnation}"
        case RemoveMember(identity):
            text = f"remove {identity.incarnation}"
    assert text == expected, text
