"""Operators that change the configuration at several controllers at once."""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable

import curio

from features.soak.configuration.documents import Content, Flaw, build_content
from features.soak.configuration.history import ConfigurationHistory, Sending
from features.soak.configuration.http_calls import put_configuration

CHANGE_TIMEOUT_S = 12.0
MIN_PAUSE_S, MAX_PAUSE_S = 0.05, 0.5
RETRY_PAUSE_S = 0.1
MAX_VERSION_STEP = 3
BIG_ROUTES = 300
FLAWS = tuple(flaw for flaw in Flaw if flaw is not Flaw.NONE)
OnAcknowledged = Callable[[str], Awaitable[None]]


async def _nothing(ip: str) -> None:
    del ip


class Operators:
    """Operators that share the numbering of versions.

    :param controllers: machines that accept configurations
    :param history: records what is sent and answered

    :ivar on_acknowledged: called with the machine that confirmed a change
    """

    def __init__(
        self, controllers: Callable[[], tuple[str, ...]], history: ConfigurationHistory, seed: int
    ) -> None:
        self._controllers = controllers
        self._history = history
        self._generator = random.Random(f"operators {seed}")
        self._version = 0
        self._sent: list[Content] = []
        self.on_acknowledged: OnAcknowledged = _nothing

    async def run(self) -> None:
        """Send changes of all kinds, one after the other, until cancelled."""
        actions = (
            self.change,
            self.change,
            self.change,
            self._race,
            self._repeat_newest,
            self._repeat_older,
            self._send_other_content,
            self._send_invalid,
            self._send_big,
        )
        while True:
            await self._generator.choice(actions)()
            await curio.sleep(self._generator.uniform(MIN_PAUSE_S, MAX_PAUSE_S))

    async def change(self, timeout_s: float = CHANGE_TIMEOUT_S) -> Content:
        """Send the next version until a controller confirms it; return its content."""
        content = self._next_content()
        await self.send_until_acknowledged(content, timeout_s)
        return content

    async def send_until_acknowledged(
        self, content: Content, timeout_s: float = CHANGE_TIMEOUT_S
    ) -> bool:
        """Send a configuration to one controller after the other; tell whether one confirmed it."""
        self._sent.append(content)
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            sending = await self.send(content, self._any_controller())
            if sending.is_acknowledged:
                return True
            if sending.is_refused:
                return False
            await curio.sleep(RETRY_PAUSE_S)
        self._history.unacknowledged.append(content)
        return False

    async def send(self, content: Content, ip: str) -> Sending:
        """Send a configuration to one controller and record the answer."""
        sent_at = time.monotonic()
        self._history.record_begin(content, sent_at)
        reply = await put_configuration(ip, content.body)
        sending = Sending(content, ip, sent_at, time.monotonic(), reply.status)
        self._history.sendings.append(sending)
        if sending.is_acknowledged:
            await self.on_acknowledged(ip)
        return sending

    def next_version(self) -> int:
        """Return a version that is higher than any before; the steps are uneven."""
        self._version += self._generator.randint(1, MAX_VERSION_STEP)
        return self._version

    def _next_content(self, extra_routes: int = 0) -> Content:
        return build_content(self.next_version(), "a", extra_routes=extra_routes)

    def _any_controller(self) -> str:
        return self._generator.choice(self._controllers())

    async def _race(self) -> None:
        """Send two contents under one version to two controllers at once."""
        version = self.next_version()
        async with curio.TaskGroup() as tasks:
            for writer in ("a", "b"):
                content = build_content(version, writer)
                await tasks.spawn(self.send_until_acknowledged, content)

    async def _repeat_newest(self) -> None:
        if self._sent:
            await self.send(max(self._sent, key=_version_of), self._any_controller())

    async def _repeat_older(self) -> None:
        if self._sent:
            await self.send(self._generator.choice(self._sent), self._any_controller())

    async def _send_other_content(self) -> None:
        """Send another content under a version that has been confirmed."""
        content = await self.change()
        other = build_content(content.version, "c")
        await self.send(other, self._any_controller())

    async def _send_invalid(self) -> None:
        flaw = self._generator.choice(FLAWS)
        content = build_content(self.next_version(), "i", flaw)
        await self.send(content, self._any_controller())

    async def _send_big(self) -> None:
        await self.send_until_acknowledged(self._next_content(BIG_ROUTES))


def _version_of(content: Content) -> int:
    return content.version
