"""Steps on the links between controllers."""

from __future__ import annotations

import time
from unittest import mock

import curio
from behave import given, then, when

from limedyke.controller import peer_network
from limedyke.controller.peer_network import PeerNetwork
from limedyke.messages.agreement import ControllerIdentity, PreVoteResponse
from limedyke.messages.handshake import PeerRole
from limedyke.transport.link import LinkIdentity, listen, serve_links

KEY = b"key"
MESSAGE = PreVoteResponse(1, 2, True)
HANGS_S = 5.0
PAUSE_S = 0.02


class Peer:
    """A controller's network on loopback, and when it first received something."""

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
        """Keep links, and take those of others."""
        await curio.spawn(self.network.run, daemon=True)
        await curio.spawn(
            serve_links,
            self.listener,
            self._link_identity,
            lambda *_: KEY,
            self.network.serve,
            daemon=True,
        )


def _make(context):
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


@when("controller links: a learns of b and sends to it")
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
    context.kernel.run(curio.sleep, 3 * PAUSE_S)


@when("controller links: a sends to b again and again")
def step_sends_again(context):
    context.sent_at = time.monotonic()

    async def send_until_received():
        while context.b.received_at is None:
            await context.a.network.send(context.b.identity, MESSAGE)
            await curio.sleep(PAUSE_S)

    context.kernel.run(curio.ignore_after, 2.0, send_until_received)


@then("controller links: b has it within {limit:d} ms")
def step_has_it(context, limit):
    def is_there():
        return context.b.received_at is not None

    deadline = time.monotonic() + 2.0
    while not is_there() and time.monotonic() < deadline:
        context.kernel.run(curio.sleep, PAUSE_S)
    assert is_there(), "it never came"
    took_ms = (context.b.received_at - context.sent_at) * 1_000
    assert took_ms < limit, took_ms
