"""Steps for the links between controllers."""

from __future__ import annotations

import time
from unittest import mock

import curio
from behave import given, then, when

from features.support.far_address import FarAddress
from limedyke.controller import peer_network
from limedyke.controller.peer_network import PeerNetwork
from limedyke.messages.agreement import ControllerIdentity, PreVoteResponse
from limedyke.messages.handshake import PeerRole
from limedyke.transport.keepalive import Keepalive
from limedyke.transport.link import LinkIdentity, listen, serve_links

KEY = b"key"
MESSAGE = PreVoteResponse(1, 2, True)
HANGS_S = 60.0
SENDS_FOR_S = 2.0
PAUSE_S = 0.02
DIALLED_WITHIN_S, POLL_S = 2.0, 0.001


class Peer:
    """A controller's network on loopback, and the time of its first received message."""

    def __init__(self, name):
        self.identity = ControllerIdentity(name, f"{name}1")
        link_identity = LinkIdentity(PeerRole.CONTROLLER, name, KEY)
        self.listener = listen("127.0.0.1:0").ok_value
        host, port = self.listener.getsockname()
        self.address = f"{host}:{port}"
        self.received_at = None
        self.network = PeerNetwork(
            self.identity, link_identity, lambda *_: KEY, "127.0.0.1", self._receive
        )
        self._link_identity = link_identity

    async def _receive(self, _sender, _message):
        self.received_at = self.received_at or time.monotonic()

    async def start(self):
        """Keep links to peers, and accept theirs."""
        await curio.spawn(self.network.run, daemon=True)
        await curio.spawn(
            serve_links,
            self.listener,
            self._link_identity,
            lambda *_: KEY,
            self.network.serve,
            daemon=True,
        )


class _SilentSocket:
    """A silent connection: sent data is dropped, and nothing arrives."""

    def __init__(self, sock):
        self._sock = sock

    async def sendall(self, data):
        """Drop the data."""

    async def recv(self, _size):
        """Receive nothing."""
        await curio.sleep(HANGS_S)

    async def close(self):
        """Close the connection."""
        await self._sock.close()


def _keep_links(context):
    """Record the links that controllers dial."""
    context.dialled = []
    dial = peer_network.dial

    async def dial_and_keep(*arguments):
        dialled = await dial(*arguments)
        if dialled.is_ok():
            context.dialled.append(dialled.ok_value)
        return dialled

    patch = mock.patch.object(peer_network, "dial", dial_and_keep)
    patch.start()
    context.add_cleanup(patch.stop)


def _make(context):
    _keep_links(context)
    context.kernel = curio.Kernel()
    context.add_cleanup(context.kernel.run, shutdown=True)
    context.a, context.b = Peer("a"), Peer("b")


@given("controller links: controllers a and b that run without knowing each other")
def step_unknown(context):
    _make(context)
    for peer in (context.a, context.b):
        context.kernel.run(peer.start)
    context.kernel.run(curio.sleep, PAUSE_S)


@given("controller links: controllers a and b, of which b starts {late:d} ms later")
def step_late(context, late):
    _make(context)
    address = context.b.address
    context.kernel.run(context.b.listener.close)
    context.a.network.set_address("b", address)
    context.kernel.run(context.a.start)
    context.kernel.run(curio.sleep, late / 1_000)
    context.b.listener = listen(address).ok_value
    context.kernel.run(context.b.start)


@given(
    "controller links: controllers a and b that start {later:d} ms one after the other, "
    "{delay:d} ms apart"
)
def step_together(context, later, delay):
    _make(context)
    context.attempts = []
    dial = peer_network.dial

    async def count_and_dial(address, *arguments):
        context.attempts.append(address)
        return await dial(address, *arguments)

    patch = mock.patch.object(peer_network, "dial", count_and_dial)
    patch.start()
    context.add_cleanup(patch.stop)

    async def start():
        for peer, other in ((context.a, context.b), (context.b, context.a)):
            way = FarAddress(other.address, delay / 1_000)
            await curio.spawn(way.run, daemon=True)
            peer.network.set_address(other.identity.name, way.address)
        for peer in (context.a, context.b):
            await peer.start()
            await curio.sleep(later / 1_000)

    context.kernel.run(start)


@then("controller links: both are connected within {limit:d} s, and each has dialled once")
def step_both_connected(context, limit):
    async def send_both_ways():
        while context.a.received_at is None or context.b.received_at is None:
            await context.a.network.send(context.b.identity, MESSAGE)
            await context.b.network.send(context.a.identity, MESSAGE)
            await curio.sleep(PAUSE_S)

    context.kernel.run(curio.ignore_after, limit, send_both_ways)
    assert context.a.received_at and context.b.received_at, "not connected"
    assert len(context.attempts) == 2, context.attempts


@when("controller links: a learns the address of b and sends to it")
def step_learns(context):
    context.a.network.set_address("b", context.b.address)
    step_sends(context)


@when("controller links: a sends to b")
def step_sends(context):
    context.sent_at = time.monotonic()
    context.kernel.run(context.a.network.send, context.b.identity, MESSAGE)


@when("controller links: an attempt of a to reach b hangs, and then b sends to a")
def step_hangs(context):
    dial = peer_network.dial
    attempts = []

    async def dial_hanging_first(address, *arguments):
        attempts.append(address)
        if attempts == [context.b.address]:
            await curio.sleep(HANGS_S)
        return await dial(address, *arguments)

    patch = mock.patch.object(peer_network, "dial", dial_hanging_first)
    patch.start()
    context.add_cleanup(patch.stop)
    step_learns(context)
    context.kernel.run(curio.sleep, PAUSE_S)
    context.b.network.set_address("a", context.a.address)
    context.kernel.run(context.b.network.send, context.a.identity, MESSAGE)
    context.kernel.run(_wait_for_link, context)
    context.kernel.run(curio.sleep, PAUSE_S)


async def _wait_for_link(context):
    """Wait until b has dialled a; a process's first handshake alone takes up to 70 ms."""
    async with curio.timeout_after(DIALLED_WITHIN_S):
        while not context.dialled:
            await curio.sleep(POLL_S)


@when("controller links: a sends to b again and again")
def step_sends_again(context):
    context.sent_at = time.monotonic()

    async def send_until_received():
        while context.b.received_at is None:
            await context.a.network.send(context.b.identity, MESSAGE)
            await curio.sleep(PAUSE_S)

    context.kernel.run(curio.ignore_after, SENDS_FOR_S, send_until_received)


@then("controller links: b receives it within {limit:d} ms")
def step_receives_it(context, limit):
    def is_there():
        return context.b.received_at is not None

    deadline = time.monotonic() + 2.0
    while not is_there() and time.monotonic() < deadline:
        context.kernel.run(curio.sleep, PAUSE_S)
    assert is_there(), "it never came"
    took_ms = (context.b.received_at - context.sent_at) * 1_000
    assert took_ms < limit, took_ms


async def _never_probe(_keepalive):
    await curio.sleep(HANGS_S)


@given('controller links: the safeguard "keepalive" is {state:w}')
def step_safeguard(context, state):
    if state == "off":
        patch = mock.patch.object(Keepalive, "run", _never_probe)
        patch.start()
        context.add_cleanup(patch.stop)


@when("controller links: the link from a to b goes silent, and is {used:w} for {rest:d} ms")
def step_goes_silent(context, used, rest):
    link = context.dialled[0]
    link._socket = _SilentSocket(link._socket)
    context.kernel.run(curio.sleep, rest / 1_000)
    context.b.received_at = None


@when("controller links: {milliseconds:d} ms pass")
def step_pass(context, milliseconds):
    context.kernel.run(curio.sleep, milliseconds / 1_000)


@then("controller links: b receives it within {limit:d} ms is {verdict:w}")
def step_receives_it_is(context, limit, verdict):
    received_at = context.b.received_at
    in_time = received_at is not None and (received_at - context.sent_at) * 1_000 < limit
    assert in_time is (verdict == "true"), received_at


@then("controller links: a has dialled b once")
def step_dialled_once(context):
    assert len(context.dialled) == 1, context.dialled
