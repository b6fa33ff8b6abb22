"""Steps for controllers that are not members of their cluster."""

from __future__ import annotations

import json
import socket
import struct
import time
from pathlib import Path

import curio
from behave import given, then

from features.steps.platform_processes_steps import run
from features.support.line_platform.deployment import (
    CALL_TIMEOUT_S,
    CONTROL_PORT,
    FIRST_INTERNAL_PORT,
    GROUP,
    NETWORK,
)
from limedyke.transport.http_client import HttpCall, call_http

SETTLE_S = 10.0
ESTABLISHED = "01"


@given("waiting controllers: {count:d} more controllers started")
def step_start(context, count):
    context.waiting = [f"{NETWORK}.{1 + number % 3}.{20 + number}" for number in range(count)]
    for ip in context.waiting:
        context.deployment.start_controller(ip)


async def _wait_for_all(context, is_done, seconds: float) -> None:
    deadline = time.monotonic() + seconds
    left = list(context.waiting)
    while left:
        assert time.monotonic() < deadline, left
        left = [ip for ip in left if not await is_done(ip)]
        await curio.sleep(0.05)


@then("waiting controllers: each reads the configuration within {seconds:d} s")
def step_read(context, seconds):
    async def is_read(ip):
        return await context.deployment.read_status(ip) == 200

    run(context, _wait_for_all, context, is_read, seconds)


@then("waiting controllers: each accepts a member's announcement")
def step_announce(context):
    member = next(iter(context.deployment.group.members.values()))
    body = {
        "service": GROUP,
        "address": member.address,
        "zone": "z1",
        "version": "v1",
        "capacity": 3,
        "state": "ready",
        "warmupLeftMs": 0,
        "dbRole": "primary",
        "callSeq": 1,
        "born": 1_790_000_000_000,
    }
    call = HttpCall("PUT", f"/instances/{member.identity}", json.dumps(body).encode())

    async def is_accepted(ip):
        return await call_http(f"{ip}:{CONTROL_PORT}", call, CALL_TIMEOUT_S) == 200

    run(context, _wait_for_all, context, is_accepted, 1.0)


def links_from(ip: str) -> int:
    """Return how many links a machine has open to controllers' internal addresses."""
    own = struct.unpack("=I", socket.inet_aton(ip))[0]
    count = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, remote, state = line.split()[:4]
        is_own = int(local.partition(":")[0], 16) == own
        is_to_controller = int(remote.partition(":")[2], 16) == FIRST_INTERNAL_PORT
        count += is_own and is_to_controller and state == ESTABLISHED
    return count


@then(
    "waiting controllers: {learners:d} of them are learners, and the others keep at most "
    "{most:d} link each"
)
def step_links(context, learners, most):
    async def settled():
        deadline = time.monotonic() + SETTLE_S
        while True:
            links = {ip: links_from(ip) for ip in context.waiting}
            fewest = sorted(links.values())[:-learners]
            if max(fewest) <= most:
                return
            assert time.monotonic() < deadline, links
            await curio.sleep(0.1)

    run(context, settled)
