"""Links between the system's own processes: authenticated TCP connections with framed messages."""

from __future__ import annotations

import enum
import hashlib
import hmac
import os
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio
from curio import socket
from curio.io import Socket
from result import Err, Ok, Result

from limedyke.addresses import split_address
from limedyke.messages.codec import decode, encode
from limedyke.messages.handshake import (
    PROTOCOL_VERSION,
    LinkHello,
    LinkProof,
    LinkRefused,
    PeerRole,
)
from limedyke.messages.registry import KIND_BY_CLASS
from limedyke.result_codes import Failure, ResultCode
from limedyke.transport.compression import MessageCompressor
from limedyke.transport.early_listeners import LISTEN_BACKLOG, take_listener
from limedyke.transport.framing import FrameError, FrameReader, frame, stream_frame
from limedyke.transport.traffic import (
    NO_METER,
    Direction,
    Distance,
    Place,
    Purpose,
    TrafficMeter,
    purpose_of_kind,
)

RECEIVE_BYTES = 256 * 1024
NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_S = 5.0

KeyLookup = Callable[[PeerRole, str], bytes | None]


@dataclass(frozen=True, slots=True)
class LinkIdentity:
    """The identity of this process on its links, and the key that proves it.

    :param place: zone and region of the process; sent to the peer
    :param meter: counts the bytes sent on its links
    """

    role: PeerRole
    name: str
    key: bytes = field(repr=False)
    place: Place = field(default=Place(), compare=False)
    meter: TrafficMeter = field(default=NO_METER, repr=False, compare=False)


@dataclass(slots=True)
class LinkCounters:
    """Traffic counters of one link: messages and bytes in each direction."""

    messages_in: int = 0
    messages_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


class LinkClosedError(Exception):
    """The peer closed the link, or it broke."""


class Link:
    """An open link to a peer.

    ``send`` may be called from several tasks; ``receive`` from one.
    """

    def __init__(self, sock: socket.socket, meter: TrafficMeter = NO_METER) -> None:
        self._socket = sock
        self._meter = meter
        self._reader = FrameReader()
        self._received: deque[bytes] = deque()
        self._send_lock = curio.Lock()
        self._broken = False
        self._compressor: MessageCompressor | None = None
        self.counters = LinkCounters()
        self.peer_role = PeerRole.PROXY
        self.peer_name = ""
        self.peer_answers_probes = False
        self.distance = Distance.UNKNOWN

    async def send(self, message: object) -> None:
        """Send a registered message.

        :raises LinkClosedError: when the link is broken
        """
        await self.send_encoded(encode(message), purpose_of_kind(KIND_BY_CLASS[type(message)]))

    async def send_encoded(self, data: bytes, purpose: Purpose) -> None:
        """Send an encoded message, which may be shared by many peers."""
        async with self._send_lock:
            await self._send_frame(self._framed(data), purpose)

    async def send_framed(self, framed: bytes, purpose: Purpose) -> None:
        """Send a complete frame; a large message to many peers is then framed only once."""
        async with self._send_lock:
            await self._send_frame(framed, purpose)

    def enable_compression(self) -> None:
        """Compress all further messages as a stream; the peer must have announced support."""
        self._compressor = MessageCompressor()

    def _framed(self, data: bytes) -> bytes:
        """Return the frame of the next message; compressed frames must be sent in call order."""
        if self._compressor is None:
            return frame(data)
        return stream_frame(self._compressor.compress(data))

    async def _send_frame(self, framed: bytes, purpose: Purpose) -> None:
        """Send a frame; the caller must hold the lock.

        After a cancelled send, which may have sent only part of a frame, the link is unusable.
        """
        if self._broken:
            raise LinkClosedError("an earlier message was sent only partially")
        self._broken = True
        try:
            await self._socket.sendall(framed)
        except OSError as error:
            raise LinkClosedError(str(error)) from error
        self._broken = False
        self.counters.messages_out += 1
        self.counters.bytes_out += len(framed)
        self._meter.count(purpose, self.distance, Direction.OUT, len(framed))

    async def receive(self) -> object:
        """Return the next message.

        :raises LinkClosedError: at the end of the link, or on a message that does not decode
        """
        decoded = decode(await self.receive_encoded())
        if isinstance(decoded, Err):
            raise LinkClosedError(str(decoded.err_value))
        return decoded.ok_value

    async def receive_encoded(self) -> bytes:
        """Return the next message without decoding it.

        :raises LinkClosedError: at the end of the link
        """
        while not self._received:
            await self._fill()
        self.counters.messages_in += 1
        return self._received.popleft()

    async def _fill(self) -> None:
        try:
            data = await self._socket.recv(RECEIVE_BYTES)
        except OSError as error:
            raise LinkClosedError(str(error)) from error
        if not data:
            raise LinkClosedError("closed by peer")
        self.counters.bytes_in += len(data)
        try:
            self._received.extend(self._reader.feed(data))
        except FrameError as error:
            raise LinkClosedError(str(error)) from error

    async def close(self) -> None:
        """Close the link; safe to call twice."""
        try:
            await self._socket.close()
        except OSError:
            return


class _Side(enum.StrEnum):
    """The end of a link that proves itself; included in the proof to prevent reflection attacks."""

    DIALLER = "dialler"
    LISTENER = "listener"


def _proof(key: bytes, side: _Side, hello: LinkHello, peer_nonce: bytes) -> bytes:
    identity = [side.encode(), hello.role.encode(), hello.name.encode()]
    text = b"|".join([*identity, hello.nonce, peer_nonce])
    return hmac.new(key, text, hashlib.sha256).digest()


async def _authenticate(
    link: Link, side: _Side, identity: LinkIdentity, keys: KeyLookup
) -> Failure | None:
    """Run the mutual authentication; return the failure, or None."""
    peer_side = _Side.LISTENER if side is _Side.DIALLER else _Side.DIALLER
    nonce = os.urandom(NONCE_BYTES)
    place = identity.place
    own = LinkHello(
        PROTOCOL_VERSION, identity.role, identity.name, nonce, True, place.zone, place.region, True
    )
    await link.send(own)
    peer = await link.receive()
    if isinstance(peer, LinkRefused):
        return Failure(ResultCode.OPERATOR_REFUSED, peer.detail)
    if not isinstance(peer, LinkHello) or peer.version != PROTOCOL_VERSION:
        return Failure(ResultCode.PROTOCOL_VIOLATION, "unexpected hello")
    if peer.nonce == own.nonce:
        return Failure(ResultCode.OPERATOR_REFUSED, "the peer sent our own hello back")
    key = keys(peer.role, peer.name)
    if key is None:
        await link.send(LinkRefused(ResultCode.OPERATOR_REFUSED.value.number, "unknown peer"))
        return Failure(ResultCode.OPERATOR_REFUSED, f"unknown peer {peer.role} {peer.name}")
    # An operator proves its own key; the controller proves itself with that same key.
    proof_key = key if peer.role is PeerRole.OPERATOR else identity.key
    await link.send(LinkProof(_proof(proof_key, side, own, peer.nonce)))
    answer = await link.receive()
    expected = _proof(key, peer_side, peer, own.nonce)
    if not isinstance(answer, LinkProof) or not hmac.compare_digest(answer.proof, expected):
        return Failure(ResultCode.OPERATOR_REFUSED, f"{peer.role} {peer.name} gave a wrong proof")
    link.peer_role = peer.role
    link.peer_name = peer.name
    link.peer_answers_probes = peer.answers_probes
    link.distance = place.distance_to(Place(peer.zone, peer.region))
    if peer.compresses:
        link.enable_compression()
    return None


async def _run_handshake(
    link: Link, side: _Side, identity: LinkIdentity, keys: KeyLookup
) -> Result[Link, Failure]:
    try:
        async with curio.timeout_after(HANDSHAKE_TIMEOUT_S):
            failure = await _authenticate(link, side, identity, keys)
    except (LinkClosedError, curio.TaskTimeout) as error:
        failure = Failure(ResultCode.PEER_UNREACHABLE, f"handshake: {error or 'timeout'}")
    if failure is None:
        return Ok(link)
    await link.close()
    return Err(failure)


async def dial(
    address: str,
    identity: LinkIdentity,
    keys: KeyLookup,
    source_ip: str = "",
    timeout_s: float = 3.0,
    connected: curio.Event | None = None,
) -> Result[Link, Failure]:
    """Connect to a peer and authenticate both sides.

    :param address: ``ip:port`` of the peer
    :param keys: returns the key expected of the peer, by role and name
    :param source_ip: local address to connect from, or empty
    :param connected: set once the connection is open, before the handshake
    :returns: the link; PEER_UNREACHABLE if the peer doesn't answer or the connection is lost in
        the handshake, which may be temporary; OPERATOR_REFUSED if one side rejects the other's
        proof
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        if source_ip:
            sock.bind((source_ip, 0))
        async with curio.timeout_after(timeout_s):
            await sock.connect(split_address(address))
    except (OSError, curio.TaskTimeout) as error:
        await sock.close()
        return Err(Failure(ResultCode.PEER_UNREACHABLE, f"{address}: {error or 'timeout'}"))
    if connected is not None:
        await connected.set()
    return await _run_handshake(Link(sock, identity.meter), _Side.DIALLER, identity, keys)


def listen(address: str) -> Result[socket.socket, Failure]:
    """Return a listening socket, or ADDRESS_IN_USE with the address.

    An early listener of the address is taken over.
    """
    early = take_listener(address)
    if early is not None:
        return Ok(Socket(early))
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(split_address(address))
        sock.listen(LISTEN_BACKLOG)
    except OSError as error:
        return Err(Failure(ResultCode.ADDRESS_IN_USE, f"{address}: {error}"))
    return Ok(sock)


async def serve_links(
    sock: socket.socket,
    identity: LinkIdentity,
    keys: KeyLookup,
    handler: Callable[[Link], Awaitable[None]],
) -> None:
    """Accept links until cancelled; each authenticated link runs ``handler`` in its own task."""

    async def serve_one(client: socket.socket) -> None:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        opened = await _run_handshake(Link(client, identity.meter), _Side.LISTENER, identity, keys)
        if isinstance(opened, Err):
            return
        link = opened.ok_value
        try:
            await handler(link)
        except LinkClosedError:
            return
        finally:
            await link.close()

    while True:
        client, _ = await sock.accept()
        await curio.spawn(serve_one, client, daemon=True)
