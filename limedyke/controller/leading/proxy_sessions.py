"""Links of proxies to the leading controller."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable

import curio

from limedyke.controller.leading.update_cache import EncodedUpdate
from limedyke.core.control.events import (
    HeartbeatReceived,
    LeaderEvent,
    LeasesReturned,
    MemberReported,
    OperationsRequested,
    PositionReported,
    PrimaryClaimed,
    PromotionAnswered,
    ProxyConnected,
    ProxyDisconnected,
    ProxyLeft,
    WritesPausedReported,
)
from limedyke.core.control.leader import EARLIER_PROCESS
from limedyke.event_log import EventLog
from limedyke.link_tasks import serve_until_closed
from limedyke.messages.control import (
    ControlTarget,
    ControlUpdate,
    LeaseReturned,
    MemberReport,
    NotLeader,
    PositionReport,
    PrimaryClaim,
    PromoteResult,
    ProxyHeartbeat,
    ProxyHello,
    ProxyLeaving,
    ProxyRefused,
    WritesPaused,
)
from limedyke.messages.limits import OperationsRequest
from limedyke.result_codes import ResultCode
from limedyke.transport.link import Link, LinkClosedError
from limedyke.transport.traffic import Purpose

OUTGOING_LIMIT = 4_096
REFUSED_PAUSE_MS = 5_000
EVENTS = EventLog("proxy_sessions")


class ProxyLink:
    """The link of one proxy, with its outgoing messages and pending state updates."""

    def __init__(self, link: Link, hello: ProxyHello) -> None:
        self.link = link
        self.name = hello.name
        self.sent_index = hello.control_index
        self.has_update = True
        self._revision = hello.revision
        self._answered = False
        self._outgoing: deque[object] = deque()
        self._wakeup = curio.Event()
        self._closing = ""

    async def send(self, message: object) -> None:
        """Queue a message; a proxy that does not read is disconnected."""
        if len(self._outgoing) >= OUTGOING_LIMIT:
            await self.close("the proxy does not read")
            return
        self._outgoing.append(message)
        await self._wakeup.set()

    async def notify_update(self) -> None:
        """Schedule sending the newest state."""
        self.has_update = True
        await self._wakeup.set()

    async def close(self, reason: str) -> None:
        """Close the link once the queued messages have been sent."""
        self._closing = self._closing or reason
        await self._wakeup.set()

    async def write_all(self, next_update: Callable[[int], EncodedUpdate | None]) -> None:
        """Send queued messages until the link is closed.

        :param next_update: returns the next message for the control index that the proxy has; None
            if there is nothing newer
        """
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            if self.has_update:
                self.has_update = False
                await self._send_updates(next_update)
            while self._outgoing:
                await self.link.send(self._outgoing.popleft())
            if self._closing:
                EVENTS.info("proxy-link-closed", proxy=self.name, reason=self._closing)
                raise LinkClosedError(self._closing)

    async def _send_updates(self, next_update: Callable[[int], EncodedUpdate | None]) -> None:
        """Send state updates; the first time, confirm even if there is nothing new."""
        while (found := next_update(self.sent_index)) is not None:
            is_newer = found.control_index > self.sent_index
            self.sent_index = found.control_index
            self._answered = True
            if found.present_index > found.control_index:
                await self.link.send(ControlTarget(found.present_index))
            if found.is_large:
                await self.link.send_framed(found.framed, Purpose.STATE)
            else:
                await self.link.send_encoded(found.message, Purpose.STATE)
            if not is_newer:
                break
        if not self._answered:
            self._answered = True
            index = self.sent_index
            await self.link.send(ControlUpdate(index, index, self._revision))


class ProxySessions:
    """All links of proxies; exists only while this controller serves as the leader.

    :param post: receives the events for the leader's decisions
    :param next_update: see ``ProxyLink.write_all``
    :param admits: tells whether a proxy may connect
    """

    def __init__(
        self,
        post: Callable[[LeaderEvent], Awaitable[None]],
        next_update: Callable[[int], EncodedUpdate | None],
        admits: Callable[[ProxyHello], bool],
    ) -> None:
        self._post = post
        self._next_update = next_update
        self._admits = admits
        self._links: dict[str, ProxyLink] = {}

    def __len__(self) -> int:
        return len(self._links)

    def traffic(self) -> tuple[int, int]:
        """Return the bytes received and sent on the current links."""
        counters = [proxy_link.link.counters for proxy_link in self._links.values()]
        received = sum(counter.bytes_in for counter in counters)
        return received, sum(counter.bytes_out for counter in counters)

    async def send(self, proxy: str, message: object) -> None:
        """Queue a message for a proxy, if it is connected."""
        proxy_link = self._links.get(proxy)
        if proxy_link is not None:
            await proxy_link.send(message)

    async def notify_update(self) -> None:
        """Schedule sending the newest state to all proxies."""
        for proxy_link in list(self._links.values()):
            await proxy_link.notify_update()

    async def disconnect(self, proxy: str, reason: str) -> None:
        """Close a proxy's link."""
        proxy_link = self._links.get(proxy)
        if proxy_link is not None:
            await proxy_link.close(reason)

    async def close_all(self, leader: str) -> None:
        """Redirect all proxies to another controller and close their links."""
        for proxy_link in list(self._links.values()):
            await proxy_link.send(NotLeader(leader))
            await proxy_link.close("this controller no longer leads")

    async def serve(self, link: Link, hello: ProxyHello) -> None:
        """Serve one proxy until its link ends."""
        if hello.name != link.peer_name:
            raise LinkClosedError(f"the link of {link.peer_name} carries the hello of {hello.name}")
        if not self._admits(hello):
            await self._refuse(link, hello)
            return
        previous = self._links.get(hello.name)
        if previous is not None:
            await previous.close("the proxy reconnected")
        proxy_link = self._links[hello.name] = ProxyLink(link, hello)
        await self._post(ProxyConnected(hello))
        await proxy_link.notify_update()
        try:
            async with curio.TaskGroup(wait=any) as tasks:
                await tasks.spawn(serve_until_closed, self._read_all, proxy_link)
                await tasks.spawn(serve_until_closed, proxy_link.write_all, self._next_update)
        finally:
            if self._links.get(hello.name) is proxy_link:
                del self._links[hello.name]
                await self._post(ProxyDisconnected(hello.name))

    async def _refuse(self, link: Link, hello: ProxyHello) -> None:
        """Refuse a proxy whose name another process may still use; the current link stays."""
        EVENTS.warning("proxy-refused", proxy=hello.name, reason=EARLIER_PROCESS)
        number = ResultCode.PROXY_NAME_TAKEN.value.number
        await link.send(ProxyRefused(number, EARLIER_PROCESS, REFUSED_PAUSE_MS))

    async def _read_all(self, proxy_link: ProxyLink) -> None:
        first = True
        while True:
            message = await proxy_link.link.receive()
            if self._links.get(proxy_link.name) is not proxy_link:
                raise LinkClosedError("the proxy reconnected")
            event = _event_of(proxy_link.name, message, first)
            if isinstance(message, ProxyHeartbeat):
                first = False
            await self._post(event)


def _event_of(proxy: str, message: object, first: bool) -> LeaderEvent:
    match message:
        case ProxyHeartbeat():
            return HeartbeatReceived(proxy, message, first)
        case MemberReport():
            return MemberReported(proxy, message)
        case OperationsRequest():
            return OperationsRequested(proxy, message)
        case LeaseReturned():
            return LeasesReturned(proxy, message.leases)
        case PromoteResult():
            return PromotionAnswered(proxy, message.group, message.term, message.primary)
        case PositionReport():
            return PositionReported(proxy, message)
        case PrimaryClaim():
            return PrimaryClaimed(proxy, message)
        case WritesPaused():
            return WritesPausedReported(proxy, message.group, message.term)
        case ProxyLeaving():
            return ProxyLeft(proxy, message.done)
    raise LinkClosedError(f"unexpected {type(message).__name__}")
