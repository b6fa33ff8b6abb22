"""Steps for the operator's commands, run against real controllers and a proxy."""

from __future__ import annotations

import json
import re
import shutil
import socket
import threading

import curio
from behave import given, step, then, when

from features.support.controller_lab import (
    HOST,
    SECRETS,
    RunningCommand,
    wait_for,
)
from features.support.operators_lab import (
    ask_as,
    close_each_connection,
    declaration_file,
    followers,
    page,
    proxy_metric,
    send_startup_packet,
    shared_lab,
)
from limedyke.messages.handshake import PeerRole
from limedyke.messages.operator import ConfirmRequest
from limedyke.transport.link import LinkIdentity

IN_FORCE_S = 2.0
DRAIN_S = 10.0
PROXY = "p1"
ALONE = "anna-alone"
ALONE_DEADLINE_S = 2.5


@then("operators: one controller is ready as the leader, the others follow it")
def _(context):
    lab = context.lab
    leader = lab.leader()
    for name in lab.addresses:
        expected = "ready: leader" if name == leader else f"ready: follows {leader}"
        wait_for(lambda n=name, e=expected: page(lab, n, "readyz").strip() == e, expected)
        assert page(lab, name, "livez") == "live\n"


@then("operators: all controllers show the same revision, and the leader 1 linked proxy")
def _(context):
    lab = context.lab
    shown = f"limedyke_controller_revision {float(lab.status()['revision'])}"
    for name in lab.addresses:
        wait_for(lambda n=name: shown in page(lab, n, "metrics"), f"{shown} at {name}")
    linked = "limedyke_controller_proxies_connected 1.0"
    wait_for(lambda: linked in page(lab, lab.leader(), "metrics"), linked)


@given("operators: three controllers and a proxy")
def _(context):
    lab = context.lab = shared_lab()
    lab.thaw(list(lab.addresses))
    for name in lab.addresses:
        if not lab.processes[name].running:
            lab.start_controller(name)
    if PROXY not in lab.processes or not lab.processes[PROXY].running:
        lab.start_proxy(PROXY)
    wait_for(lambda: proxy_metric(lab, "control_connected") == 1, "the proxy is linked")
    context.revision = proxy_metric(lab, "revision")
    context.plans = {}


@given("operators: a plan waits")
def _(context):
    context.right = declaration_file(context.lab, 1)
    if not context.lab.waiting_plan:
        context.lab.waiting_plan = context.lab.json("plan", context.right)["plan_id"]
    context.plans["anna"] = context.lab.waiting_plan


@step("operators: {operator} plans a declaration of {count:d} groups")
def _(context, operator, count):
    file = declaration_file(context.lab, count)
    context.done = context.lab.run("plan", file, operator=operator)
    found = re.search(r"^plan (p\w+) on revision", context.done.stdout)
    assert found, (context.done.stdout, context.done.stderr)
    context.plans[operator] = found.group(1)


@step("operators: {operator} confirms the plan")
def _(context, operator):
    plan_id = next(iter(context.plans.values()))
    context.done = context.lab.run("confirm", plan_id, operator=operator)


@when("operators: anna and bert confirm their plans concurrently")
def _(context):
    lab = context.lab
    under_way = [
        lab.begin("confirm", context.plans[name], "--output=json", operator=name)
        for name in ("anna", "bert")
    ]
    context.both = [command.finish() for command in under_way]


@then("operators: one exits with 0, the other with 1 and the winner's revision")
def _(context):
    winner, loser = sorted(context.both, key=lambda done: done.returncode)
    assert (winner.returncode, loser.returncode) == (0, 1), context.both
    refusal = json.loads(loser.stdout)["error"]
    assert refusal["code"] == "LD4005", refusal
    assert refusal["revision"] == json.loads(winner.stdout)["revision"], (winner, refusal)


def _confirm(context, request_id: str, operator: str) -> None:
    plan_id = context.plans["anna"]
    before = getattr(context, "done", None)
    context.first = before
    context.done = context.lab.run(
        "confirm", plan_id, f"--request_id={request_id}", operator=operator
    )


@step('operators: anna confirms the plan under the request id "{request_id}"')
def _(context, request_id):
    _confirm(context, request_id, "anna")


@when('operators: anna confirms the plan under the request id "{request_id}" at the leader alone')
def _(context, request_id):
    _confirm(context, request_id, ALONE)


@when(
    'operators: anna confirms the plan under the request id "{request_id}" at the other controllers'
)
def _(context, request_id):
    lab = context.lab
    others = [lab.addresses[name] for name in followers(lab, context.leader)]
    lab.write_operator("anna-others", "anna-key", others)
    _confirm(context, request_id, "anna-others")


@then("operators: both answers are the same")
def _(context):
    assert context.done.returncode == 0, context.done
    assert context.done.stdout == context.first.stdout, (context.first, context.done)


@when("operators: the leader is killed")
def _(context):
    context.leader = context.lab.leader()
    context.lab.kill(context.leader)


@when("operators: the other controllers freeze")
def _(context):
    lab = context.lab
    context.leader = lab.leader()
    lab.write_operator(
        ALONE, "anna-key", [lab.addresses[context.leader]], deadline_s=ALONE_DEADLINE_S
    )
    lab.freeze(followers(lab, context.leader))


@when("operators: the other controllers resume")
def _(context):
    context.lab.thaw(followers(context.lab, context.leader))


@when("operators: anna asks the leader alone for the status")
def _(context):
    context.done = context.lab.run("status", operator=ALONE)


@then("operators: the proxy has left the leader")
def _(context):
    lab = context.lab
    wait_for(lambda: proxy_metric(lab, "control_connected") == 0, "the proxy left the leader")


@when("operators: anna drains the proxy")
def _(context):
    context.done = context.lab.run("drain", PROXY)
    found = re.search(r"^plan (p\w+) on revision", context.done.stdout)
    assert found, (context.done.stdout, context.done.stderr)
    context.plans["anna"] = found.group(1)


@then("operators: the proxy exits with 0")
def _(context):
    assert context.done.returncode == 0, context.done
    process = context.lab.processes[PROXY]
    assert process.wait(DRAIN_S) == 0, process.log_tail()
    plan = context.lab.json("drain", PROXY, "--undo")
    context.lab.json("confirm", plan["plan_id"])


@when("operators: a follower loses its disk and restarts")
def _(context):
    lab = context.lab
    context.follower = followers(lab, lab.leader())[0]
    lab.kill(context.follower)
    shutil.rmtree(lab.folder / context.follower)
    lab.start_controller(context.follower)


def _roles(context) -> list[str]:
    rows = context.lab.status()["controllers"]
    return [row["role"] for row in rows if row["name"] == context.follower]


@then('operators: the follower is shown as "{role}"')
def _(context, role):
    wait_for(lambda: role in _roles(context), f"{context.follower} is {role}")


@when("operators: anna adds it as a learner, and replaces the old voter by it")
def _(context):
    lab, name = context.lab, context.follower
    context.done = lab.run("controller", "add", name)
    assert "would add" in context.done.stdout, context.done
    assert lab.json("controller", "add", name, "--yes")
    replaced = ["controller", "replace", name, "--yes"]
    wait_for(lambda: lab.run(*replaced).returncode == 0, "the learner has caught up")


@when('operators: "{command}" is run as {operator}')
def _(context, command, operator):
    lab = context.lab
    wrong = lab.folder / "wrong.yaml"
    wrong.write_text("tenants:\n  - name: t\n    users: nobody\n")
    replaced = {"PLAN": context.plans["anna"], "WRONG": str(wrong), "RIGHT": context.right}
    words = [replaced.get(word, word) for word in command.split()]
    context.done = lab.run(*words, operator=operator)


@when('operators: "{command}" is run without settings')
def _(context, command):
    python = context.lab.processes["c1"].command[0]
    context.done = RunningCommand([python, "-m", "limedyke.cli", *command.split()]).finish()


@given("operators: the first address in the settings of {operator} {state}")
def _(context, operator, state):
    listener = socket.create_server((HOST, 0))
    address = f"{HOST}:{listener.getsockname()[1]}"
    if state == "is not listened to":
        listener.close()
    else:
        threading.Thread(target=close_each_connection, args=(listener,), daemon=True).start()
    controllers = [address, *context.lab.addresses.values()]
    context.lab.write_operator(operator, "anna-key", controllers)


@then('operators: the command exits with {status:d} and shows "{text}"')
def _(context, status, text):
    done = context.done
    assert done.returncode == status, (done.returncode, done.stdout, done.stderr)
    assert text in done.stdout + done.stderr, (done.stdout, done.stderr)


@then("operators: {count:d} revisions more are in force on the proxy")
def _(context, count):
    wanted = context.revision + count
    lab = context.lab
    wait_for(lambda: proxy_metric(lab, "revision") >= wanted, f"revision {wanted}", IN_FORCE_S)
    assert proxy_metric(lab, "revision") == wanted


@then("operators: nothing has changed")
def _(context):
    assert proxy_metric(context.lab, "revision") == context.revision


@then('operators: "{command}" shows "{first}" and "{second}"')
def _(context, command, first, second):
    done = context.lab.run(*command.split())
    assert first in done.stdout and second in done.stdout, (done.stdout, done.stderr)


@then('operators: "{command}" shows "{text}"')
def _(context, command, text):
    lab = context.lab
    wait_for(lambda: text in lab.run(*command.split()).stdout, text)


@when("operators: {who} speaks to the leader")
def _(context, who):
    lab = context.lab
    address = lab.addresses[lab.leader()]
    request = ConfirmRequest("foreign", context.plans["anna"])
    key = SECRETS["cluster"].encode()
    match who:
        case "a tenant's PostgreSQL client":
            context.got = send_startup_packet(address)
        case "a proxy that confirms a plan":
            identity = LinkIdentity(PeerRole.PROXY, "p2", key)
            context.got = curio.run(ask_as, address, identity, request)
        case "a proxy that calls itself anna":
            identity = LinkIdentity(PeerRole.OPERATOR, "anna", key)
            context.got = curio.run(ask_as, address, identity, request)


@then("operators: it gets no answer")
def _(context):
    got = context.got
    is_greeting = isinstance(got, bytes) and b"limedyke" not in got and b"revision" not in got
    is_refusal = type(got).__name__ in ("NotLeader", "NoneType")
    assert is_greeting or is_refusal, got
