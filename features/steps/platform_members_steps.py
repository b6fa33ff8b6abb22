"""Steps for platform members that restart empty, and for malformed member records."""

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
VALID_RECORD = {
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
INVALID_BODIES = (
    b"",
    b"\xff\xfe\x00",
    b"[]",
    json.dumps({**VALID_RECORD, "state": "resting"}).encode(),
    json.dumps({**VALID_RECORD, "address": "127.31.8.8"}).encode(),
    json.dumps({**VALID_RECORD, "callSeq": "1"}).encode(),
    json.dumps({**VALID_RECORD, "born": "now"}).encode(),
    json.dumps({**VALID_RECORD, "service": ""}).encode(),
    json.dumps(
        {name: value for name, value in VALID_RECORD.items() if name != "capacity"}
    ).encode(),
)
IDENTITIES = ("a", "x", "x%20y", "x%0D%0Ay")
"""An existing member, an unknown one, and two invalid names."""
REFUSALS = ("BUSY", "LAGGING", "TIMEOUT", "FAILED", "INDOUBT", "ABORTED")


@when("platform: the primary restarts empty, and says that it {says:w}")
def step_start_again(context, says):
    group = context.deployment.group
    run(context, group.start_again, group.primary.identity, says == "leads")


@then(
    "platform: a client that reads x for {seconds:d} s "
    'receives "{expected}" or a refusal, and "{last}" at the end'
)
def step_reads_on(context, seconds, expected, last):
    answers = run(context, _read_on, seconds)
    others = [
        answer for answer in answers if answer != expected and not answer.startswith(REFUSALS)
    ]
    assert not others, others[:3]
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


@when("platform: each controller receives {count:d} malformed member records of each kind")
def step_invalid_records(context, count):
    context.statuses = run(context, _send_invalid_records, count)


async def _send_invalid_records(count: int) -> set[int | None]:
    statuses = set()
    for ip in CONTROLLERS:
        for _ in range(count):
            for body in INVALID_BODIES:
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
