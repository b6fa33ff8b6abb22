"""Links between controllers: one outgoing link to each peer, kept up by retries."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from random import Random

import curio
from result import Err, Ok

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
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.5
PROBE_INTERVAL_S = 1.0
"""A link that has gone silent is found after so long and the next at the latest: 1.5 s. It costs
the five controllers of a cluster 40 small messages a second together."""
PROBE_LIMIT_S = 0.5
"""A round trip over two regions takes 0.18 s, and a loaded machine pauses for 0.1 s."""
EVENTS = EventLog("peer_network")

PeerMessage = AgreementMessage | FoundingMessage


class _Outgoing:
    """Messages waiting for one peer, the oldest dropped when there are too many."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.mailbox: Mailbox[AgreementEnvelope] = Mailbox(QUEUE_LIMIT)
        self.has_dialled_us = curio.Event()
        self.is_wanted = False


class PeerNetwork:
    """Sends to and receives from the other controllers; messages may be lost.

    :param identity: this controller and the incarnation of its data folder
    :param link_identity: proves this process to its peers
    :param receive: called with each message for this very incarnation

    :ivar dials_ahead: whether peers are dialled as soon as they are known, not only when there is
        something to send: members do, those that wait to be added may be hundreds
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
        self._outgoing: dict[str, _Outgoing] = {}
        self._unstarted: list[str] = []
        self._has_unstarted = curio.Event()
        self._generator = Random()
        self.cluster = ""
        self.dials_ahead = True

    @property
    def addresses(self) -> dict[str, str]:
        """The known addresses of the other controllers by name."""
        return {name: outgoing.address for name, outgoing in self._outgoing.items()}

    def set_address(self, name: str, address: str) -> None:
        """Learn where a peer is reached."""
        if name == self._identity.name:
            return
        known = self._outgoing.get(name)
        if known is not None:
            known.address = address
            return
        self._outgoing[name] = _Outgoing(address)
        self._unstarted.append(name)

    async def send(self, to: ControllerIdentity, message: PeerMessage) -> None:
        """Queue a message to a peer; it is lost when the peer can't be reached."""
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
                await curio.ignore_after(LONGEST_PAUSE_S, self._has_unstarted.wait)

    def _take_wanted(self) -> list[str]:
        """Take out the peers to which a link is to be kept from now on."""
        wanted = [
            name for name in self._unstarted if self.dials_ahead or self._outgoing[name].is_wanted
        ]
        self._unstarted = [name for name in self._unstarted if name not in wanted]
        return wanted

    async def serve(self, link: Link) -> None:
        """Receive from a peer that dialled this controller: it is up, and is dialled at once."""
        outgoing = self._outgoing.get(link.peer_name)
        if outgoing is not None:
            await outgoing.has_dialled_us.set()
        while True:
            envelope = await link.receive()
            if isinstance(envelope, LinkProbe):
                await link.send(LinkProbe(envelope.sequence, True))
                continue
            if not isinstance(envelope, AgreementEnvelope):
                raise LinkClosedError(f"unexpected {type(envelope).__name__}")
            if envelope.sender.name != link.peer_name:
                raise LinkClosedError(f"{link.peer_name} speaks for {envelope.sender}")
            opened = open_envelope(envelope, self._identity, self.cluster)
            if isinstance(opened, Err):
                EVENTS.debug("peer-message-dropped", reason=opened.err_value)
                continue
            await self._receive(envelope.sender, opened.ok_value)

    async def _keep_link(self, outgoing: _Outgoing) -> None:
        """Dial again soon at first: peers that restart together miss each other by little."""
        backoff = Backoff(FIRST_PAUSE_S, LONGEST_PAUSE_S)
        while True:
            outgoing.has_dialled_us.clear()
            link = await self._dial_until_dialled(outgoing)
            if link is not None:
                backoff.succeeded()
                await self._use_link(link, outgoing)
            outgoing.mailbox.clear()
            pause_s = backoff.failed(time.monotonic(), self._generator.random())
            await curio.ignore_after(pause_s, outgoing.has_dialled_us.wait)

    async def _dial_until_dialled(self, outgoing: _Outgoing) -> Link | None:
        """Dial a peer; give up when it dials this controller meanwhile.

        An attempt begun while the peer's machine was off hangs until its packet is sent again,
        a second later.
        """
        async with curio.TaskGroup(wait=any) as tasks:
            dialling = await tasks.spawn(
                dial,
                outgoing.address,
                self._link_identity,
                self._keys,
                self._source_ip,
                DIAL_TIMEOUT_S,
            )
            await tasks.spawn(outgoing.has_dialled_us.wait)
        if dialling.cancelled or dialling.exception is not None:
            return None
        return dialling.result.ok_value if isinstance(dialling.result, Ok) else None

    async def _use_link(self, link: Link, outgoing: _Outgoing) -> None:
        """Send to a peer until the link closes or goes silent, or the peer's address changes."""
        address = outgoing.address
        keepalive = Keepalive(link, PROBE_INTERVAL_S, PROBE_LIMIT_S)
        try:
            async with curio.TaskGroup(wait=any) as tasks:
                await tasks.spawn(serve_until_closed, self._send_all, link, outgoing)
                if link.peer_answers_probes:
                    await tasks.spawn(serve_until_closed, keepalive.run)
                    await tasks.spawn(serve_until_closed, keepalive.listen)
            EVENTS.info("peer-link-closed", address=address, reason=tasks.completed.result)
        finally:
            await link.close()

    async def _send_all(self, link: Link, outgoing: _Outgoing) -> None:
        address = outgoing.address
        while address == outgoing.address:
            for envelope in await outgoing.mailbox.take_all():
                await link.send(envelope)
        raise LinkClosedError("the peer has another address")
