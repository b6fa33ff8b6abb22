"""Steps for the closing of idle and surplus forwarding links, and the cost of open ones."""

from __future__ import annotations

import dataclasses
import gc
import time
from unittest import mock

import curio
import psutil
from behave import given, then, when

from limedyke.messages.control import ProxyRecord, ProxyState
from limedyke.messages.handshake import PeerRole
from limedyke.messages.work import (
    Access,
    AnswerEnd,
    LinkProbe,
    LogPosition,
    Priority,
    TransactionStatus,
    WorkUnit,
)
from limedyke.proxy.control.view import ControlView
from limedyke.proxy.forwarding import link as forwarding_link
from limedyke.proxy.forwarding import server as forwarding_server
from limedyke.proxy.forwarding.executor import ForwardingExecutor
from limedyke.settings.proxy import ProxySettings
from limedyke.settings.secrets import Secrets
from limedyke.transport.link import LinkClosedError, LinkIdentity, listen, serve_links

KEY = b"key"
TRANSACTION = 9
WAIT_S = 5.0
LONGER_S = 0.5
UNIT_DEADLINE_MS = 5_000


def make_unit(number, group):
    """Return a read of a group that its home proxy answers with nothing."""
    return WorkUnit(
        stream=number,
        tenant="tenant",
        group=group,
        access=Access.READ,
        priority=Priority.INTERACTIVE,
        transaction=0,
        required=LogPosition(),
        barrier=False,
        repeatable=True,
        once_key="",
        staleness_ms=0,
        deadline_ms=UNIT_DEADLINE_MS,
        prepared=(),
        settings=(),
        data=b"",
    )


class _CountingExecutor:
    """The executor of a served link; counts the checks of an idle link."""

    def __init__(self):
        self.checks = 0

    def has_transactions_of(self, _origin):
        """Count a check; no transaction is ever open here."""
        self.checks += 1
        return False

    def has_transaction(self, _key):
        """Return that no transaction is open here."""
        return False

    async def run(self, unit, _relay, _origin):
        """Answer a unit at once."""
        return AnswerEnd(unit.stream, TransactionStatus.IDLE, LogPosition(), "", False)

    async def abandon_origin(self, _origin):
        """Ignore the end of a link."""


class _Homes:
    """All home proxies, behind one address; the answers to held units wait for ``go_on``."""

    def __init__(self):
        self.go_on = curio.Event()
        self.links = 0
        self.address = ""
        self.server = None

    async def start(self):
        """Accept links."""
        listener = listen("127.0.0.1:0").ok_value
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        identity = LinkIdentity(PeerRole.PROXY, "home", KEY)
        await curio.spawn(serve_links, listener, identity, lambda *_: KEY, self._serve, daemon=True)

    async def _serve(self, link):
        self.links += 1
        if self.server is not None:
            await self.server.serve(link)
        while True:
            message = await link.receive()
            if isinstance(message, LinkProbe):
                await link.send(LinkProbe(message.sequence, True))
            elif isinstance(message, WorkUnit):
                await curio.spawn(self._answer, link, message, daemon=True)

    async def _answer(self, link, unit):
        if unit.data == b"held":
            await self.go_on.wait()
        status = TransactionStatus.IN_TRANSACTION if unit.transaction else TransactionStatus.IDLE
        try:
            await link.send(AnswerEnd(unit.stream, status, LogPosition(), "", False))
        except LinkClosedError:
            return


class _Links:
    """The forwarding side of a proxy on its own kernel, with home proxies behind one address."""

    def __init__(self, folder, homes, **settings):
        self.kernel = curio.Kernel()
        self.homes = _Homes()
        self.kernel.run(self.homes.start)
        checked = ProxySettings(
            name="p0",
            zone="z1",
            data_folder=folder,
            secrets_file=folder / "secrets",
            status_listen="127.0.0.1:0",
            client_listen="127.0.0.1:0",
            link_listen="127.0.0.1:0",
            link_advertise="127.0.0.1:0",
            controllers=("127.0.0.1:1",),
            **settings,
        )
        self.executor = ForwardingExecutor(checked, Secrets({"cluster": "key"}), self._wait)
        records = {
            home: ProxyRecord(home, 1, self.homes.address, "z1", ProxyState.SERVING)
            for home in homes
        }
        view = ControlView(1, 1, proxies=records, homes={home: (home,) for home in homes})
        self.executor.control_changed(view)
        self._stream = 0

    async def _wait(self, until):
        await curio.sleep(0.01)
        return time.monotonic() < until

    def ask(self, home, transaction=0, data=b""):
        """Start a write at a home proxy; return its task."""
        self._stream += 1
        unit = dataclasses.replace(
            make_unit(self._stream, home),
            access=Access.WRITE,
            repeatable=False,
            transaction=transaction,
            data=data,
        )
        return self.kernel.run(curio.spawn, self.executor.run, unit, _ignore)

    def end_of(self, task):
        """Return the end of a unit's answer."""
        return self.kernel.run(task.join)

    def is_open(self, home):
        """Tell whether the link to a home proxy is open."""
        link = self.executor.links.get(home)
        return link is not None and not link.closed

    def is_busy(self, home):
        """Tell whether a unit is on the link to a home proxy."""
        return self.is_open(home) and bool(self.executor.links.get(home)._streams)

    def wait(self, condition):
        """Run tasks until a condition holds."""
        deadline = time.monotonic() + WAIT_S
        while not condition():
            assert time.monotonic() < deadline, "condition not reached in time"
            self.kernel.run(curio.sleep, 0.01)


async def _ignore(_chunk):
    """Ignore a part of an answer."""


def _make(context, last, **settings):
    context.homes = [f"p{number}" for number in range(1, last + 1)]
    context.links = _Links(context.folder, context.homes, **settings)
    context.add_cleanup(context.links.kernel.run, shutdown=True)


@given(
    "links: a proxy that closes links idle for {limit_ms:d} ms, and home proxies p1 to p{last:d}"
)
def step_idle_limit(context, limit_ms, last):
    context.limit_ms = limit_ms
    _make(context, last, home_link_idle_ms=limit_ms)


@given("links: a proxy that keeps {limit:d} links, and home proxies p1 to p{last:d}")
def step_limit(context, limit, last):
    _make(context, last, maximum_home_links=limit)


async def _watch_all_the_time(link):
    """Check a link at fixed intervals, idle or not."""
    while not link.closed:
        if link.is_busy and await link._fell_silent():
            return
        await curio.sleep(forwarding_link.CHECK_INTERVAL_S)


async def _watch_served_all_the_time(link):
    """Check a link at fixed intervals, idle or not, on the home proxy's side."""
    while not await link._fell_silent():
        await curio.sleep(forwarding_server.CHECK_INTERVAL_S)


_HOME_LINK = forwarding_link.HomeLink
_SERVED_LINK = forwarding_server._ServedLink
SAFEGUARDS = {
    "work keeps a link open": ((_HOME_LINK, "is_busy", property(lambda _link: False)),),
    "idle links wait for work": (
        (_HOME_LINK, "_watch", _watch_all_the_time),
        (_SERVED_LINK, "_watch_silence", _watch_served_all_the_time),
    ),
}


@given('links: the safeguard "{name}" is {state}')
def step_safeguard(context, name, state):
    if state == "off":
        for changed, attribute, replacement in SAFEGUARDS[name]:
            patch = mock.patch.object(changed, attribute, replacement)
            patch.start()
            context.add_cleanup(patch.stop)


@given("links: links used less than {recent_s:d} s ago stay")
def step_recent(context, recent_s):
    patch = mock.patch.object(forwarding_link, "RECENT_USE_S", recent_s)
    patch.start()
    context.add_cleanup(patch.stop)


@when("links: the link to p1 has {work} for longer than that")
def step_work(context, work):
    links = context.links
    transaction = TRANSACTION if work == "an open transaction" else 0
    first = links.ask("p1", transaction)
    assert links.end_of(first).code == 0
    context.left = links.ask("p1", data=b"held") if work == "a write" else None
    context.transaction = transaction
    if context.left:
        links.wait(lambda: links.homes.links >= 1)
    links.kernel.run(curio.sleep, LONGER_S)


@then("links: the link to p1 is {state}")
def step_state(context, state):
    links = context.links
    if state == "closed":
        links.wait(lambda: not links.is_open("p1"))
    assert links.is_open("p1") is (state == "open")


def _check_told(end, told):
    assert end.code == (0 if told == "done" else int(told)), end


@then("links: the caller is told {told}")
def step_told(context, told):
    links = context.links
    links.kernel.run(links.homes.go_on.set)
    left = context.left
    if left is None and context.transaction:
        left = links.ask("p1", context.transaction)
    if left is not None:
        _check_told(links.end_of(left), told)


@when("links: p1, p2, p3 are used in this order, with a write running on {busy}")
def step_used(context, busy):
    links = context.links
    context.writes_left = []
    for home in ("p1", "p2", "p3"):
        assert links.end_of(links.ask(home)).code == 0
    for home in ("p1", "p2", "p3"):
        if home in busy:
            context.writes_left.append(links.ask(home, data=b"held"))
            links.wait(lambda home=home: links.is_busy(home))
            links.executor.links.get(home).used_at -= LONGER_S


@when("links: p4 is used")
def step_one_more(context):
    assert context.links.end_of(context.links.ask("p4")).code == 0


@then("links: the links open are {names}")
def step_open(context, names):
    expected = set(names.split(", "))
    links = context.links
    found = {home for home in ("p1", "p2", "p3", "p4") if links.is_open(home)}
    assert found == expected, found


@then("links: running writes are told {told}")
def step_left(context, told):
    links = context.links
    links.kernel.run(links.homes.go_on.set)
    for task in context.writes_left:
        _check_told(links.end_of(task), told)


@then("links: a further write at p1 is done, over a second link")
def step_again(context):
    links = context.links
    assert links.end_of(links.ask("p1")).code == 0
    assert links.homes.links == 2, links.homes.links


@when("links: the link to p1 is idle for {looks:d} check intervals")
def step_idle_checks(context, looks):
    links = context.links
    executor = _CountingExecutor()
    links.homes.server = forwarding_server.ForwardingServer(executor)
    assert links.end_of(links.ask("p1")).code == 0
    links.kernel.run(curio.sleep, 3 * forwarding_link.CHECK_INTERVAL_S)
    checked = []
    busy = forwarding_link.HomeLink.is_busy.fget

    def count(link):
        checked.append(link)
        return busy(link)

    executor.checks = 0
    with mock.patch.object(forwarding_link.HomeLink, "is_busy", property(count)):
        links.kernel.run(curio.sleep, looks * forwarding_link.CHECK_INTERVAL_S)
    context.checks = {"the proxy": len(checked), "the home proxy": executor.checks}


@then("links: {end} has checked it more than once is {verdict}")
def step_checked(context, end, verdict):
    assert (context.checks[end] > 1) is (verdict == "true"), context.checks


def _descriptors(links):
    """Return the open descriptors: all, those of dialled links, those of accepted ones.

    Sockets left over from earlier scenarios are garbage-collected first.
    """
    gc.collect()
    process = psutil.Process()
    address = tuple(links.homes.address.rsplit(":", 1))
    home = (address[0], int(address[1]))
    sockets = [socket for socket in process.net_connections("tcp4") if socket.raddr]
    dialled = sum(socket.raddr == home for socket in sockets)
    accepted = sum(socket.laddr == home for socket in sockets)
    return process.num_fds(), dialled, accepted


@when("links: the links to all home proxies are used")
def step_all_used(context):
    links = context.links
    context.before = _descriptors(links)
    for home in context.homes:
        assert links.end_of(links.ask(home)).code == 0


@then(
    "links: {dialled:d} descriptors were taken where links were dialled, {accepted:d} where they "
    "were accepted, no others"
)
def step_taken(context, dialled, accepted):
    found = _descriptors(context.links)
    taken = [after - before for after, before in zip(found, context.before, strict=True)]
    assert taken == [dialled + accepted, dialled, accepted], taken


@then("links: all of these descriptors are closed once the links have been idle")
def step_given_back(context):
    links = context.links
    links.wait(lambda: _descriptors(links) == context.before)
