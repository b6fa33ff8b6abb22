"""Keeps the wanted number of voters automatically while this controller leads."""

from __future__ import annotations

import curio
from result import Err

from limedyke.controller.clock import boot_seconds
from limedyke.controller.replica import Replica
from limedyke.core.agreement.events import AddLearner, MembershipChange
from limedyke.core.agreement.voter_policy import VoterPolicy
from limedyke.event_log import EventLog
from limedyke.messages.control_entries import ControllerAddress, RecordControllers

CHECK_INTERVAL_S = 0.1
EVENTS = EventLog("voters")


class VoterManager:
    """Executes the changes that the voter policy chooses, one at a time.

    :param advertise: where the other controllers reach this one (``ip:port``)
    """

    def __init__(self, replica: Replica, policy: VoterPolicy, advertise: str) -> None:
        self._replica = replica
        self._policy = policy
        self._advertise = advertise

    async def run(self) -> None:
        """Check the members periodically while this controller leads, until cancelled."""
        while True:
            if self._replica.leads and self._replica.agreement.membership_settled:
                await self._step()
            await curio.sleep(CHECK_INTERVAL_S)

    async def _step(self) -> None:
        change = self._next_change()
        if change is not None:
            await self._execute(change)
        await self._record_addresses()

    def _next_change(self) -> MembershipChange | None:
        agreement = self._replica.agreement
        return self._policy.next_change(
            agreement.configuration,
            [learner for learner, lag in agreement.learner_lag().items() if lag == 0],
            self._replica.members_heard_at(),
            self._replica.waiting.all(),
            boot_seconds(),
        )

    async def _execute(self, change: MembershipChange) -> None:
        if isinstance(change, AddLearner):
            waiting = self._replica.waiting.find(change.identity.name)
            self._replica.learn_address(waiting.identity.name, waiting.address)
        result = await self._replica.change_members(change)
        outcome = "refused" if isinstance(result, Err) else "done"
        EVENTS.info("voter-change", change=change, outcome=outcome)

    async def _record_addresses(self) -> None:
        """Record the addresses of members, and remove those of former members."""
        configuration = self._replica.agreement.configuration
        names = {member.name for member in configuration.voters + configuration.learners}
        own = self._replica.agreement.identity.name
        known = {**self._replica.known_addresses, own: self._advertise}
        recorded = self._replica.state.controllers
        wanted = {name: known[name] for name in names if known.get(name)}
        changed = tuple(
            ControllerAddress(name, address)
            for name, address in sorted(wanted.items())
            if recorded.get(name) != address
        )
        removed = tuple(sorted(name for name in recorded if name not in names))
        if changed or removed:
            await self._replica.propose(RecordControllers(changed, removed))
