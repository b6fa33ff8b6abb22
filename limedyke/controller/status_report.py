"""The state of the whole system as the leading controller knows it."""

from __future__ import annotations

from limedyke.controller.clock import boot_seconds
from limedyke.controller.leading.leader_service import LeaderService
from limedyke.controller.replica import Replica
from limedyke.messages.agreement import ControllerIdentity
from limedyke.messages.control import ProxyRecord
from limedyke.messages.operator import ControllerStatus, ProxyStatus, Status


class StatusReport:
    """Builds the answer to ``StatusRequest``.

    :param addresses: the addresses of the controllers by name
    """

    def __init__(self, replica: Replica, addresses: dict[str, str]) -> None:
        self._replica = replica
        self._addresses = addresses

    def report(self, request_id: str, service: LeaderService) -> Status:
        """Return the current state; call this only under the leader lease."""
        replica = self._replica
        state = replica.state
        now = boot_seconds()
        return Status(
            request_id=request_id,
            revision=state.revision,
            control_index=state.control_index,
            controller_term=replica.agreement.term,
            controllers=self._controllers(),
            proxies=tuple(
                self._proxy(record, service, now) for _, record in sorted(state.proxies.items())
            ),
            primaries=tuple(primary for _, primary in sorted(state.primaries.items())),
        )

    def _controllers(self) -> tuple[ControllerStatus, ...]:
        agreement = self._replica.agreement
        configuration = agreement.configuration
        rows = [self._controller(voter, "voter") for voter in configuration.voters]
        rows += [self._controller(learner, "learner") for learner in configuration.learners]
        known = {identity.name for identity in configuration.voters + configuration.learners}
        known_identities = set(configuration.voters + configuration.learners)
        for name, non_member in sorted(self._replica.non_members.items()):
            if non_member not in known_identities:
                role = "replaced-disk" if name in known else "waiting"
                rows.append(self._controller(non_member, role))
        return tuple(rows)

    def _controller(self, identity: ControllerIdentity, role: str) -> ControllerStatus:
        agreement = self._replica.agreement
        is_self = identity == agreement.identity
        progress = agreement.member_progress().get(identity)
        last_response_at = progress.last_response_at if progress else 0.0
        return ControllerStatus(
            name=identity.name,
            address=self._addresses.get(identity.name, ""),
            role="leader" if is_self else role,
            matched_index=agreement.last_index
            if is_self
            else (progress.match_index if progress else 0),
            silent_ms=0 if is_self else int((boot_seconds() - last_response_at) * 1000),
        )

    def _proxy(self, record: ProxyRecord, service: LeaderService, now: float) -> ProxyStatus:
        session = service.decisions.membership.session(record.name)
        revision = session.revision if session else 0
        return ProxyStatus(
            proxy=record,
            connected=session.connected if session else False,
            revision=revision,
            lag=max(0, self._replica.state.revision - revision),
            clients=session.clients if session else 0,
            silent_ms=int((now - session.heard_at) * 1000) if session else 0,
        )
