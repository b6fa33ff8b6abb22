"""Wrappers that record the product's decisions in the history without changing them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from limedyke.controller.replica import Replica
from limedyke.controller.server import Controller
from limedyke.core.agreement.commands import Role
from limedyke.core.control.declaration_change import DeclaredState
from limedyke.core.control.lease_table import LeaseTable
from limedyke.core.control.state import ApplyResult, ControlState
from limedyke.messages.declaration import Declaration
from limedyke.proxy import unit_write
from limedyke.proxy.control.bridge import ControlBridge
from limedyke.proxy.control.view import ControlView
from limedyke.proxy.forwarding.link import HomeLink
from limedyke.proxy.members.held_leases import HeldLeases
from limedyke.proxy.unit_context import UnitContext
from limedyke_lab.simulator.clients.operators import declaration_digest
from limedyke_lab.simulator.history import History
from limedyke_lab.simulator.machine.curio_process import CurioProcess
from limedyke_lab.simulator.machine.environment import Environment

Replacement = tuple[object, str, object]


def instruments(history: History, environment: Environment) -> list[Replacement]:
    """Return the recording wrappers of the product's methods for one run."""
    recorder = Recorder(history, environment)
    return [
        (ControlState, "apply", recorder.wrap_apply(ControlState.apply)),
        (Controller, "_on_role", recorder.wrap_role(Controller._on_role)),
        (Replica, "_restore", recorder.wrap_restore(Replica._restore)),
        (LeaseTable, "report", recorder.wrap_lease_report(LeaseTable.report)),
        (HomeLink, "run_unit", recorder.wrap_forwarding(HomeLink.run_unit)),
        (ControlBridge, "control_changed", recorder.wrap_view(ControlBridge.control_changed)),
        (UnitContext, "exchange", recorder.wrap_exchange(UnitContext.exchange)),
        (unit_write, "acknowledges", recorder.wrap_acknowledges(unit_write.acknowledges)),
        *(
            (HeldLeases, name, recorder.wrap_leases(getattr(HeldLeases, name)))
            for name in ("renewed", "update", "returned", "expire")
        ),
    ]


def view_digest(view: ControlView) -> str:
    """Return the digest of the declaration that a proxy has in force."""
    declared = DeclaredState(
        Declaration(
            tenants=tuple(view.tenants.values()),
            groups=tuple(view.groups.values()),
            token_keys=view.token_keys,
            proxies=tuple(view.intents.values()),
        )
    )
    return declaration_digest(declared.declaration())


class Recorder:
    """Builds wrappers that record calls of product methods."""

    def __init__(self, history: History, environment: Environment) -> None:
        self._history = history
        self._environment = environment

    @property
    def _process(self) -> CurioProcess:
        return self._environment.current

    def wrap_apply(self, original: Callable) -> Callable:
        """Record each new revision that a controller applies."""

        def apply(state: ControlState, index: int, entry: object) -> ApplyResult:
            before = state.revision
            applied = original(state, index, entry)
            if state.revision != before:
                self._history.add(
                    "revision-applied",
                    controller=self._process.name,
                    revision=state.revision,
                    index=index,
                    digest=declaration_digest(state.declared.declaration()),
                )
            return applied

        return apply

    def wrap_role(self, original: Callable) -> Callable:
        """Record each controller that becomes leader of a term."""

        async def on_role(controller: Controller) -> None:
            agreement = controller._replica.agreement
            if agreement.role is Role.LEADER:
                self._history.add(
                    "controller-leads", controller=self._process.name, term=agreement.term
                )
            await original(controller)

        return on_role

    def wrap_restore(self, original: Callable) -> Callable:
        """Record each control state snapshot that a controller installs."""

        async def restore(replica: Replica, snapshot: Any) -> None:
            self._history.add(
                "snapshot-installed", controller=self._process.name, index=snapshot.index
            )
            await original(replica, snapshot)

        return restore

    def wrap_lease_report(self, original: Callable) -> Callable:
        """Record each holder whose leases a new leader takes over."""

        def report(
            table: LeaseTable,
            proxy: str,
            leases: tuple,
            now: float,
            demands: tuple | None = None,
        ) -> None:
            if any(lease.connections for lease in leases):
                self._history.add("leases-adopted", controller=self._process.name, proxy=proxy)
            original(table, proxy, leases, now, demands)

        return report

    def wrap_forwarding(self, original: Callable) -> Callable:
        """Record each unit of work that a proxy forwards to a home proxy."""

        async def run_unit(link: HomeLink, unit: Any, relay: Any) -> Any:
            self._history.add("forwarded", proxy=self._process.name, home=link.home)
            return await original(link, unit, relay)

        return run_unit

    def wrap_view(self, original: Callable) -> Callable:
        """Record each control view that a proxy applies."""

        async def control_changed(bridge: ControlBridge, view: ControlView) -> None:
            self._history.add(
                "in-force",
                proxy=self._process.name,
                control_index=view.control_index,
                revision=view.revision,
                digest=view_digest(view),
                terms=tuple((p.group, p.term) for p in view.primaries.values()),
                primary_members=tuple(p.primary for p in view.primaries.values() if p.primary),
                leaving=tuple(
                    member.name
                    for group in view.groups.values()
                    for member in group.members
                    if member.leaving
                ),
            )
            await original(bridge, view)

        return control_changed

    def wrap_exchange(self, original: Callable) -> Callable:
        """Record each batch of a caller that a proxy sends to a member."""

        async def exchange(context: UnitContext, connection: Any, plan: Any) -> Any:
            self._history.add(
                "work-sent",
                proxy=self._process.name,
                member=connection.endpoint.name,
                in_transaction=context.transactions.get(context.transaction_key) is not None,
            )
            return await original(context, connection, plan)

        return exchange

    def wrap_acknowledges(self, original: Callable) -> Callable:
        """Record each acknowledgement of a commit that a proxy is about to relay."""

        def acknowledges(view: Any, member: str, term: int, answer_term: int) -> bool:
            accepted = original(view, member, term, answer_term)
            if accepted:
                self._history.add(
                    "acknowledged",
                    proxy=self._process.name,
                    group=view.name,
                    member=member,
                    term=answer_term,
                )
            return accepted

        return acknowledges

    def wrap_leases(self, original: Callable) -> Callable:
        """Record a proxy's leases after each change, with their expiry in true time."""

        def changed(held: HeldLeases, *arguments: Any) -> Any:
            result = original(held, *arguments)
            holdings = tuple(
                (lease.group, lease.tenant, lease.connections) for lease in held.holdings()
            )
            expires = round(self._process.process.true_time(held.expires_at), 6)
            recorded = (holdings, expires)
            if getattr(held, "recorded", None) != recorded:
                held.recorded = recorded
                self._history.add(
                    "lease", proxy=self._process.name, holdings=holdings, expires=expires
                )
            return result

        return changed
