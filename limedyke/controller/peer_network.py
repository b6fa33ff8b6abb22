"""Links between controllers: one outgoing link to each peer, redialled when it fails."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from random import Random

import curio
from result import Err, Ok

from limedyke.controller.clock import boot_seconds
from limedyke.controller.mailbox import Mailbox
from limedyke.core.agreement.envelope import open_envelope, seal
from limedyke.core.backoff import Backoff
from limedyke.event_log import EventLog
from limedyke.link_tasks import serve_until_closed
from limedyke.messages.agreement import (
    AgreementEnvelope,
    AgreementMessage,
    ControllerIdentity,
    FoundingMessage,
)
from limedyke.messages.work import LinkProbe
from limedyke.transport.keepalive import Keepalive
from limedyke.transport.link import KeyLookup, Link, LinkClosedError, LinkIdentity, dial

QUEUE_LIMIT = 1_024
DIAL_TIMEOUT_S = 1.0
INITIAL_REDIAL_DELAY_S = 0.05
MAXIMUM_REDIAL_DELAY_S = 0.5
HANDSHAKE_LIMIT_S = 0.5
"""Longer than a handshake across regions takes; one with a process that has ended never ends."""
PROBE_INTERVAL_S = 1.0
"""A silent link is detected after at most the interval plus the timeout, 1.5 s. The probes cost the
five controllers of a cluster 40 small messages a second in total."""
PROBE_TIMEOUT_S = 0.5
"""A round trip over two regions takes 0.18 s, and a loaded machine pauses for 0.1 s."""
EVENTS = EventLog("peer_network")

PeerMessage = AgreementMessage | FoundingMessage


class _OutgoingQueue:
    """Messages waiting for one peer; the oldest are dropped beyond the limit.

    :param is_caller: whether only its own call made it known; it is dialled only for a message
    """

    def __init__(self, address: str, is_caller: bool = False) -> None:
        self.address = address
        self.is_caller = is_caller
        self.mailbox: Mailbox[AgreementEnvelope] = Mailbox(QUEUE_LIMIT)
        self.has_dialled_us = curio.Event()
        self.is_wanted = False


class PeerNetwork:
    """Sends to and receives from the other controllers; messages may be lost.

    :param identity: this controller and the incarnation of its data folder
    :param link_identity: proves this process to its peers
    :param receive: called with each message addressed to this incarnation

    :ivar heard_at: when a controller last sent something on its link to this one, by name, in
        seconds of the controller's clock
    :ivar dials_eagerly: whether peers are dialled as soon as they are known, and not only once
        there is a message for them. Members dial eagerly; controllers that wait to be added do not,
        as there may be hundreds of them
    """

    def __init__(
        self,
        identity: ControllerIdentity,
        link_identity: LinkIdentity,
        keys: KeyLookup,
        source_ip: str,
        receive: Callable[[ControllerIdentity, PeerMessage], Awaitable[None]],
    ) -> None:
        self._identity = identity
        self._link_identity = link_identity
        self._keys = keys
        self._source_ip = source_ip
        self._receive = receive
        self.heard_at: dict[str, float] = {}
        self._outgoing: dict[str, _OutgoingQueue] = {}
        self._unstarted: list[str] = []
        self._has_unstarted = curio.Event()
        self._generator = Random()
        self.cluster = ""
        self.dials_eagerly = True

    @property
    def addresses(self) -> dict[str, str]:
        """The known addresses of the other controllers by name."""
        return {name: outgoing.address for name, outgoing in self._outgoing.items()}

    def set_address(self, name: str, address: str) -> None:
        """Set the address of a peer."""
        if name == self._identity.name:
            return
        known = self._outgoing.get(name)
        if known is not None:
            known.address = address
            known.is_caller = False
            return
        self._add(name, _OutgoingQueue(address))

    def learn_caller(self, name: str, address: str) -> None:
        """Learn the address of a controller that this one may have to answer.

        It may be a candidate that was added by an entry which this controller's log lacks.
        """
        if name != self._identity.name and name not in self._outgoing:
            self._add(name, _OutgoingQueue(address, is_caller=True))

    def _add(self, name: str, outgoing: _OutgoingQueue) -> None:
        self._outgoing[name] = outgoing
        self._unstarted.append(name)

    async def send(self, to: ControllerIdentity, message: PeerMessage) -> None:
        """Queue a message to a peer; it is lost if the peer cannot be reached."""
        outgoing = self._outgoing.get(to.name)
        if outgoing is None:
            return
        if self._unstarted:
            outgoing.is_wanted = True
            await self._has_unstarted.set()
        await outgoing.mailbox.put(seal(self.cluster, self._identity, to, message))

    async def run(self) -> None:
        """Keep links to all peers until cancelled."""
        async with curio.TaskGroup() as tasks:
            while True:
                self._has_unstarted.clear()
                for name in self._take_wanted():
                    await tasks.spawn(self._keep_link, self._outgoing[name])
                await curio.ignore_after(MAXIMUM_REDIAL_DELAY_S, self._has_unstarted.wait)

    def _take_wanted(self) -> list[str]:
        """Remove and return the peers to which a link is to be kept from now on."""
        wanted = [name for name in self._unstarted if self._is_dialled(self._outgoing[name])]
        self._unstarted = [name for name in self._unstarted if name not in wanted]
        return wanted

    def _is_dialled(self, outgoing: _OutgoingQueue) -> bool:
        return outgoing.is_wanted or (self.dials_eagerly and not outgoing.is_caller)

    async def serve(self, link: Link) -> None:
        """Receive from a peer that dialled this controller.

        The peer is running, so this controller dials it at once.
        """
        outgoing = self._outgoing.get(link.peer_name)
        if outgoing is not None:
            await outgoing.has_dialled_us.set()
        while True:
            envelope = await link.receive()
            self.heard_at[link.peer_name] = boot_seconds()
            if isinstance(envelope, LinkProbe):
                await link.send(LinkProbe(envelope.sequence, True))
                continue
            if not isinstance(envelope, AgreementEnvelope):
                raise LinkClosedError(f"unexpected {type(envelope).__name__}")
            if envelope.sender.name != link.peer_name:
                raise LinkClosedError(f"{link.peer_name} sent an envelope of {envelope.sender}")
            opened = open_envelope(envelope, self._identity, self.cluster)
            if isinstance(opened, Err):
                EVENTS.debug("peer-message-dropped", reason=opened.err_value)
                continue
            await self._receive(envelope.sender, opened.ok_value)

    async def _keep_link(self, outgoing: _OutgoingQueue) -> None:
        """Keep a link to a peer, redialling when it fails.

        The first redials are fast: peers that restart together often miss each other by little.
        """
        backoff = Backoff(INITIAL_REDIAL_DELAY_S, MAXIMUM_REDIAL_DELAY_S)
        while True:
            outgoing.has_dialled_us.clear()
            link = await self._dial_until_dialled(outgoing)
            if link is not None:
                backoff.succeeded()
                await self._use_link(link, outgoing)
            outgoing.mailbox.clear()
            delay_s = backoff.failed(time.monotonic(), self._generator.random())
            await curio.ignore_after(delay_s, outgoing.has_dialled_us.wait)

    async def _dial_until_dialled(self, outgoing: _OutgoingQueue) -> Link | None:
        """Dial a peer; abandon an attempt that hangs when the peer dials this controller.

        An attempt that began while the peer's machine was off hangs until its packet is
        retransmitted a second later. One that is connected is about to succeed: two peers that
        start together would abandon theirs in turn.
        """
        connected = curio.Event()
        async with curio.TaskGroup(wait=any) as tasks:
            dialling = await tasks.spawn(
                dial,
                outgoing.address,
                self._link_identity,
                self._keys,
                self._source_ip,
                DIAL_TIMEOUT_S,
                connected,
            )
            await tasks.spawn(self._wait_until_abandoned, outgoing, connected)
        if dialling.cancelled or dialling.exception is not None:
            return None
        return dialling.result.ok_value if isinstance(dialling.result, Ok) else None

    async def _wait_until_abandoned(self, outgoing: _OutgoingQueue, connected: curio.Event) -> None:
        """Return when an attempt is to be abandoned, as the peer has dialled this controller."""
        await outgoing.has_dialled_us.wait()
        if connected.is_set():
            await curio.sleep(HANDSHAKE_LIMIT_S)

    async def _use_link(self, link: Link, outgoing: _OutgoingQueue) -> None:
        """Send to a peer until the link closes or goes silent, or the peer's address changes."""
        address = outgoing.address
        keepalive = Keepalive(link, PROBE_INTERVAL_S, PROBE_TIMEOUT_S)
        try:
            async with curio.TaskGroup(wait=any) as tasks:
                await tasks.spawn(serve_until_closed, self._send_all, link, outgoing)
                if link.peer_answers_probes:
                    await tasks.spawn(serve_until_closed, keepalive.run)
                    await tasks.spawn(serve_until_closed, keepalive.listen)
            EVENTS.info("peer-link-closed", address=address, reason=tasks.completed.result)
        finally:
            await link.close()

    async def _send_all(self, link: Link, outgoing: _OutgoingQueue) -> None:
        address = outgoing.address
        while address == outgoing.address:
            for envelope in await outgoing.mailbox.take_all():
                await link.send(envelope)
        raise LinkClosedError("the address of the peer changed")
