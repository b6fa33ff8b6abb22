"""Steps for the agreement: simulated faults, mutants, membership, founding."""

from __future__ import annotations

from pathlib import Path

from behave import given, then, when

from features.support.agreement_mutants import MUTANTS, patched_out
from features.support.agreement_scripts import SCRIPT_SEEDS, run_script
from limedyke.core.agreement.events import AddLearner, PromoteLearner, RemoveMember
from limedyke.core.agreement.founding import (
    Founding,
    InstallGenesis,
    JoinCluster,
    SettingsDisagree,
)
from limedyke.core.agreement.membership import change_configuration
from limedyke.core.agreement.records import HardState, StoredState
from limedyke.messages.agreement import (
    NO_CLUSTER,
    ClusterFounded,
    ControllerIdentity,
    FoundingAnswer,
    MemberConfiguration,
)
from limedyke.result_codes import ResultCode
from limedyke_lab.agreement_simulation import SimulationOptions, simulate

NONE = "-"
FOUNDING_VOTERS = ("a", "b", "c")


@when("agreement: seeds {first:d} to {last:d} run under random faults")
def step_seeds(context, first, last):
    context.reports = [simulate(seed) for seed in range(first, last + 1)]


@when("agreement: seeds {first:d} to {last:d} run with {controllers:d} controllers")
def step_seeds_with_controllers(context, first, last, controllers):
    options = SimulationOptions(controllers=controllers)
    context.reports = [simulate(seed, options) for seed in range(first, last + 1)]


@then("agreement: no invariant is violated")
def step_no_invariant_violated(context):
    violations = [
        (report.seed, report.violations) for report in context.reports if report.violations
    ]
    assert not violations, violations[:3]


@then("agreement: at least {accepted:d} proposals were accepted and {reads:d} reads served")
def step_work_done(context, accepted, reads):
    done = sum(report.accepted for report in context.reports)
    served = sum(report.reads for report in context.reports)
    assert done >= accepted and served >= reads, (done, served)


@then("agreement: seeds {first:d} to {last:d} run twice give the same digests")
def step_same_digest(context, first, last):
    seeds = range(first, last + 1)
    runs = [[simulate(seed).digest for seed in seeds] for _ in range(2)]
    assert runs[0] == runs[1], runs
    assert len(set(runs[0])) == len(runs[0]), runs


@then('agreement: the script "{script}" passes')
def step_script_passes(context, script):
    context.script = script
    for seed in SCRIPT_SEEDS:
        broken = run_script(script, seed=seed)
        assert not broken, (seed, broken)


@then("agreement: it fails with the mutant that {mutant}")
def step_mutant_caught(context, mutant):
    with patched_out(mutant) as machine_class:
        held = [
            seed for seed in SCRIPT_SEEDS if not run_script(context.script, machine_class, seed)
        ]
    assert not held, f"the mutant that {mutant} was not caught with seeds {held}"


@then("agreement: seeds {seeds} pass, and fail with the mutant that {mutant}")
def step_seeds_catch_mutant(context, seeds, mutant):
    numbers = [int(seed) for seed in seeds.split()]
    broken = [seed for seed in numbers if simulate(seed).violations]
    assert not broken, f"with the safeguard, seeds {broken}"
    with patched_out(mutant):
        held = [seed for seed in numbers if not simulate(seed).violations]
    assert not held, f"the mutant that {mutant} was not caught with seeds {held}"


@then("agreement: every mutant is named in this feature")
def step_all_mutants_named(context):
    text = Path(context.feature.filename).read_text()
    missing = [name for name in MUTANTS if name not in text]
    assert not missing, missing


@then(
    "agreement: with the last contact stored as {stored}, term {term:d} and the process started at "
    "{started:g}, it is {bound}"
)
def step_bound_from(context, stored, term, started, bound):
    contact_at = None if stored == NONE else float(stored)
    state = StoredState(hard_state=HardState(term, None), leader_contact_at=contact_at)
    found = state.with_contact_bound(started).leader_contact_at
    expected = None if bound == "not bound" else float(bound.removeprefix("bound from "))
    assert found == expected, found


def identity(incarnation: str) -> ControllerIdentity:
    """Return the identity written as a name and its incarnation number, as in "c2"."""
    return ControllerIdentity(incarnation[0], incarnation)


def identities(text: str) -> tuple[ControllerIdentity, ...]:
    """Return the identities in a text; a dash means none."""
    return () if text == NONE else tuple(identity(incarnation) for incarnation in text.split())


@given("agreement: voters {voters}, learners {learners} of which {caught_up} hold all entries")
def step_members(context, voters, learners, caught_up):
    context.configuration = MemberConfiguration("cluster", identities(voters), identities(learners))
    context.caught_up = frozenset(identities(caught_up))


@when("agreement: the leader {leader} is asked to {change}")
def step_change(context, leader, change):
    words = change.split()
    match words[0]:
        case "add":
            asked = AddLearner(identity(words[1]))
        case "promote":
            asked = PromoteLearner(identity(words[1]))
        case "replace":
            asked = PromoteLearner(identity(words[3]), replaces=identity(words[1]))
        case "remove":
            asked = RemoveMember(identity(words[1]))
    context.changed = change_configuration(
        context.configuration, asked, identity(leader), context.caught_up
    )


def describe(configuration: MemberConfiguration) -> str:
    """Return a configuration in the notation of the feature."""
    incarnations = [found.incarnation for found in configuration.voters]
    text = f"voters {' '.join(incarnations)}"
    if configuration.learners:
        text += " learners " + " ".join(found.incarnation for found in configuration.learners)
    if configuration.previous_voters:
        text += " previous " + " ".join(
            found.incarnation for found in configuration.previous_voters
        )
    return text


@then("agreement: the members are {members}")
def step_members_are(context, members):
    if members == "refused":
        failure = context.changed.unwrap_err()
        assert failure.code is ResultCode.MEMBERSHIP_CHANGE_REFUSED, failure
        return
    assert describe(context.changed.unwrap()) == members, context.changed


def deliver(founding: Founding, own: ControllerIdentity, answer: str) -> list:
    """Deliver one answer, in the words of the feature, to a founding controller."""
    words = answer.split()
    if answer == "nothing":
        return []
    if answer == "a leader's entries":
        return founding.on_leader_contact()
    if words[0] == "founded":
        others = identities("b1 c1")
        voters = (own, *others) if answer == "founded with it" else others
        configuration = MemberConfiguration("cluster", voters)
        return founding.handle(identity("b1"), ClusterFounded(configuration))
    cluster = "cluster" if answer.endswith("of a cluster") else NO_CLUSTER
    voters = ("c", "d") if answer.endswith("naming other voters") else FOUNDING_VOTERS
    return founding.handle(identity(f"{words[0]}1"), FoundingAnswer(cluster, voters))


@when("agreement: {name} with an empty folder and founding voters a b c receives {answers}")
def step_founding(context, name, answers):
    own = identity(f"{name}1")
    founding = Founding(own, FOUNDING_VOTERS, "new")
    context.commands = founding.tick(0.0)
    for answer in answers.split(", "):
        context.commands += deliver(founding, own, answer)
    context.commands += founding.tick(10.0)


@then("agreement: {name} does: {outcome}")
def step_founding_outcome(context, name, outcome):
    kinds = {
        InstallGenesis: "found",
        JoinCluster: "join",
        SettingsDisagree: "report settings",
    }
    done = [kinds[type(command)] for command in context.commands if type(command) in kinds]
    assert done == ([] if outcome == "wait" else [outcome]), context.commands
