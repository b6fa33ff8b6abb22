"""Steps for authenticated links, including peers that violate the protocol."""

from __future__ import annotations

import hashlib
import hmac
import os
import struct

import curio
import ormsgpack
from behave import then, when
from curio import socket

from limedyke.messages.codec import decode, encode
from limedyke.messages.control import NotLeader, ProxyHeartbeat, ProxyState
from limedyke.messages.handshake import PROTOCOL_VERSION, LinkHello, LinkProof, PeerRole
from limedyke.messages.registry import KIND_BY_CLASS
from limedyke.result_codes import ResultCode
from limedyke.transport.compression import MessageCompressor
from limedyke.transport.framing import MAXIMUM_FRAME_BYTES, FrameReader, frame, stream_frame
from limedyke.transport.link import (
    Link,
    LinkClosedError,
    LinkIdentity,
    dial,
    listen,
    serve_links,
)

SERVING = ProxyState.SERVING
CLUSTER_KEY = b"cluster key"
OPERATOR_KEY = b"operator key"
WRONG_KEY = b"another key"
HOST = "127.0.0.1"
SCENARIO_TIMEOUT_S = 20.0
LARGE_MESSAGE_BYTES = 32 * 1024 * 1024
CONTROLLER = LinkIdentity(PeerRole.CONTROLLER, "c1", CLUSTER_KEY)
PROXY = LinkIdentity(PeerRole.PROXY, "p1", CLUSTER_KEY)


def _controller_keys(role: PeerRole, name: str) -> bytes | None:
    if role is PeerRole.OPERATOR:
        return OPERATOR_KEY if name == "anna" else None
    return CLUSTER_KEY


def _cluster_keys(role: PeerRole, name: str) -> bytes:
    return CLUSTER_KEY


class Controller:
    """A listening controller that echoes messages."""

    def __init__(self) -> None:
        self.links: list[Link] = []
        self.messages: list[object] = []

    async def handle(self, link: Link) -> None:
        """Echo the messages of one link."""
        self.links.append(link)
        while True:
            message = await link.receive()
            self.messages.append(message)
            await link.send(message)


def _run(scenario, identity: LinkIdentity = CONTROLLER):
    """Run ``scenario(address, controller)`` while a controller serves links."""

    async def main():
        controller = Controller()
        sock = listen(f"{HOST}:0").unwrap()
        address = f"{HOST}:{sock.getsockname()[1]}"
        server = await curio.spawn(serve_links, sock, identity, _controller_keys, controller.handle)
        try:
            async with curio.timeout_after(SCENARIO_TIMEOUT_S):
                return controller, await scenario(address, controller)
        finally:
            await server.cancel()
            await sock.close()

    return curio.run(main)


class RawPeer:
    """A connection that sends arbitrary frames."""

    def __init__(self, sock) -> None:
        self.sock = sock
        self._reader = FrameReader()
        self._frames: list[bytes] = []

    @classmethod
    async def connect(cls, address: str) -> RawPeer:
        """Connect to ``ip:port``."""
        host, port = address.split(":")
        return cls(await curio.open_connection(host, int(port)))

    async def receive(self) -> bytes | None:
        """Return the next message, or None if the connection ends."""
        while not self._frames:
            try:
                data = await self.sock.recv(65536)
            except OSError:
                return None
            if not data:
                return None
            self._frames += self._reader.feed(data)
        return self._frames.pop(0)

    async def receive_plain(self) -> bytes:
        """Return the message of the next frame, which must be uncompressed."""
        header = await self._exactly(4)
        return await self._exactly(struct.unpack("!I", header)[0])

    async def _exactly(self, size: int) -> bytes:
        data = b""
        while len(data) < size:
            data += await self.sock.recv(size - len(data))
        return data

    async def send(self, data: bytes) -> None:
        """Send one frame; ignore a closed connection."""
        try:
            await self.sock.sendall(frame(data))
        except OSError:
            return


async def _echo_messages(address: str, identity: LinkIdentity, keys, count: int):
    opened = await dial(address, identity, keys)
    if opened.is_err():
        return opened, []
    link = opened.ok_value
    received = []
    for number in range(count):
        await link.send(NotLeader(str(number)))
        received.append(await link.receive())
    return opened, received


@when("link: a proxy dials a controller with the same key")
def step_same_key(context):
    context.identity, context.keys = PROXY, _cluster_keys


@when("link: an operator dials a controller with the operator's key")
def step_operator(context):
    context.identity = LinkIdentity(PeerRole.OPERATOR, "anna", OPERATOR_KEY)
    context.keys = lambda role, name: OPERATOR_KEY


@then("link: the link opens and {count:d} messages come back in order")
def step_echo(context, count):
    context.controller, (opened, received) = _run(
        lambda address, _: _echo_messages(address, context.identity, context.keys, count)
    )
    context.link = opened.unwrap()
    assert [message.leader for message in received] == [str(n) for n in range(count)]


@then("link: the link opens and {count:d} heartbeats of {size:d} bytes come back in order")
def step_heartbeats(context, count, size):
    sent = [ProxyHeartbeat(number, 20 + number // 10, 5, SERVING, 20) for number in range(count)]
    assert size <= len(encode(sent[0])) < size + 10

    async def exchange(address, _):
        link = (await dial(address, context.identity, context.keys)).unwrap()
        context.link = link
        context.bytes_before = link.counters.bytes_out
        return [await _echo(link, message) for message in sent]

    context.controller, received = _run(exchange)
    context.heartbeats = count
    assert received == sent


async def _echo(link: Link, message: object) -> object:
    await link.send(message)
    return await link.receive()


@then("link: the heartbeats took less than {limit:d} bytes each")
def step_few_bytes(context, limit):
    sent = context.link.counters.bytes_out - context.bytes_before
    assert sent < limit * context.heartbeats, sent


@when("link: a peer that doesn't announce compression sends {count:d} messages")
def step_previous_version(context, count):
    async def scenario(address, controller):
        peer = await RawPeer.connect(address)
        await _prove(peer, compresses=None)
        for number in range(count):
            await peer.send(encode(NotLeader(str(number))))
        return [await peer.receive_plain() for _ in range(count)]

    context.controller, context.received = _run(scenario)


@then("link: the controller received {count:d} messages")
def step_received_messages(context, count):
    expected = [NotLeader(str(number)) for number in range(count)]
    assert context.controller.messages == expected, context.controller.messages


@then("link: the peer received {count:d} uncompressed messages back")
def step_uncompressed(context, count):
    assert context.received == [encode(NotLeader(str(number))) for number in range(count)]


@when("link: a peer sends a compressed message and then {damage}")
def step_damage(context, damage):
    async def scenario(address, controller):
        peer = await RawPeer.connect(address)
        await _prove(peer, compresses=True)
        compressor = MessageCompressor()
        await peer.sock.sendall(stream_frame(compressor.compress(encode(NotLeader("0")))))
        assert await peer.receive() == encode(NotLeader("0"))
        await peer.sock.sendall(_damaged(damage, compressor))
        context.was_closed = await peer.receive() is None

    context.controller, _ = _run(scenario)


def _damaged(damage: str, compressor: MessageCompressor) -> bytes:
    match damage:
        case "compressed bytes that are damaged":
            return stream_frame(b"\xff" * 20)
        case "a frame with both compression flags set":
            (length,) = struct.unpack("!I", stream_frame(b"x")[:4])
            return struct.pack("!I", length | 0x8000_0000) + b"x"
        case "a compressed message above the limit":
            return stream_frame(compressor.compress(bytes(MAXIMUM_FRAME_BYTES + 1)))
    raise AssertionError(f"unknown damage {damage}")


@then("link: the controller closed the link")
def step_link_closed(context):
    assert context.was_closed


@then("link: both ends count the same messages and bytes")
def step_counters(context):
    near, far = context.link.counters, context.controller.links[0].counters
    assert (near.messages_out, near.bytes_out) == (far.messages_in, far.bytes_in)
    assert (near.messages_in, near.bytes_in) == (far.messages_out, far.bytes_out)


async def _dial_and_send(address: str, identity: LinkIdentity) -> None:
    opened = await dial(address, identity, lambda role, name: identity.key)
    if opened.is_err():
        return
    try:
        await opened.ok_value.send(NotLeader("forged"))
        await opened.ok_value.receive()
    except LinkClosedError:
        return


async def _reflect_hello(address: str) -> None:
    peer = await RawPeer.connect(address)
    hello = await peer.receive()
    await peer.send(hello)
    proof = await peer.receive()
    await peer.send(proof or b"")
    await peer.send(encode(NotLeader("forged")))
    await peer.receive()


async def _relay_hellos(address: str) -> None:
    first = await RawPeer.connect(address)
    second = await RawPeer.connect(address)
    first_hello, second_hello = await first.receive(), await second.receive()
    await first.send(second_hello)
    await second.send(first_hello)
    first_proof, second_proof = await first.receive(), await second.receive()
    await first.send(second_proof or b"")
    await second.send(first_proof or b"")
    await first.send(encode(NotLeader("forged")))
    await first.receive()


async def _send_bytes(address: str, *payloads: bytes) -> None:
    peer = await RawPeer.connect(address)
    await peer.receive()
    for payload in payloads:
        await peer.sock.sendall(payload)
    while await peer.receive() is not None:
        continue


async def _prove(
    peer: RawPeer, version: int = PROTOCOL_VERSION, compresses: bool | None = None
) -> None:
    """Send the hello and prove the cluster key, as a dialler does.

    :param compresses: None omits the field, as the previous version does
    """
    nonce = os.urandom(16)
    fields = {"version": version, "role": "proxy", "name": "p1", "nonce": nonce}
    if compresses is not None:
        fields["compresses"] = compresses
    hello = decode(await peer.receive()).unwrap()
    text = b"|".join([b"dialler", b"proxy", b"p1", nonce, hello.nonce])
    proof = hmac.new(CLUSTER_KEY, text, hashlib.sha256).digest()
    await peer.send(ormsgpack.packb((KIND_BY_CLASS[LinkHello], fields)))
    await peer.send(encode(LinkProof(proof)))
    if version == PROTOCOL_VERSION:
        assert isinstance(decode(await peer.receive()).unwrap(), LinkProof)


async def _prove_with_version(address: str, version: int) -> None:
    peer = await RawPeer.connect(address)
    await _prove(peer, version)
    await peer.send(encode(NotLeader("forged")))
    while await peer.receive() is not None:
        continue


async def _misbehave(peer: str, address: str) -> None:
    forged = frame(encode(NotLeader("forged")))
    match peer:
        case "a proxy with a wrong key":
            await _dial_and_send(address, LinkIdentity(PeerRole.PROXY, "p1", WRONG_KEY))
        case "an operator that is not declared":
            await _dial_and_send(address, LinkIdentity(PeerRole.OPERATOR, "eve", OPERATOR_KEY))
        case "an operator with the cluster's key":
            await _dial_and_send(address, LinkIdentity(PeerRole.OPERATOR, "anna", CLUSTER_KEY))
        case "a peer that sends the hello back":
            await _reflect_hello(address)
        case "a peer that relays hellos between two links":
            await _relay_hellos(address)
        case "a peer that sends a proof first":
            await _send_bytes(address, frame(encode(LinkProof(b"x" * 32))), forged)
        case "a peer of another protocol version":
            await _prove_with_version(address, PROTOCOL_VERSION + 1)
        case "a peer that announces a frame above the limit":
            await _send_bytes(address, struct.pack("!I", MAXIMUM_FRAME_BYTES + 1))
        case "a peer that sends random bytes":
            await _send_bytes(address, frame(b"\x00" * 40), forged)
        case _:
            raise AssertionError(f"unknown peer {peer}")


@when("link: the controller is contacted by {peer}")
def step_misbehave(context, peer):
    async def scenario(address, controller):
        try:
            async with curio.timeout_after(SCENARIO_TIMEOUT_S / 2):
                await _misbehave(peer, address)
        except OSError:
            return

    context.controller, _ = _run(scenario)


@then("link: the controller accepts no message from it")
def step_no_message(context):
    assert context.controller.messages == [], context.controller.messages
    assert context.controller.links == []


@when("link: a peer that sends nothing dials a controller")
def step_silent(context):
    async def scenario(address, controller):
        peer = await RawPeer.connect(address)
        started = await curio.clock()
        while await peer.receive() is not None:
            continue
        return await curio.clock() - started

    context.controller, context.closed_after_s = _run(scenario)


@then("link: the controller closes the connection within {limit:d} seconds")
def step_closed(context, limit):
    assert context.closed_after_s < limit, context.closed_after_s
    assert context.controller.links == []


@when("link: a proxy dials a controller that has a wrong key")
def step_wrong_controller(context):
    impostor = LinkIdentity(PeerRole.CONTROLLER, "c1", WRONG_KEY)
    _, context.opened = _run(lambda address, _: dial(address, PROXY, _cluster_keys), impostor)


@when("link: a proxy dials an address where nobody listens")
def step_nobody(context):
    sock = socket.socket()
    sock.bind((HOST, 0))
    address = f"{HOST}:{sock.getsockname()[1]}"
    context.opened = curio.run(dial, address, PROXY, _cluster_keys)


@when("link: a proxy dials a peer that accepts and closes at once")
def step_closes(context):
    async def main():
        listener = listen("127.0.0.1:0").unwrap()
        host, port = listener.getsockname()[:2]
        closing = await curio.spawn(_accept_and_close, listener)
        opened = await dial(f"{host}:{port}", PROXY, _cluster_keys)
        await closing.join()
        await listener.close()
        return opened

    context.opened = curio.run(main)


async def _accept_and_close(listener) -> None:
    client, _ = await listener.accept()
    await client.close()


@then("link: the dial fails with {code}")
def step_dial_fails(context, code):
    assert context.opened.is_err()
    assert context.opened.err_value.code is ResultCode[code], context.opened


@when("link: a send to a peer that does not read times out")
def step_send_times_out(context):
    async def main():
        near, far = socket.socketpair()
        link = Link(near)
        context.error = None
        try:
            async with curio.timeout_after(0.2):
                await link.send(NotLeader("x" * LARGE_MESSAGE_BYTES))
        except curio.TaskTimeout:
            pass
        try:
            async with curio.timeout_after(0.2):
                await link.send(NotLeader("next"))
        except (LinkClosedError, curio.TaskTimeout) as error:
            context.error = error
        await link.close()
        await far.close()

    curio.run(main)


@then("link: the next send fails as the link is closed")
def step_send_fails(context):
    assert isinstance(context.error, LinkClosedError), context.error
