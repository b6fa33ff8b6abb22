"""Simulated operators, which race each other, lose answers and resend requests."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable
from dataclasses import replace

import curio
from result import Err

from limedyke.core.control.declaration_change import DeclaredState
from limedyke.messages.codec import encode
from limedyke.messages.declaration import Declaration, ProxyIntent
from limedyke.messages.handshake import PeerRole
from limedyke.messages.operator import (
    Confirmed,
    ConfirmRequest,
    ControllerChanged,
    ControllerChangeRequest,
    DeclarationInForce,
    DeclarationRequest,
    Plan,
    PlanRequest,
    Refused,
    SwitchoverRequest,
)
from limedyke.result_codes import ResultCode
from limedyke.transport.link import Link, LinkClosedError, LinkIdentity, dial
from limedyke_lab.simulator.history import History

ANSWER_TIMEOUT_S = 2.0
RETRY_PAUSE_S = 0.2
MAXIMUM_ATTEMPTS = 40
REPLACE_ATTEMPTS = 60
REPLACE_PAUSE_S = 0.5
RESEND_SHARE = 0.4
"""Share of the answered confirmations that are sent again."""

ABANDON_SHARE = 0.15
"""Share of the plans that are never confirmed."""

INDEFINITE_CODES = (
    ResultCode.NOT_LEADER.value.number,
    ResultCode.CONTROL_OUTCOME_UNKNOWN.value.number,
)

Edit = Callable[[Declaration], Declaration]


def declaration_digest(declaration: Declaration) -> str:
    """Return a short digest of a declaration that ignores the order of its items."""
    normal = DeclaredState(declaration).declaration()
    return hashlib.sha256(encode(normal)).hexdigest()[:12]


def set_client_limit(tenant: str, limit: int) -> Edit:
    """Return an edit that sets a tenant's client limit."""

    def edit(declaration: Declaration) -> Declaration:
        tenants = tuple(
            replace(item, client_limit=limit) if item.name == tenant else item
            for item in declaration.tenants
        )
        return replace(declaration, tenants=tenants)

    return edit


def set_leaving(member: str, leaving: bool) -> Edit:
    """Return an edit that declares a member leaving or staying."""

    def edit(declaration: Declaration) -> Declaration:
        groups = tuple(
            replace(
                group,
                members=tuple(
                    replace(item, leaving=leaving) if item.name == member else item
                    for item in group.members
                ),
            )
            for group in declaration.groups
        )
        return replace(declaration, groups=groups)

    return edit


def set_draining(proxy: str, draining: bool) -> Edit:
    """Return an edit that declares a proxy draining or serving."""

    def edit(declaration: Declaration) -> Declaration:
        others = tuple(intent for intent in declaration.proxies if intent.name != proxy)
        return replace(declaration, proxies=(*others, ProxyIntent(proxy, draining)))

    return edit


def replace_declaration(declaration: Declaration) -> Edit:
    """Return an edit that replaces the whole declaration."""
    return lambda _: declaration


class Operator:
    """One operator, connected to one controller at a time.

    :param controllers: addresses of the controllers
    """

    def __init__(
        self,
        name: str,
        key: bytes,
        source_ip: str,
        history: History,
        controllers: tuple[str, ...],
        rng: random.Random,
    ) -> None:
        self.name = name
        self._identity = LinkIdentity(PeerRole.OPERATOR, name, key)
        self._source_ip = source_ip
        self._history = history
        self._controllers = controllers
        self._rng = rng
        self._target = 0
        self._requests = 0
        self._link: Link | None = None
        self._request_lock = curio.Lock()

    async def change_until_in_force(self, edit: Edit) -> Confirmed | None:
        """Retry an edit until it is in force; return None if it already was."""
        while True:
            answer = await self.change(edit)
            if isinstance(answer, Confirmed):
                return answer
            if isinstance(answer, Plan) and not answer.changes:
                return None
            await curio.sleep(RETRY_PAUSE_S)

    async def change(self, edit: Edit) -> Confirmed | Refused | Plan | None:
        """Plan an edit of the declaration in force and confirm the plan.

        :returns: the answer; the plan if it was not confirmed; None if the operator gave up
        """
        found = await self.ask(DeclarationRequest(self._new_request_id()))
        if not isinstance(found, DeclarationInForce):
            return None
        wanted = edit(found.declaration)
        request = PlanRequest(self._new_request_id(), wanted, base_revision=found.revision)
        plan = await self.ask(request)
        if not isinstance(plan, Plan):
            return plan
        if not plan.changes:
            return plan
        digest = declaration_digest(wanted)
        if self._rng.random() < ABANDON_SHARE:
            self._history.add("plan-abandoned", operator=self.name, plan=plan.plan_id)
            return plan
        return await self._confirm(plan, digest)

    async def _confirm(self, plan: Plan, digest: str) -> Confirmed | Refused | None:
        request = ConfirmRequest(self._new_request_id(), plan.plan_id)
        self._history.add("confirm-asked", operator=self.name, plan=plan.plan_id, digest=digest)
        answer = await self.ask(request)
        if answer is None:
            return None
        self._record(plan, digest, answer)
        if self._rng.random() < RESEND_SHARE:
            async with self._request_lock:
                await self._disconnect()
            self._target = self._rng.randrange(len(self._controllers))
            again = await self.ask(request)
            if again is not None:
                self._record(plan, digest, again)
        return answer

    def _record(self, plan: Plan, digest: str, answer: Confirmed | Refused) -> None:
        confirmed = isinstance(answer, Confirmed)
        self._history.add(
            "confirm-answer",
            operator=self.name,
            request=answer.request_id,
            plan=plan.plan_id,
            base_revision=plan.base_revision,
            revision=answer.revision if confirmed else 0,
            refused=0 if confirmed else answer.code,
            digest=digest,
            answer=str(answer),
        )

    async def switch_over(self, group: str, member: str) -> object | None:
        """Request a planned switchover to a member."""
        return await self.ask(SwitchoverRequest(self._new_request_id(), group, member, True))

    async def replace_controller(self, name: str) -> bool:
        """Restore a controller that lost its disk as a voter under its new identity."""
        return await self._change_controller("add", name) and (
            await self._change_controller("replace", name)
        )

    async def _change_controller(self, action: str, name: str) -> bool:
        for _ in range(REPLACE_ATTEMPTS):
            request = ControllerChangeRequest(self._new_request_id(), action, name, "", True)
            answer = await self.ask(request)
            if isinstance(answer, ControllerChanged):
                self._history.add("controller-changed", name=name, state=answer.state)
                return True
            await curio.sleep(REPLACE_PAUSE_S)
        return False

    def _new_request_id(self) -> str:
        self._requests += 1
        return f"{self.name}-{self._requests}"

    async def ask(self, request: object) -> object | None:
        """Send a request until it gets a definite answer; return None after too many attempts."""
        for _ in range(MAXIMUM_ATTEMPTS):
            async with self._request_lock:
                answer = await self._try_request(request)
                if answer is not None:
                    return answer
                await self._disconnect()
                self._target = (self._target + 1) % len(self._controllers)
            await curio.sleep(RETRY_PAUSE_S * (0.5 + self._rng.random()))
        return None

    async def _try_request(self, request: object) -> object | None:
        try:
            async with curio.timeout_after(ANSWER_TIMEOUT_S):
                if self._link is None and not await self._connect():
                    return None
                await self._link.send(request)
                return await self._receive(request.request_id)
        except (LinkClosedError, curio.TaskTimeout):
            return None

    async def _connect(self) -> bool:
        address = self._controllers[self._target]
        dialled = await dial(
            address, self._identity, lambda role, name: self._identity.key, self._source_ip
        )
        self._link = None if isinstance(dialled, Err) else dialled.ok_value
        return self._link is not None

    async def _receive(self, request_id: str) -> object | None:
        while True:
            answer = await self._link.receive()
            if answer.request_id != request_id:
                continue
            if isinstance(answer, Refused) and answer.code in INDEFINITE_CODES:
                return None
            return answer

    async def _disconnect(self) -> None:
        link, self._link = self._link, None
        if link is not None:
            await link.close()
