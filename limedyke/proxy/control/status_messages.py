"""Builds the messages that report a proxy's own state: hello, heartbeat and leaving."""

from __future__ import annotations

from limedyke.messages.control import (
    ConnectionDemand,
    ConnectionLease,
    ProxyHeartbeat,
    ProxyHello,
    ProxyLeaving,
    ProxyState,
)
from limedyke.proxy.control.settings import ControlClientSettings
from limedyke.proxy.control.store import StoredControl
from limedyke.proxy.control.view import ControlView


class ProxyStatusMessages:
    """Builds the hello, heartbeat and leaving messages of one proxy.

    :ivar sequence: number of the last heartbeat of this process
    """

    def __init__(self, settings: ControlClientSettings) -> None:
        self.sequence = 0
        self._settings = settings
        self._state = ProxyState.SERVING

    def hello(self, stored: StoredControl, view: ControlView | None) -> ProxyHello:
        """Return the first message on a link.

        :param stored: incarnation and folder id from the proxy's data folder
        :param view: the latest view received, applied or not
        """
        return ProxyHello(
            name=self._settings.name,
            incarnation=stored.incarnation,
            address=self._settings.link_advertise,
            zone=self._settings.zone,
            control_index=view.control_index if view else 0,
            revision=view.revision if view else 0,
            folder_id=stored.folder_id,
            region=self._settings.region,
            reports_positions=True,
            reports_claims=True,
        )

    def next_heartbeat(
        self,
        view: ControlView | None,
        clients: int,
        leases: tuple[ConnectionLease, ...],
        demands: tuple[ConnectionDemand, ...] | None = None,
    ) -> ProxyHeartbeat:
        """Return the next heartbeat.

        :param view: the applied view
        :param clients: number of connected clients
        :param leases: all held leases on the first heartbeat of a link, else empty
        :param demands: all demands on the first heartbeat of a link, else those that changed;
            None for no report
        """
        self.sequence += 1
        return ProxyHeartbeat(
            sequence=self.sequence,
            control_index=view.control_index if view else 0,
            revision=view.revision if view else 0,
            state=self._state,
            clients=clients,
            leases=leases,
            demands=demands,
        )

    def leave(self, done: bool) -> ProxyLeaving:
        """Record that the proxy drains or has finished draining; return the message for it."""
        self._state = ProxyState.GONE if done else ProxyState.DRAINING
        return ProxyLeaving(done)

    def leaving(self) -> ProxyLeaving | None:
        """Return the message to repeat on a new link if the proxy is leaving, else None."""
        if self._state is ProxyState.SERVING:
            return None
        return ProxyLeaving(self._state is ProxyState.GONE)
