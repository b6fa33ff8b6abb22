"""Steps on a member that is promoted again after it was replaced."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass, field

import curio
from behave import given, step, then, when

from features.soak.fault_injection import SoakDeployment
from features.steps.platform_processes_steps import (
    open_session,
    run,
    step_declared,
    step_ready,
)
from features.support.line_platform.deployment import CONTROLLERS, PROXIES
from features.support.statement_path import LineClient

DATABASE = "db1"
KEY = "x"
START_LIMIT_S = 15
LEAD_LIMIT_S = 12.0
CLIENT_PAUSE_S = 0.03
RECONNECT_S = 0.05
POLL_S = 0.01
SETTLED_S = 1.5
REACHED_S = 0.5
PROMOTE_S = 0.5
"""Long enough for reads between a call and the lead of its member."""
LEADS = "event=serving-as-leader"


@dataclass(frozen=True, slots=True)
class _Write:
    """A value that was acknowledged at a moment."""

    value: int
    at: float


@dataclass(frozen=True, slots=True)
class _Read:
    """A value that was read, and when the read was sent."""

    value: int
    sent_at: float


@dataclass(slots=True)
class _Load:
    """What the clients wrote and read."""

    writes: list[_Write] = field(default_factory=list)
    reads: list[_Read] = field(default_factory=list)
    last_value: int = 0

    async def write(self, ip: str) -> None:
        """Write rising values until cancelled."""
        client: LineClient | None = None
        while True:
            client = client or await _connect(ip)
            self.last_value += 1
            value = self.last_value
            told = await _ask(client, f"WRITE {KEY} {value}")
            if told == "done I":
                self.writes.append(_Write(value, time.monotonic()))
            elif told == "closed":
                client = None
            await curio.sleep(CLIENT_PAUSE_S)

    async def read(self, ip: str) -> None:
        """Send a read after each pause until cancelled, also while earlier ones are unanswered."""
        idle: list[LineClient] = []
        while True:
            client = idle.pop() if idle else await _connect(ip)
            await curio.spawn(self._read_once, client, idle, daemon=True)
            await curio.sleep(CLIENT_PAUSE_S)

    async def _read_once(self, client: LineClient, idle: list[LineClient]) -> None:
        sent_at = time.monotonic()
        told = await _ask(client, f"READ {KEY}")
        value = told.split(" ")[0]
        if told.endswith("done I") and value.isdigit():
            self.reads.append(_Read(int(value), sent_at))
        if told != "closed":
            idle.append(client)

    def lacking(self, kept: set[int], since: float) -> list[_Read]:
        """Return the reads sent since a moment that lack a write that was acknowledged before.

        :param kept: the values in the log at the end; a change of primary may roll others back
        """
        writes = [found for found in self.writes if found.value in kept]
        return [
            read
            for read in self.reads
            if read.sent_at >= since
            if any(w.at < read.sent_at and w.value > read.value for w in writes)
        ]


async def _connect(ip: str) -> LineClient:
    """Open a session, with pauses as long as the proxy does not accept one."""
    while True:
        try:
            client, told = await open_session(ip, DATABASE)
        except OSError:
            told = ""
        if told == "I":
            return client
        await curio.sleep(RECONNECT_S)


async def _ask(client: LineClient, text: str) -> str:
    try:
        return await client.ask(text)
    except (OSError, curio.TaskTimeout):
        return "closed"


@given("replaced primaries: a group of three members, and clients that write and read")
def step_group(context):
    context.kernel = curio.Kernel()
    deployment = context.deployment = SoakDeployment(context.folder)
    deployment.route_type = "primary"
    deployment.authority.promote_s = PROMOTE_S
    load = context.load = _Load()

    def end() -> None:
        context.kernel.run(deployment.stop)
        context.kernel.run(shutdown=True)

    async def begin() -> None:
        await curio.spawn(load.write, PROXIES[0], daemon=True)
        for ip in PROXIES:
            await curio.spawn(load.read, ip, daemon=True)
        await curio.sleep(SETTLED_S)

    context.add_cleanup(end)
    run(context, deployment.start)
    step_declared(context, DATABASE, START_LIMIT_S)
    step_ready(context, START_LIMIT_S)
    run(context, begin)


async def _next_leader(context, before: str, limit_s: float = LEAD_LIMIT_S) -> str:
    """Wait until another member leads, and return it."""
    group = context.deployment.group

    async def leads() -> bool:
        return group.primary is not None and group.leader != before

    await context.deployment.wait_until(leads, limit_s, f"another member than {before} leads")
    return group.leader


def _cut(context, member: str, is_cut: bool) -> None:
    faults = context.deployment.relays[member].faults
    faults.cut_to_member = faults.cut_from_member = is_cut


@when("replaced primaries: the primary crashes, and a second member leads")
def step_second(context):
    async def crash() -> None:
        first = context.deployment.group.leader
        await context.deployment.group.crash(first)
        context.second = await _next_leader(context, first)
        await curio.sleep(SETTLED_S)

    run(context, crash)


@when("replaced primaries: the second member is cut off until the third one leads")
def step_third(context):
    deployment = context.deployment
    member = deployment.group.members[context.second]

    async def cut() -> None:
        _cut(context, context.second, True)
        while deployment.authority.promotions[-1][0] == context.second:
            await curio.sleep(POLL_S)
        context.held = json.dumps(deployment.announcement(member)).encode()
        member.announces_itself = False
        context.third = await _next_leader(context, context.second)
        await curio.sleep(REACHED_S)

    run(context, cut)


@when("replaced primaries: proxies reach the second member again, which lags by {ms:d} ms")
def step_lags(context, ms):
    async def heal() -> None:
        context.deployment.group.members[context.second].faults.lag_s = ms / 1_000
        _cut(context, context.second, False)
        await curio.sleep(REACHED_S)

    run(context, heal)


@when("replaced primaries: {events}")
def step_trouble(context, events):
    for event in events.split(", and "):
        _happen(context, event)


def _happen(context, event: str) -> None:
    """Let one event happen."""
    match event:
        case "no proxy reaches the third member any more" | "no proxy reaches the third member":
            _cut(context, context.third, True)
        case "an announcement of the second one arrives late":
            run(context, curio.spawn, _announce_at_call, context)
        case "the call is carried out late without an answer":
            context.deployment.authority.late_calls = 1
        case "the leading controller is killed by the call":
            run(context, curio.spawn, _kill_at_call, context)
        case "the third member crashes":
            run(context, context.deployment.group.crash, context.third)
        case _:
            raise AssertionError(f"unknown event {event!r}")


async def _wait_for_call(context) -> None:
    """Wait until the authority has accepted a call for the second member after its replacement."""
    promotions = context.deployment.authority.promotions
    while promotions[-1][0] != context.second:
        await curio.sleep(POLL_S)


async def _announce_at_call(context) -> None:
    """Deliver what the second member announced as the primary, just after the call."""
    await _wait_for_call(context)
    member = context.deployment.group.members[context.second]
    await context.deployment.deliver_announcement(member, context.held)


async def _kill_at_call(context) -> None:
    await _wait_for_call(context)
    deployment = context.deployment
    deployment.kill(next(ip for ip in CONTROLLERS if LEADS in deployment.log(ip)))


@then("replaced primaries: the second member leads again within {limit:d} s")
def step_leads_again(context, limit):
    leader = run(context, _next_leader, context, context.third, float(limit))
    assert leader == context.second, leader
    context.led_at = time.monotonic()


@then("replaced primaries: writes and reads are served within {limit:d} s")
def step_served(context, limit):
    load = context.load

    async def is_served() -> bool:
        return load.writes[-1].at > context.led_at and load.reads[-1].sent_at > context.led_at

    run(context, context.deployment.wait_until, is_served, limit, "writes and reads are served")
    run(context, curio.sleep, SETTLED_S)


@step("replaced primaries: no read of the last {seconds:d} s lacked an acknowledged commit")
def step_none_lacked(context, seconds):
    log = context.deployment.group.primary.log
    kept = {int(data) for commit in log.commits for key, data in commit.writes if key == KEY}
    lacking = context.load.lacking(kept, time.monotonic() - seconds)
    assert not lacking, f"{len(lacking)} of {len(context.load.reads)} reads: {lacking[:3]}"


@then(
    "replaced primaries: {count:d} calls were accepted, as a new leader has to repeat the last one"
)
def step_count(context, count):
    promotions = context.deployment.authority.promotions
    assert len(promotions) == count, (promotions, context.deployment.authority.late_outcomes)
