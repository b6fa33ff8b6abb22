"""Steps on members of the platform that start again empty, and on records of another writer."""

from __future__ import annotations

import json
import time

import curio
from behave import then, when

from features.steps.platform_processes_steps import open_session, run
from features.support.line_platform.deployment import (
    CALL_TIMEOUT_S,
    CONTROL_PORT,
    CONTROLLERS,
    GROUP,
    PROXIES,
)
from limedyke.transport.http_client import HttpCall, call_http

ASK_PAUSE_S = 0.02
WHOLE = {
    "service": GROUP,
    "address": "127.31.8.8:1",
    "zone": "z1",
    "version": "v1",
    "capacity": 3,
    "state": "ready",
    "warmupLeftMs": 0,
    "dbRole": "primary",
    "callSeq": 1,
    "born": 1_790_000_000_000,
}
FOREIGN_BODIES = (
    b"",
    b"\xff\xfe\x00",
    b"[]",
    json.dumps({**WHOLE, "state": "resting"}).encode(),
    json.dumps({**WHOLE, "address": "127.31.8.8"}).encode(),
    json.dumps({**WHOLE, "callSeq": "1"}).encode(),
    json.dumps({**WHOLE, "born": "now"}).encode(),
    json.dumps({**WHOLE, "service": ""}).encode(),
    json.dumps({name: value for name, value in WHOLE.items() if name != "capacity"}).encode(),
)
IDENTITIES = ("a", "x", "x%20y", "x%0D%0Ay")
"""Of a member, of nobody, and two that are none."""
REFUSALS = ("BUSY", "LAGGING", "TIMEOUT", "FAILED", "INDOUBT", "ABORTED")


@when("platform: the primary starts again empty, and says that it {says:w}")
def step_start_again(context, says):
    group = context.deployment.group
    run(context, group.start_again, group.primary.identity, says == "leads")


@then(
    "platform: a client that reads x for {seconds:d} s "
    'is told "{told}" or refused, and "{last}" at the end'
)
def step_reads_on(context, seconds, told, last):
    answers = run(context, _read_on, seconds)
    odd = [answer for answer in answers if answer != told and not answer.startswith(REFUSALS)]
    assert not odd, odd[:3]
    assert answers[-1] == last, answers[-5:]


async def _read_on(seconds: float) -> list[str]:
    answers = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        client, opened = await open_session(PROXIES[0], "db1")
        while opened == "I" and time.monotonic() < end:
            answers.append(await client.ask("READ x"))
            await curio.sleep(ASK_PAUSE_S)
            if client.has_unsolicited_data():
                break
        await client.close()
    return answers


@when("platform: each controller gets {count:d} records of another writer of each kind")
def step_foreign(context, count):
    context.statuses = run(context, _send_foreign, count)


async def _send_foreign(count: int) -> set[int | None]:
    statuses = set()
    for ip in CONTROLLERS:
        for _ in range(count):
            for body in FOREIGN_BODIES:
                for identity in IDENTITIES:
                    call = HttpCall("PUT", f"/instances/{identity}", body)
                    address = f"{ip}:{CONTROL_PORT}"
                    statuses.add(await call_http(address, call, CALL_TIMEOUT_S))
    return statuses


@then("platform: all of them were refused with {status:d}")
def step_refused(context, status):
    assert context.statuses == {status}, context.statuses


@then("platform: no process has ended")
def step_none_ended(context):
    deployment = context.deployment
    ended = [ip for ip in (*CONTROLLERS, *PROXIES) if deployment.process(ip).poll() is not None]
    assert not ended, [(ip, deployment.log(ip)[-400:]) for ip in ended]
