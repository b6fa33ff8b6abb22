"""Steps on tenants: their keys, and connections for a single tenant."""

from __future__ import annotations

import json
import time

import curio
from behave import given, step, then, when

from documents import build_declaration, read_configuration
from features.steps.statement_path_steps import begin, run
from features.support.statement_homes import ForwardingPath
from features.support.statement_path import GROUP, StatementPath
from limedyke.core.access_keys import AccessKeys, access_key_digest
from limedyke.messages.codec import encode
from limedyke.messages.control import ConnectionLease
from limedyke.messages.databases import Consistency

KEYS = {"one": "k1", "two": "k2"}
FIRST_KEY, SECOND_KEY = "long-secret-key-1", "long-secret-key-2"
CALM_S = 0.05


def start(context, path: StatementPath) -> None:
    """Start a scenario with the two tenants."""
    begin(context, path)
    for tenant, key in KEYS.items():
        path.hold_key(tenant, key)
    run(context, path.start)
    context.most_connections = 0


@given("tenants: tenant one holds key k1 and tenant two holds key k2")
def step_two_tenants(context):
    start(context, StatementPath(Consistency.SESSION))


@given("tenants: a proxy without a lease, tenant one holds key k1 and tenant two holds key k2")
def step_without_lease(context):
    start(context, ForwardingPath(Consistency.SESSION, (("h1", "z2", "r1"),)))


@given("tenants: the lease is for 1 connection")
def step_one_connection(context):
    lease = ConnectionLease(GROUP, "shared", 1)
    run(context, context.path.groups.leases_changed, (lease,), float("inf"))


@given("tenants: members take {milliseconds:d} ms for a read")
def step_slow(context, milliseconds):
    for member in context.path.group.members.values():
        member.faults.work_s = milliseconds / 1_000


@given("tenants: the controllers know that one holds k9 too")
def step_news(context):
    context.path.hold_key("one", "k1", "k9")
    context.path.news = context.path.make_view()


@given("tenants: the controllers can't be reached")
def step_cut_off(context):
    context.path.is_cut_off = True


@when('tenants: a client opens {database:w} with {key:w} and gets "{expected}"')
def step_open(context, database, key, expected):
    context.client, answer = run(context, context.path.connect, database, key)
    assert answer == expected, answer


@when('tenants: it sends "{asked}" and gets "{expected}" within {milliseconds:d} ms')
def step_ask_within(context, asked, expected, milliseconds):
    began_at = time.monotonic()
    step_ask(context, asked, expected)
    took_ms = (time.monotonic() - began_at) * 1_000
    assert took_ms <= milliseconds, took_ms


@when('tenants: it sends "{asked}" and gets "{expected}"')
def step_ask(context, asked, expected):
    answer = run(context, context.client.ask, asked)
    assert answer == expected, answer


async def _write(context, tenant: str, count: int) -> list[str]:
    client, _ = await context.path.connect("db", KEYS[tenant])
    answers = []
    for _ in range(count):
        answers.append(await client.ask(f"WRITE {tenant} 1"))
        _note_connections(context)
    return answers


def _note_connections(context) -> None:
    members = context.path.group.members.values()
    most = max(member.connections for member in members)
    context.most_connections = max(context.most_connections, most)


@when("tenants: clients of one and two write in turn {count:d} times each")
def step_in_turn(context, count):
    async def write():
        clients = [(await context.path.connect("db", key))[0] for key in KEYS.values()]
        answers = []
        for _ in range(count):
            for tenant, client in zip(KEYS, clients, strict=True):
                answers.append(await client.ask(f"WRITE {tenant} 1"))
                _note_connections(context)
        return answers

    context.answers = run(context, write)


@when("tenants: clients of one and two write at once {count:d} times each")
def step_at_once(context, count):
    async def write():
        tasks = [await curio.spawn(_write, context, tenant, count) for tenant in KEYS]
        return [answer for task in tasks for answer in await task.join()]

    context.answers = run(context, write)


@when("tenants: {count:d} clients of tenant one read continuously")
def step_flood(context, count):
    async def read():
        client, _ = await context.path.connect("db", KEYS["one"])
        while True:
            await client.ask("READ x")

    async def flood():
        tasks = [await curio.spawn(read, daemon=True) for _ in range(count)]
        await curio.sleep(CALM_S)
        return tasks

    async def end():
        for task in tasks:
            await task.cancel()

    tasks = run(context, flood)
    context.add_cleanup(lambda: run(context, end))


@then("tenants: each write was done and ran for its own tenant")
def step_own_tenant(context):
    assert set(context.answers) == {"done I"}, context.answers
    runs = context.path.group.runs
    assert len(runs) == len(context.answers), (len(runs), len(context.answers))
    mixed = [run for run in runs if run.text.split(" ")[1] != run.tenant]
    assert not mixed, mixed


@then("tenants: no member had more than 1 connection")
def step_most(context):
    assert context.most_connections <= 1, context.most_connections


@then("tenants: {count:d} connections to members were opened in total")
def step_opened(context, count):
    opened = sum(member.opened for member in context.path.group.members.values())
    assert opened == count, opened


@then("tenants: the controllers were asked {count:d} times")
def step_confirmations(context, count):
    assert context.path.confirmations == count, context.path.confirmations


@when("tenants: one holds k8 now")
def step_other_key(context):
    context.path.hold_key("one", "k8")
    run(context, context.path.tell_view)


@step("tenants: one holds no key now")
def step_no_key(context):
    context.path.hold_key("one")
    run(context, context.path.tell_view)


@when("tenants: one is declared no longer")
def step_gone(context):
    del context.path.tenants["one"]
    run(context, context.path.tell_view)


@when("tenants: two holds k1 now, one none")
def step_passed_on(context):
    context.path.hold_key("one")
    context.path.hold_key("two", "k1", "k2")
    run(context, context.path.tell_view)


@then('tenants: "{text}" ran for nobody')
def step_ran_for_nobody(context, text):
    assert not context.path.runs_of(text)


@then('tenants: "{text}" ran for {tenant:w}')
def step_ran_for(context, text, tenant):
    found = [run.tenant for run in context.path.group.runs if run.text == text]
    assert found == [tenant], found


@then("tenants: its session is closed")
def step_closed(context):
    run(context, context.client.expect_end)


def _configuration() -> dict:
    """Return a valid configuration with two tenants."""
    return {
        "version": 1,
        "routes": [],
        "services": [{"name": "g", "maxConnections": 4}],
        "limits": {"maxBodyBytes": 10},
        "tenants": [
            {"name": "one", "apiKeys": [FIRST_KEY], "ratePerS": 5, "burst": 5},
            {"name": "two", "apiKeys": [SECOND_KEY], "ratePerS": 5, "burst": 5},
        ],
    }


FAULTS = {
    "a key of two tenants": lambda c: c["tenants"][1].update(apiKeys=[FIRST_KEY]),
    "two tenants of one name": lambda c: c["tenants"][1].update(name="one"),
    "an empty key": lambda c: c["tenants"][1].update(apiKeys=[""]),
    "a tenant without a name": lambda c: c["tenants"][0].update(name=""),
    "a negative rate": lambda c: c["tenants"][0].update(ratePerS=-1),
    "a negative burst": lambda c: c["tenants"][0].update(burst=-1),
    "a rate that is no number": lambda c: c["tenants"][0].update(ratePerS=FIRST_KEY),
    "a negative limit": lambda c: c["limits"].update(maxBodyBytes=-1),
    "keys that are numbers": lambda c: c["tenants"][0].update(apiKeys=[17]),
}


@when("tenants: a configuration has {fault}")
def step_faulty(context, fault):
    configuration = _configuration()
    FAULTS[fault](configuration)
    context.read = read_configuration(json.dumps(configuration).encode())


@then('tenants: it is refused for "{reason}", and no key is shown')
def step_refused(context, reason):
    message = context.read.unwrap_err()
    assert reason in message, message
    assert FIRST_KEY not in message and SECOND_KEY not in message, message


@when("tenants: a valid configuration is declared")
def step_valid(context):
    read = read_configuration(json.dumps(_configuration()).encode())
    context.declaration = build_declaration(read.unwrap())


@then("tenants: the declaration contains no key, and each key's digest finds its tenant")
def step_digests(context):
    data = encode(context.declaration)
    assert FIRST_KEY.encode() not in data and SECOND_KEY.encode() not in data
    keys = AccessKeys()
    keys.set_tenants({tenant.name: tenant for tenant in context.declaration.tenants})
    found = [keys.tenant_of(access_key_digest(key)) for key in (FIRST_KEY, SECOND_KEY)]
    assert found == ["one", "two"], found
    assert keys.tenant_of(access_key_digest("unknown")) is None
