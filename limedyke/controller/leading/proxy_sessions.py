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
    """One proxy's link: messages to it wait here, and so does the news of the state."""

    def __init__(self, link: Link, hello: ProxyHello) -> None:
        self.link = link
        self.name = hello.name
        self.sent_index = hello.control_index
        self.news = True
        self._revision = hello.revision
        self._answered = False
        self._outgoing: deque[object] = deque()
        self._wakeup = curio.Event()
        self._closing = ""

    async def send(self, message: object) -> None:
        """Queue a message; a proxy that does not read is disconnected."""
        if len(self._outgoing) >= OUTGOING_LIMIT:
            await self.close("it does not read")
            return
        self._outgoing.append(message)
        await self._wakeup.set()

    async def tell_news(self) -> None:
        """Have the newest state sent."""
        self.news = True
        await self._wakeup.set()

    async def close(self, reason: str) -> None:
        """End the link once what is queued has been sent."""
        self._closing = self._closing or reason
        await self._wakeup.set()

    async def write_all(self, news: Callable[[int], EncodedUpdate | None]) -> None:
        """Send what is queued until the link is closed.

        :param news: returns the next message for the index that the proxy has; None when there
            is nothing newer
        """
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            if self.news:
                self.news = False
                await self._send_news(news)
            while self._outgoing:
                await self.link.send(self._outgoing.popleft())
            if self._closing:
                EVENTS.info("proxy-link-closed", proxy=self.name, reason=self._closing)
                raise LinkClosedError(self._closing)

    async def _send_news(self, news: Callable[[int], EncodedUpdate | None]) -> None:
        """Send what is new; the first time also that there is nothing new."""
        while (found := news(self.sent_index)) is not None:
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

    :param post: takes the events for the leader's decisions
    :param news: see ``ProxyLink.write_all``
    :param admits: tells whether a proxy may connect
    """

    def __init__(
        self,
        post: Callable[[LeaderEvent], Awaitable[None]],
        news: Callable[[int], EncodedUpdate | None],
        admits: Callable[[ProxyHello], bool],
    ) -> None:
        self._post = post
        self._news = news
        self._admits = admits
        self._links: dict[str, ProxyLink] = {}

    def __len__(self) -> int:
        return len(self._links)

    def traffic(self) -> tuple[int, int]:
        """Return the bytes received and sent on the present links."""
        counters = [entry.link.counters for entry in self._links.values()]
        received = sum(counter.bytes_in for counter in counters)
        return received, sum(counter.bytes_out for counter in counters)

    async def send(self, proxy: str, message: object) -> None:
        """Queue a message for a proxy, if it is linked."""
        entry = self._links.get(proxy)
        if entry is not None:
            await entry.send(message)

    async def tell_news(self) -> None:
        """Have the newest state sent to all proxies."""
        for entry in list(self._links.values()):
            await entry.tell_news()

    async def disconnect(self, proxy: str, reason: str) -> None:
        """Close a proxy's link."""
        entry = self._links.get(proxy)
        if entry is not None:
            await entry.close(reason)

    async def close_all(self, leader: str) -> None:
        """Tell all proxies to go to another controller."""
        for entry in list(self._links.values()):
            await entry.send(NotLeader(leader))
            await entry.close("this controller leads no longer")

    async def serve(self, link: Link, hello: ProxyHello) -> None:
        """Serve one proxy until its link ends."""
        if hello.name != link.peer_name:
            raise LinkClosedError(f"{link.peer_name} says it is {hello.name}")
        if not self._admits(hello):
            await self._refuse(link, hello)
            return
        older = self._links.get(hello.name)
        if older is not None:
            await older.close("the proxy connected anew")
        entry = self._links[hello.name] = ProxyLink(link, hello)
        await self._post(ProxyConnected(hello))
        await entry.tell_news()
        try:
            async with curio.TaskGroup(wait=any) as tasks:
                await tasks.spawn(serve_until_closed, self._read_all, entry)
                await tasks.spawn(serve_until_closed, entry.write_all, self._news)
        finally:
            if self._links.get(hello.name) is entry:
                del self._links[hello.name]
                await self._post(ProxyDisconnected(hello.name))

    async def _refuse(self, link: Link, hello: ProxyHello) -> None:
        """Turn a proxy away whose name another process may still use; the present link stays."""
        EVENTS.warning("proxy-refused", proxy=hello.name, reason=EARLIER_PROCESS)
        number = ResultCode.PROXY_NAME_TAKEN.value.number
        await link.send(ProxyRefused(number, EARLIER_PROCESS, REFUSED_PAUSE_MS))

    async def _read_all(self, entry: ProxyLink) -> None:
        first = True
        while True:
            message = await entry.link.receive()
            if self._links.get(entry.name) is not entry:
                raise LinkClosedError("the proxy connected anew")
            event = _event_of(entry.name, message, first)
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
        case WritesPaused():
            return WritesPausedReported(proxy, message.group, message.term)
        case ProxyLeaving():
            return ProxyLeft(proxy, message.done)
    raise LinkClosedError(f"unexpected {type(message).__name__}")
