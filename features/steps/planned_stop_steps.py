"""Steps on proxies and controllers that are stopped while clients use them."""

from __future__ import annotations

import signal
import time

import curio
from behave import given, then, when
from curio import socket

from features.steps.platform_processes_steps import (
    run,
    step_declared,
    step_ready,
    step_start,
)
from features.support.line_platform.deployment import CONTROLLERS, FRONT_PORT, PROXIES
from features.support.persistent_callers import PersistentCaller
from features.support.persistent_clients import DATABASE, Habit, PersistentClient

ALWAYS = 10**9
BEFORE_STOP_S = 0.5
STOP_GAP_S = 0.4
STOP_LIMIT_S = 6.0
"""Seconds between SIGTERM and SIGKILL on the platform."""
POLL_INTERVAL_S = 0.02
START_LIMIT_S = 15
LEADS = "event=serving-as-leader"
ONE_STOPS, BOTH_STOP = PROXIES[:1], PROXIES


@given('planned stop: two proxies that serve "db1"')
def step_serving(context):
    step_start(context)


@given("planned stop: members work {work_ms:d} ms on a read")
def step_work(context, work_ms):
    for member in context.deployment.group.members.values():
        member.faults.work_s = work_ms / 1_000


@given("planned stop: members answer after {travel_ms:d} ms")
def step_travel(context, travel_ms):
    for member in context.deployment.group.members.values():
        member.faults.answers_travel_s = travel_ms / 1_000


@given("planned stop: statements may take {limit_s:d} s, and members work {work_s:d} s on a read")
def step_long(context, limit_s, work_s):
    context.deployment.statement_timeout_ms = limit_s * 1_000
    step_work(context, work_s * 1_000)


@given("planned stop: members are busy for good")
def step_busy(context):
    for member in context.deployment.group.members.values():
        member.faults.busy = ALWAYS


@when("planned stop: {count:d} clients {habit} without end, and {stopped} stop")
def step_stop(context, count, habit, stopped):
    step_declared(context, DATABASE, START_LIMIT_S)
    step_ready(context, START_LIMIT_S)
    context.stopped = ONE_STOPS if stopped == "the first" else BOTH_STOP
    context.clients = [
        PersistentClient(f"c{number}", context.stopped[number % len(context.stopped)], Habit(habit))
        for number in range(count)
    ]
    run(context, _play, context)


async def _play(context) -> None:
    deployment = context.deployment
    context.ended_at = {}
    context.signalled_at = {}

    def is_gone() -> bool:
        return len(context.ended_at) == len(context.stopped)

    tasks = [await curio.spawn(client.run, is_gone) for client in context.clients]
    await curio.sleep(BEFORE_STOP_S)
    for ip in context.stopped:
        deployment.process(ip).send_signal(signal.SIGTERM)
        context.signalled_at[ip] = time.monotonic()
        await curio.sleep(STOP_GAP_S)
    end = time.monotonic() + 2 * STOP_LIMIT_S
    while not is_gone():
        for ip in context.stopped:
            process = deployment.process(ip)
            if time.monotonic() > end:
                process.kill()
            if ip not in context.ended_at and process.poll() is not None:
                context.ended_at[ip] = time.monotonic()
        await curio.sleep(POLL_INTERVAL_S)
    for task in tasks:
        await task.join()


def _told(context) -> list:
    return [told for client in context.clients for told in client.told]


@then("planned stop: every statement got a whole answer")
def step_whole(context):
    first_signal = min(context.signalled_at.values())
    broken = [
        (told.request_id, told.text, f"{told.sent_at - first_signal:.3f} s after the signal")
        for told in _told(context)
        if not told.is_whole
    ]
    lines = [
        line
        for ip in context.stopped
        for line in context.deployment.log(ip).splitlines()
        if "event=unanswered" in line or "event=stop" in line
    ]
    assert not broken, (len(broken), broken[:5], lines[:8])


@then("planned stop: every session request got an answer")
def step_sessions_answered(context):
    first_signal = min(context.signalled_at.values())
    unanswered_sessions = [
        f"{asked_at - first_signal:.3f} s after the signal"
        for client in context.clients
        for asked_at in client.unanswered_sessions
    ]
    assert not unanswered_sessions, (len(unanswered_sessions), unanswered_sessions[:8])


@then("planned stop: some were answered after the signal")
def step_served(context):
    first_signal = min(context.signalled_at.values())
    assert any(told.sent_at > first_signal and told.is_whole for told in _told(context))


@then("planned stop: no client got a failure without having been told its cause")
def step_known(context):
    surprised = [told for told in _told(context) if told.words.startswith("MALFORMED")]
    assert not surprised, surprised[:5]


@then("planned stop: the proxies that stopped ended with 0 within 6 s")
def step_ended(context):
    for ip in context.stopped:
        assert context.deployment.process(ip).poll() == 0, context.deployment.log(ip)[-2_000:]
        took_s = context.ended_at[ip] - context.signalled_at[ip]
        assert took_s < STOP_LIMIT_S, took_s


@when("planned stop: {count:d} callers call {which} without end, the others {state}, and it stops")
def step_stop_controller(context, count, which, state):
    step_declared(context, DATABASE, START_LIMIT_S)
    step_ready(context, START_LIMIT_S)
    leader = next(ip for ip in CONTROLLERS if LEADS in context.deployment.log(ip))
    follower = next(ip for ip in CONTROLLERS if ip != leader)
    context.controller = leader if which == "the leader" else follower
    if state == "stand still":
        for ip in CONTROLLERS:
            if ip != context.controller:
                context.deployment.process(ip).send_signal(signal.SIGSTOP)
    context.callers = [PersistentCaller(context.controller) for _ in range(count)]
    run(context, _play_controller, context)


async def _play_controller(context) -> None:
    process = context.deployment.process(context.controller)

    def is_gone() -> bool:
        return process.poll() is not None

    tasks = [await curio.spawn(caller.run, is_gone) for caller in context.callers]
    await curio.sleep(BEFORE_STOP_S)
    process.send_signal(signal.SIGTERM)
    context.signalled_at = time.monotonic()
    end = context.signalled_at + 2 * STOP_LIMIT_S
    while not is_gone() and time.monotonic() < end:
        await curio.sleep(POLL_INTERVAL_S)
    context.controller_ended_at = time.monotonic()
    for task in tasks:
        await task.join()


@then("planned stop: every call got a whole answer")
def step_calls_whole(context):
    calls = [call for caller in context.callers for call in caller.calls]
    broken = [round(call.sent_at - context.signalled_at, 3) for call in calls if not call.status]
    assert not broken, (len(broken), "seconds after the signal", broken[:8])


@then("planned stop: some were answered with {status:d}")
def step_calls_answered(context, status):
    calls = [call for caller in context.callers for call in caller.calls]
    assert any(call.status == status for call in calls), {call.status for call in calls}


@then("planned stop: the controller ended with 0 within 6 s")
def step_controller_ended(context):
    assert context.deployment.process(context.controller).poll() == 0
    assert context.controller_ended_at - context.signalled_at < STOP_LIMIT_S


@when("planned stop: the first proxy is restarted, and gets SIGHUP while it loads")
def step_early_hang_up(context):
    deployment = context.deployment
    ip = PROXIES[0]
    deployment.kill(ip)
    deployment.start_process(ip, "run_proxy.py")
    run(context, _wait_until_it_listens, ip)
    deployment.process(ip).send_signal(signal.SIGHUP)


async def _wait_until_it_listens(ip: str) -> None:
    """Return once a process accepts connections, which it does before its modules are loaded."""
    while True:
        async with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
            try:
                await sock.connect((ip, FRONT_PORT))
                return
            except OSError:
                await curio.sleep(POLL_INTERVAL_S / 10)


@when("planned stop: the first proxy gets SIGTERM each {pause_ms:d} ms until it ends")
def step_signals_again(context, pause_ms):
    ip = PROXIES[0]
    process = context.deployment.process(ip)
    context.stopped = (ip,)
    context.signalled_at = {ip: time.monotonic()}
    while process.poll() is None and time.monotonic() < context.signalled_at[ip] + STOP_LIMIT_S:
        process.send_signal(signal.SIGTERM)
        run(context, curio.sleep, pause_ms / 1_000)
    context.ended_at = {ip: time.monotonic()}


@then("planned stop: the proxies serve")
def step_serve(context):
    step_declared(context, DATABASE, START_LIMIT_S)
    step_ready(context, START_LIMIT_S)
