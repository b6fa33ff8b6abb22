"""Steps for a proxy's control client and its control store."""

from __future__ import annotations

import contextlib
from pathlib import Path
from unittest import mock

import curio
from behave import given, then, when

from features.support.scripted_controller import (
    PRESENT,
    RecordingHandler,
    ScriptedController,
    a_snapshot,
    an_update,
    keep_image,
    run_client,
)
from limedyke.messages.control import MemberHealth, MemberReport
from limedyke.proxy.control import store as control_store
from limedyke.proxy.control.client import ControlClient
from limedyke.proxy.control.report_answer_timer import ReportAnswerTimer
from limedyke.proxy.control.state_receiver import ControlStateReceiver
from limedyke.proxy.control.store import ControlStore, view_of

SHORT_S = 0.3
HALF_WRITTEN = b"\x00\x00\x10\x00half"


async def _save(folder: Path, index: int, updates: range) -> None:
    """Store a snapshot and updates, as an earlier process would have."""
    store = ControlStore(folder)
    store.open().unwrap()
    await store.save_snapshot(a_snapshot(index))
    for number in updates:
        await store.append_updates([an_update(number, number + 1)])
    store.close()


@given("proxies: a controller c1 that {script}, and a controller c2 that leads")
def _(context, script):
    context.c1 = ScriptedController("c1", "" if script == "leads" else script)
    context.c2 = ScriptedController("c2")
    context.c1.leader = context.c2.address
    context.runs_first = script != "does not run"


def _run_from_c1(
    context, until, timeout_s: float, silence_ms: int = 300, has_state: bool = True, report=None
) -> None:
    """Run a client that tries c1 first, then c2."""
    folder = context.folder / "proxy"
    if has_state:
        curio.run(_save, folder, PRESENT, range(0))
    context.handler = RecordingHandler()
    controllers = (context.c1, context.c2)
    if not context.runs_first:
        context.c1.run = curio.Event().wait
    with mock.patch(
        "limedyke.proxy.control.controller_selector.Random.randrange", lambda self, n: n - 1
    ):
        context.client, context.held = curio.run(
            run_client, folder, controllers, context.handler, until, timeout_s, silence_ms, report
        )


@when("proxies: a proxy starts with the current state on its disk and finds c1 first")
def _(context):
    _run_from_c1(context, lambda client: context.c2.heartbeats >= 3, timeout_s=3.0)


@then("proxies: it is connected to c2 within 3 s, and has never used an older state")
def _(context):
    assert context.held, (len(context.c1.hellos), len(context.c2.hellos))
    assert not context.runs_first or context.c1.hellos
    indexes = [view.control_index for view in context.handler.views]
    assert indexes and set(indexes) == {PRESENT}, indexes


@then("proxies: it was connected to c2 within {limit:d} ms, and has left no link open at c1")
def _(context, limit):
    assert context.held, (len(context.c1.hellos), len(context.c2.hellos))
    assert context.c2.first_hello_s < limit / 1_000, context.c2.first_hello_s
    if context.c1.script == "hangs after the hello":
        assert context.c1.closed_links == len(context.c1.hellos) == 1


@when("proxies: a proxy with a silence limit of {limit:d} ms finds c1 first")
def _(context, limit):
    _run_from_c1(context, lambda client: False, timeout_s=1.0, silence_ms=limit)


@when("proxies: a proxy with a silence limit of {limit:d} ms finds c1 first, and {reports} there")
def _(context, limit, reports):
    report = None
    if reports == "reports a member":
        report = MemberReport("g0", "m1", MemberHealth.UNREACHABLE, 1, 0, True)
    _run_from_c1(context, lambda client: False, 2.0, silence_ms=limit, report=report)


@then("proxies: it has left c1 after leases were granted there")
def _(context):
    assert context.c1.heartbeats > 1
    assert context.c2.hellos, len(context.c1.hellos)
    assert context.handler.leases[0] and not context.handler.leases[-1], context.handler.leases


@then('proxies: after "{events:Anything}" the leader may be silent for {seconds} s')
def _(context, events, seconds):
    silence, now, sequence = ReportAnswerTimer(), 0.0, 1
    for event in filter(None, events.split(", ")):
        at, word = event.split()
        now = float(at)
        match word:
            case "report":
                sequence += silence.report_sent(now, sequence + 1)
            case "heard":
                if silence.answer_received(sequence):
                    sequence += silence.report_sent(now, sequence + 1)
            case "heard-earlier":
                assert not silence.answer_received(sequence - 1)
            case "left":
                silence.link_closed(now)
    assert silence.remaining_s(now) == float(seconds), silence.remaining_s(now)


@then("proxies: it is connected to {name:w} after 2 s")
@then("proxies: it is connected to {name:w} after 1 s")
def _(context, name):
    beats = {"c1": context.c1.heartbeats, "c2": context.c2.heartbeats}
    assert beats["c1"] > 0 and (beats["c2"] > 0) == (name == "c2"), beats


@when("proxies: a proxy with an empty disk finds c1 first")
def _(context):
    def is_present(client) -> bool:
        return client.view is not None and client.view.control_index == PRESENT

    _run_from_c1(context, is_present, timeout_s=3.0, has_state=False)
    assert context.held


@then("proxies: it applies {indexes}, and its disk then holds {last:d}")
def _(context, indexes, last):
    used = [str(view.control_index) for view in context.handler.views]
    assert " and ".join(used) == indexes, used
    assert _index_on(context.folder / "proxy") == last


@contextlib.contextmanager
def _store_without_writes():
    with mock.patch.multiple(
        control_store, _append_file=lambda *a: None, _replace_file=lambda *a: None
    ):
        yield


@contextlib.contextmanager
def _store_that_syncs_late():
    """Write each message only when the next one arrives."""
    late = []
    append = control_store._append_file

    def append_earlier(path: Path, data: bytes) -> None:
        late.append((path, data))
        if len(late) > 1:
            append(*late.pop(0))

    with mock.patch.object(control_store, "_append_file", append_earlier):
        yield


@given("proxies: a proxy with {disk}")
def _(context, disk):
    context.disk = {
        "a disk that syncs": contextlib.nullcontext,
        "a store that writes nothing": _store_without_writes,
        "a store that syncs after applying": _store_that_syncs_late,
    }[disk]


async def _take_all(intake: ControlStateReceiver, last: int) -> None:
    (await intake.open()).unwrap()
    await intake.apply_snapshot(a_snapshot(PRESENT))
    for number in range(PRESENT, last):
        await intake.apply_update(an_update(number, number + 1))


def _index_on(image: Path) -> int:
    """Return the index that a proxy would use after a start from an image of the disk."""
    store = ControlStore(image)
    stored = store.open().unwrap()
    store.close()
    view = view_of(stored)
    return view.control_index if view else 0


@when("proxies: it takes a snapshot at 20 and updates up to {last:d}, and may crash at each")
def _(context, last):
    folder, image = context.folder / "proxy", context.folder / "image"
    context.lost = []

    def crash(view) -> None:
        keep_image(folder, image)
        if _index_on(image) < view.control_index:
            context.lost.append(view.control_index)

    handler = RecordingHandler(seen=crash)
    store = ControlStore(folder)
    intake = ControlStateReceiver(store, handler.control_changed)
    with context.disk():
        curio.run(_take_all, intake, last)
    store.close()
    assert handler.views[-1].control_index == last


@then("proxies: the disk always held {verdict}")
def _(context, verdict):
    assert (not context.lost) == (verdict == "the state in force"), context.lost


@given("proxies: a proxy accepted a snapshot at {snapshot:d} and updates up to {last:d}")
def _(context, snapshot, last):
    context.proxy_folder = context.folder / "proxy"
    curio.run(_save, context.proxy_folder, snapshot, range(snapshot, last))


@when("proxies: its journal {damage}")
def _(context, damage):
    journal = context.proxy_folder / control_store.JOURNAL_FILE
    data = bytearray(journal.read_bytes())
    last_frame = len(control_store._frame(an_update(24, 25)))
    match damage:
        case "lost the last byte":
            data = data[:-1]
        case "lost the whole last frame but 1 byte":
            data = data[: -last_frame + 1]
        case "has a flipped bit in its last frame":
            data[-2] ^= 1
        case "has a flipped bit in its snapshot":
            data[20] ^= 1
        case "is gone":
            journal.unlink()
            return
        case "has a partially written replacement":
            journal.with_suffix(journal.suffix + ".new").write_bytes(HALF_WRITTEN)
    journal.write_bytes(bytes(data))


@then("proxies: a restart uses {used}, and asks from {index:d}")
def _(context, used, index):
    store = ControlStore(context.proxy_folder)
    stored = store.open().unwrap()
    store.close()
    view = view_of(stored)
    assert (view is not None) == (used == "25 immediately"), view
    asked = stored.builder.view.control_index if stored.builder.view else 0
    assert asked == index, asked


@then("proxies: {count:d} starts on one folder have increasing incarnations and one id")
def _(context, count):
    context.starts = []
    for _ in range(count):
        store = ControlStore(context.folder / "proxy")
        context.starts.append(store.open().unwrap())
        store.close()
    incarnations = [stored.incarnation for stored in context.starts]
    assert incarnations == sorted(set(incarnations)), incarnations
    assert len({stored.folder_id for stored in context.starts}) == 1


@then("proxies: a second process on the folder is refused")
def _(context):
    first, second = ControlStore(context.folder / "proxy"), ControlStore(context.folder / "proxy")
    first.open().unwrap()
    assert second.open().is_err()
    first.close()


@then("proxies: another folder has another id")
def _(context):
    store = ControlStore(context.folder / "other")
    other = store.open().unwrap()
    store.close()
    assert other.folder_id not in ("", context.starts[0].folder_id)


@given("proxies: a proxy whose stored state orders it to drain")
def _(context):
    context.proxy_folder = context.folder / "proxy"
    curio.run(_save, context.proxy_folder, PRESENT, range(0))


@when("proxies: it starts and {event}")
def _(context, event):
    controllers = (ScriptedController("c1"),)
    if event == "reaches no controller":
        controllers[0].run = curio.Event().wait
    context.handler = RecordingHandler()
    confirmed = []
    context.handler.seen = lambda view: confirmed.append(context.client_of().view_confirmed)
    context.confirmed = confirmed
    made = []
    context.client_of = lambda: made[0]
    create = ControlClient.__init__

    def remember(client, *arguments) -> None:
        made.append(client)
        create(client, *arguments)

    with mock.patch.object(ControlClient, "__init__", remember):
        curio.run(
            run_client,
            context.proxy_folder,
            controllers,
            context.handler,
            lambda client: client.view_confirmed,
            SHORT_S if event == "reaches no controller" else 3.0,
        )


@then("proxies: the order is {verdict}")
def _(context, verdict):
    expected = [False] if verdict == "not confirmed" else [False, True]
    assert context.confirmed == expected, context.confirmed
