"""Steps for invalid records of members."""

from __future__ import annotations

import dataclasses
import json
import time

import curio
import logbook
from behave import given, then, when
from curio import socket
from result import Err, Ok

from documents import read_announcement
from features.steps.statement_path_steps import begin, run
from features.support import platform_path  # noqa: F401
from features.support.announced_world import AnnouncedWorld
from features.support.statement_path import GROUP, StatementPath
from limedyke.core.member_record import is_name
from limedyke.messages.codec import decode, encode
from limedyke.messages.control import ControlUpdate, MemberHealth
from limedyke.messages.control_entries import RecordMembers
from limedyke.messages.databases import AnnouncedMember, Consistency, MemberState

BORN_MS = 1_790_000_000_123
MESSAGE = {
    "service": "g",
    "address": "10.0.0.1:8080",
    "zone": "z1",
    "version": "v1",
    "capacity": 3,
    "state": "ready",
    "warmupLeftMs": 0,
    "dbRole": "replica",
    "callSeq": 4,
    "born": BORN_MS,
}
SILENT_S = 0.3
FOREIGN = "d"


def _read(message: object) -> Ok | Err:
    return read_announcement(json.dumps(message).encode())


@when("foreign records: a member announces itself")
def step_announces(context):
    context.read = _read(MESSAGE)


@when('foreign records: a member announces itself, without "born"')
def step_announces_unborn(context):
    context.read = _read({name: value for name, value in MESSAGE.items() if name != "born"})


@then("foreign records: it is accepted, with its start time")
def step_taken(context):
    assert context.read.ok_value.born_ms == BORN_MS, context.read


@then("foreign records: it is accepted, without a start time")
def step_taken_unborn(context):
    assert context.read.ok_value.born_ms == 0, context.read


@then('foreign records: it is refused without "{field}", naming the field')
def step_missing(context, field):
    read = _read({name: value for name, value in MESSAGE.items() if name != field})
    assert isinstance(read, Err) and field in read.err_value, (field, read)


@then('foreign records: it is refused with each of {values} as "{field}", naming the field')
def step_other_type(context, values, field):
    for value in json.loads(f"[{values}]"):
        read = _read({**MESSAGE, field: value})
        assert isinstance(read, Err) and field in read.err_value, (field, value, read)


@when('foreign records: a member announces itself with "{data:Anything}"')
def step_bytes(context, data):
    context.read = read_announcement(data.encode().decode("unicode_escape").encode("latin-1"))


@then("foreign records: it is refused")
def step_refused(context):
    assert isinstance(context.read, Err), context.read


@when('foreign records: a member announces itself as "{identity:Anything}"')
def step_identity(context, identity):
    text = identity.encode().decode("unicode_escape")
    context.read = Ok(text) if is_name(text) else Err(text)


def _record(kind: str, port: int) -> AnnouncedMember:
    """Return an invalid record of a member of the group.

    :param port: a port with a listener
    """
    good = AnnouncedMember(
        FOREIGN, GROUP, f"127.0.0.1:{port}", "z2", "v1", 3, MemberState.READY, False
    )
    match kind:
        case "an address without a port":
            return dataclasses.replace(good, address="127.0.0.1")
        case "an address that is a name":
            return dataclasses.replace(good, address=f"localhost:{port}")
        case "an identity with a blank":
            return dataclasses.replace(good, identity="d e")
        case "an unknown state":
            return dataclasses.replace(good, state=MemberState("paused"))
    raise AssertionError(kind)


@given(
    "foreign records: a proxy with primary a, replicas b and c, and {kind} as a member of the group"
)
def step_proxy(context, kind):
    handler = logbook.TestHandler()
    handler.push_application()
    context.add_cleanup(handler.pop_application)
    context.lines = handler
    path = StatementPath(Consistency.SESSION)
    begin(context, path)
    context.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    context.listener.bind(("127.0.0.1", 0))
    context.listener.listen(16)
    context.record = _record(kind, context.listener.getsockname()[1])
    make_view = path.make_view

    def with_record():
        view = make_view()
        announced = {**view.announced, context.record.identity: context.record}
        return dataclasses.replace(view, announced=announced)

    path.make_view = with_record
    run(context, path.start)

    async def watch() -> None:
        context.watching = await curio.spawn(path.groups.watch)

    run(context, watch)


@when(
    "foreign records: a client writes and reads for {period:d} ms, one member silent for a moment"
)
def step_load(context, period):
    run(context, _load, context, period / 1_000)


async def _load(context, seconds: float) -> None:
    path = context.path
    client, _ = await path.connect()
    context.told = []
    end = time.monotonic() + seconds
    silence = await curio.spawn(_be_silent, path)
    while time.monotonic() < end:
        for text in ("WRITE x 1", "READ x"):
            context.told.append(await client.ask(text))
        await path.tell_view()
    await silence.join()


async def _be_silent(path: StatementPath) -> None:
    """Make the proxy probe members: b does not answer for a moment."""
    await curio.sleep(SILENT_S)
    path.group.members["b"].faults.silent = True
    await curio.sleep(SILENT_S)
    path.group.members["b"].faults.silent = False


@then("foreign records: every statement succeeded")
def step_done(context):
    assert set(context.told) <= {"done I", "1 done I"}, set(context.told)
    assert not context.watching.terminated


@then("foreign records: no connection to the record was attempted, and it was logged once")
def step_not_tried(context):
    assert context.record.identity not in context.path.groups.groups[GROUP].pools
    with context.listener.blocking() as raw:
        raw.setblocking(False)
        try:
            raw.accept()
        except BlockingIOError:
            pass
        else:
            raise AssertionError("the record was connected to")
    lines = [record.message for record in context.lines.records]
    named = [line for line in lines if line.startswith("event=member-unusable ")]
    assert len(named) == 1, named


@given(
    "foreign records: a leader whose group has primary a, replica c, and b with an address "
    "without a port"
)
def step_leader(context):
    world = context.world = AnnouncedWorld({"a": "primary", "b": "replica", "c": "replica"})
    world.members["b"] = dataclasses.replace(world.members["b"], address="127.0.0.98")
    world.apply(RecordMembers((world.members["b"],)))
    world.run(1.0)


@when("foreign records: a is reported unreachable by all")
def step_unreachable(context):
    context.world.report("p q r", "a", MemberHealth.UNREACHABLE)
    context.world.run(1.0)


@then("foreign records: promotion is requested of {name:w}")
def step_asked_of(context, name):
    assert context.world.calls[-1].member == name, context.world.calls


@when('foreign records: a record in the state "{state:w}" is read from a link')
def step_later_state(context, state):
    good = AnnouncedMember("a", "g", "10.0.0.1:1", "z", "v", 3, MemberState.READY, True)
    odd = dataclasses.replace(good, identity="b", state=MemberState.DRAINING)
    data = encode(ControlUpdate(1, 2, 1, announced=(good, odd)))
    data = data.replace(b"\xa8draining", bytes([0xA0 + len(state)]) + state.encode())
    context.update = decode(data).unwrap()


@then("foreign records: its member is not used, and the others of the message are valid")
def step_others_hold(context):
    states = [member.state for member in context.update.announced]
    assert states == [MemberState.READY, MemberState.UNKNOWN], states
