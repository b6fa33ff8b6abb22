"""Steps for the platform's programs as real processes."""

from __future__ import annotations

import time

import curio
from behave import given, then, when
from curio import socket

from features.support.line_platform.deployment import (
    CONTROLLERS,
    FRONT_PORT,
    PROXIES,
    Deployment,
)
from features.support.statement_path import LineClient, summary

RETRY_S = 0.1
CONNECT_RETRY_S = 0.005
SETTLE_S = 0.5
LOADED = "event=loaded"


def run(context, function, *arguments):
    """Run a coroutine in the scenario's kernel."""
    return context.kernel.run(function, *arguments)


async def open_session(ip: str, database: str) -> tuple[LineClient, str]:
    """Open a session at a proxy; return the client and the summarized answer."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    await sock.connect((ip, FRONT_PORT))
    client = LineClient(sock)
    await client.send(f"START {database} u1\r\n")
    return client, summary([await client.receive()])


@given("platform: all processes started empty")
def step_start(context):
    context.kernel = curio.Kernel()
    context.deployment = Deployment(context.folder)

    def end() -> None:
        context.kernel.run(context.deployment.stop)
        context.kernel.run(shutdown=True)

    context.add_cleanup(end)
    run(context, context.deployment.start)


@then('platform: a configuration with the database "{name}" is acknowledged within {limit:d} s')
def step_declared(context, name, limit):
    deployment = context.deployment
    deployment.version += 1
    databases = ("db1",) if name == "db1" else ("db1", name)

    async def acknowledged() -> bool:
        for ip in CONTROLLERS:
            if await deployment.send_configuration(deployment.version, databases, ip) == 200:
                return True
        return False

    run(context, deployment.wait_until, acknowledged, limit, "an acknowledgement")


@then("platform: every proxy is ready within {limit:d} s")
def step_ready(context, limit):
    async def ready() -> bool:
        return all([await context.deployment.is_ready(ip) for ip in PROXIES])

    run(context, context.deployment.wait_until, ready, limit, "proxies ready")


@then("platform: no proxy is ready for {seconds:d} s, as nothing is declared")
def step_not_ready(context, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for ip in PROXIES:
            assert not run(context, context.deployment.is_ready, ip), ip
        run(context, curio.sleep, RETRY_S)


@when('platform: a client at the first proxy opens "{database}"')
def step_client(context, database):
    context.client, told = run(context, open_session, PROXIES[0], database)
    assert told == "I", told


@then('platform: it sends "{statement}" and receives "{expected}" within {limit:d} s')
def step_asks(context, statement, expected, limit):
    answers = []

    async def is_answered() -> bool:
        answers.append(await context.client.ask(statement))
        return answers[-1] == expected

    run(context, context.deployment.wait_until, is_answered, limit, f"{expected}: {answers}")


@then('platform: a client at the second proxy reads "{value}" from x within {limit:d} s')
def step_reads(context, value, limit):
    async def reads() -> bool:
        client, told = await open_session(PROXIES[1], "db1")
        if told != "I":
            return False
        answer = await client.ask("READ x")
        await client.close()
        return answer == f"{value} done I"

    run(context, context.deployment.wait_until, reads, limit, f"{value} read")


@when("platform: the primary crashes")
def step_crash(context):
    run(context, context.deployment.group.crash, context.deployment.group.primary.identity)


@then("platform: one member was promoted")
def step_promoted(context):
    promoted = {identity for identity, _ in context.deployment.authority.promotions}
    assert promoted and "a" not in promoted, context.deployment.authority.promotions
    assert context.deployment.group.primary.identity in promoted, promoted


@when("platform: the first controller is killed")
def step_kill_controller(context):
    context.deployment.kill(CONTROLLERS[0])


@then('platform: a session at "{database}" opens within {limit:d} s')
def step_opens(context, database, limit):
    async def opens() -> bool:
        client, told = await open_session(PROXIES[0], database)
        await client.close()
        return told == "I"

    run(context, context.deployment.wait_until, opens, limit, f"a session at {database}")


@then("platform: an older version is acknowledged and changes nothing")
def step_older(context):
    status = run(context, context.deployment.send_configuration, 1, ("db1",), CONTROLLERS[1])
    assert status == 200, status
    time.sleep(RETRY_S)
    _, told = run(context, open_session, PROXIES[0], "db2")
    assert told == "I", told


@then("platform: an invalid configuration is refused")
def step_invalid(context):
    version = context.deployment.version + 5
    same_twice = ("db1", "db1")
    status = run(
        context, context.deployment.send_configuration, version, same_twice, CONTROLLERS[1]
    )
    assert status == 400, status


@when("platform: the second proxy is killed and started again")
def step_restart_proxy(context):
    context.deployment.kill(PROXIES[1])
    context.deployment.start_process(PROXIES[1], "run_proxy.py")


@then("platform: a client connects to the second proxy before it is loaded")
def step_connects_early(context):
    times_loaded = context.deployment.log(PROXIES[1]).count(LOADED)

    async def connect() -> socket.socket:
        while True:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                await sock.connect((PROXIES[1], FRONT_PORT))
            except ConnectionRefusedError:
                await sock.close()
                await curio.sleep(CONNECT_RETRY_S)
            else:
                return sock

    context.early_socket = run(context, connect)
    assert context.deployment.log(PROXIES[1]).count(LOADED) == times_loaded


@then('platform: that client\'s session at "{name}" opens within {limit:d} s')
def step_early_opens(context, name, limit):
    async def open_early() -> str:
        await context.early_socket.sendall(f"START {name} u1\r\n".encode())
        async with curio.timeout_after(limit):
            line = await context.early_socket.as_stream().readline()
        return summary([line.decode().rstrip()])

    assert run(context, open_early) == "I"


MACHINES = {"first controller": CONTROLLERS[0], "second proxy": PROXIES[1]}
SHARE_WRITTEN = {"empty": 0.0, "half written": 0.5}


@when("platform: the {machine} is killed, and started while its settings are {state}")
def step_start_unwritten(context, machine, state):
    deployment = context.deployment
    ip = MACHINES[machine]
    program = "run_controller.py" if ip in CONTROLLERS else "run_proxy.py"
    deployment.kill(ip)
    context.settings = deployment.write_node_file(ip)
    context.written = context.settings.read_text()
    part = context.written[: int(SHARE_WRITTEN[state] * len(context.written))]
    deployment.start_process(ip, program, written=part)


@when("platform: the settings are whole {milliseconds:d} ms later")
def step_written(context, milliseconds):
    run(context, curio.sleep, milliseconds / 1_000)
    context.settings.write_text(context.written)


@then("platform: the {machine} has not ended")
def step_not_ended(context, machine):
    run(context, curio.sleep, SETTLE_S)
    status = context.deployment.process(MACHINES[machine]).poll()
    assert status is None, (status, context.deployment.log(MACHINES[machine])[-600:])


@then('platform: the {machine} exits with status {status:d} within {limit:d} s and logs "{told}"')
def step_ends(context, machine, status, limit, told):
    deployment = context.deployment
    ip = MACHINES[machine]

    async def has_ended() -> bool:
        return deployment.process(ip).poll() is not None

    run(context, deployment.wait_until, has_ended, limit, "an end")
    assert deployment.process(ip).poll() == status
    assert told in deployment.log(ip), deployment.log(ip)[-600:]
