"""Steps for the number of voters that a confirmation needs."""

from __future__ import annotations

import random
import re

from behave import given, then, when

from features.steps.voter_policy_steps import identities
from features.support.controller_lab import ControllerLab
from features.support.operators_lab import declaration_file
from limedyke.controller.leading.voter_requirement import VoterRequirement
from limedyke.core.agreement import Agreement, AgreementTiming
from limedyke.core.agreement.records import StoredState, encode_configuration, genesis_snapshot
from limedyke.messages.agreement import EntryKind, LogEntry, MemberConfiguration


class _Replica:
    def __init__(self, agreement: Agreement) -> None:
        self.agreement = agreement


@given('voter requirement: a controller with the voters "{voters}", replacing "{previous}"')
def step_voters(context, voters, previous):
    """The configuration is not known to be committed, as during the joint phase."""
    present, before = identities(voters), identities(previous)
    snapshot = genesis_snapshot("x", before or present)
    configuration = MemberConfiguration("x", present, previous_voters=before)
    entry = LogEntry(2, 1, int(EntryKind.CONFIGURATION), encode_configuration(configuration))
    stored = StoredState(snapshot=snapshot, entries=(entry,))
    agreement = Agreement(present[0], stored, AgreementTiming(), random.Random(1), 0.0)
    context.replica = _Replica(agreement)


@when("voter requirement: {losses:d} lost disks are to be borne")
def step_losses(context, losses):
    context.failure = VoterRequirement(context.replica, losses).failure()


@then("voter requirement: a change is {judgement}")
def step_judged(context, judgement):
    found = "confirmed" if context.failure is None else f"refused: {context.failure.detail[:6]}"
    assert found == judgement, context.failure


@given("voter requirement: three controllers that are to bear two lost disks")
def step_lab(context):
    context.lab = ControllerLab(context.folder)
    context.add_cleanup(context.lab.close)
    for name in context.lab.addresses:
        context.lab.start_controller(name, lost_disks_tolerated=2)
    context.lab.wait_for_leader()


@when("voter requirement: an operator plans a declaration and confirms it")
def step_confirm(context):
    planned = context.lab.run("plan", declaration_file(context.lab, 1))
    found = re.search(r"^plan (p\w+) on revision", planned.stdout)
    assert found, (planned.stdout, planned.stderr)
    context.done = context.lab.run("confirm", found.group(1))


@then('voter requirement: the command exits with {status:d} and shows "{code}" and "{reason}"')
def step_exits(context, status, code, reason):
    done = context.done
    text = done.stdout + done.stderr
    assert done.returncode == status and code in text and reason in text, (done.returncode, text)


@then("voter requirement: no revision is in force")
def step_nothing(context):
    assert context.lab.status()["revision"] == 0, context.lab.status()
