"""An operator that sends declarations to any controller and reads them back."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import curio

from limedyke.controller.call_router import CallRouter
from limedyke.messages.calls import CallAnswer, DeclareCall, ReadDeclarationCall
from limedyke.messages.declaration import Declaration
from limedyke.messages.handshake import PeerRole
from limedyke.result_codes import ResultCode
from limedyke.transport.link import LinkIdentity
from limedyke_lab.simulator.layout import LINK_PORT, Place
from limedyke_lab.simulator.machine.kernel import Kernel
from limedyke_lab.simulator.voters.record import Shown, VoterRecord

MIN_PAUSE_S, MAX_PAUSE_S = 0.1, 0.6
RETRY_PAUSE_S = 0.1
ATTEMPTS = 120
READ_INTERVAL_S = 0.2
NO_ANSWER = ResultCode.CONTROL_OUTCOME_UNKNOWN.value.number


class Versions:
    """The numbering that the operators of a run share."""

    def __init__(self) -> None:
        self.newest = 0
        self.documents: list[tuple[int, bytes]] = []

    def next(self) -> int:
        """Return the next version."""
        self.newest += 1
        return self.newest


class DeclaringOperator:
    """Sends declarations, repeated and conflicting ones too.

    :param controllers: returns the machines that may be asked
    :param confirmed: called with each version that is confirmed
    """

    def __init__(
        self,
        place: Place,
        key: bytes,
        controllers: Callable[[], Sequence[Place]],
        versions: Versions,
        record: VoterRecord,
        kernel: Kernel,
        confirmed: Callable[[int], None],
        seed: int,
    ) -> None:
        async def ignore() -> None:
            pass

        identity = LinkIdentity(PeerRole.FORWARDER, place.name, key)
        self._router = CallRouter(
            lambda: None, lambda: "", identity, lambda role, name: key, place.ip, ignore
        )
        self._name = place.name
        self._controllers = controllers
        self._versions = versions
        self._record = record
        self._kernel = kernel
        self._confirmed = confirmed
        self._rng = random.Random(f"{seed}/{place.name}")

    async def run(self) -> None:
        """Send and read until the process ends."""
        await curio.spawn(self._read, daemon=True)
        actions = (self._change, self._change, self._repeat, self._send_other)
        while True:
            await self._rng.choice(actions)()
            await curio.sleep(self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))

    async def _change(self) -> None:
        """Send the next version, sometimes under a number that another operator uses too."""
        version = self._versions.next()
        if self._rng.random() < 0.2:
            version = max(1, version - 1)
        document = f"{version} by {self._name}".encode()
        self._versions.documents.append((version, document))
        await self._send_until_confirmed(version, document)

    async def _repeat(self) -> None:
        """Send a declaration again, the newest one or an older one."""
        documents = self._versions.documents
        if documents:
            chosen = documents[-1] if self._rng.random() < 0.5 else self._rng.choice(documents)
            await self._send(*chosen)

    async def _send_other(self) -> None:
        """Send other content under a version that was sent before."""
        documents = self._versions.documents
        if documents:
            version, _ = self._rng.choice(documents)
            await self._send(version, f"{version} otherwise by {self._name}".encode())

    async def _send_until_confirmed(self, version: int, document: bytes) -> None:
        for _ in range(ATTEMPTS):
            if await self._send(version, document) == 0:
                return
            await curio.sleep(RETRY_PAUSE_S)

    async def _send(self, version: int, document: bytes) -> int:
        number = self._record.begin(version, document, self._kernel.now)
        answer = await self._ask(DeclareCall(version, document, Declaration()))
        code = None if answer.code == NO_ANSWER else answer.code
        self._record.end(number, code, self._kernel.now)
        if answer.code == 0:
            self._confirmed(version)
        return answer.code

    async def _ask(self, call: DeclareCall | ReadDeclarationCall) -> CallAnswer:
        place = self._rng.choice(self._controllers())
        return await self._router.ask_at(place.address(LINK_PORT), call)

    async def _read(self) -> None:
        while True:
            for place in self._controllers():
                sent_at = self._kernel.now
                answer = await self._router.ask_at(place.address(LINK_PORT), ReadDeclarationCall())
                if answer.code == 0 and answer.version:
                    shown = Shown(place.name, answer.version, answer.document, sent_at)
                    self._record.shown.append(shown)
            await curio.sleep(READ_INTERVAL_S)
