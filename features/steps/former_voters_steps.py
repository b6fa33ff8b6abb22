"""Steps for controllers that were replaced while they were down."""

from __future__ import annotations

from behave import given, then, when

from features.support.controller_lab import ControllerLab, free_address, wait_for

FOURTH = "c4"


@given("former voters: three controllers, one of which is killed")
def step_lab(context):
    lab = context.lab = ControllerLab(context.folder)
    context.add_cleanup(lab.close)
    lab.start_controllers()
    leader = lab.leader()
    context.former = next(name for name in lab.addresses if name != leader)
    lab.kill(context.former)


@when("former voters: an operator replaces it by a fourth one")
def step_replace(context):
    lab = context.lab
    lab.addresses[FOURTH] = free_address()
    lab.start_controller(FOURTH, join=True)
    add = ["controller", "add", FOURTH, f"--address={lab.addresses[FOURTH]}", "--yes"]
    wait_for(lambda: lab.run(*add).returncode == 0, "the fourth controller is a learner")
    replace = ["controller", "replace", context.former, FOURTH, "--yes"]
    wait_for(lambda: lab.run(*replace).returncode == 0, "the fourth controller votes")


@when("former voters: it is started again with its folder")
def step_restart(context):
    context.lab.start_controller(context.former)


@when("former voters: the operator adds it")
def step_add(context):
    context.lab.json("controller", "add", context.former, "--yes")


@then('former voters: status shows it as "{role}" within {limit:d} s')
def step_role(context, role, limit):
    def shown() -> bool:
        rows = context.lab.status()["controllers"]
        return (context.former, role) in [(row["name"], row["role"]) for row in rows]

    wait_for(shown, f"{context.former} is {role}", limit)
