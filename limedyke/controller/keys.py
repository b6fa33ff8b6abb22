"""The keys that peers of a controller prove on a link."""

from __future__ import annotations

from limedyke.messages.handshake import PeerRole
from limedyke.settings.controller import ControllerSettings
from limedyke.settings.secrets import Secrets


class ControllerKeys:
    """The keys expected of peers: the cluster key, or an operator's own key."""

    def __init__(self, settings: ControllerSettings, secrets: Secrets) -> None:
        self.cluster_key = (secrets.get(settings.cluster_key) or "").encode()
        self._operators = {
            operator.name: (secrets.get(operator.secret) or "").encode()
            for operator in settings.operators
        }

    def missing(self) -> list[str]:
        """Return the names of the keys that have no secret."""
        names = [name for name, key in self._operators.items() if not key]
        return names if self.cluster_key else [*names, "cluster key"]

    def __call__(self, role: PeerRole, name: str) -> bytes | None:
        """Return the key of a peer, or None if the peer is unknown."""
        if role is PeerRole.OPERATOR:  # each operator proves a key of its own
            return self._operators.get(name)
        return self.cluster_key
