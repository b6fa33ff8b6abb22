"""What a proxy tells the leader of itself: hello, heartbeat and that it leaves."""

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


class ControlAnnouncements:
    """Makes the messages in which a proxy speaks of itself.

    :ivar sequence: number of the newest heartbeat of this process
    """

    def __init__(self, settings: ControlClientSettings) -> None:
        self.sequence = 0
        self._settings = settings
        self._state = ProxyState.SERVING

    def hello(self, stored: StoredControl, view: ControlView | None) -> ProxyHello:
        """Return the first message on a link.

        :param stored: what the proxy's folder says of it
        :param view: the newest view received, in force or not
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
        )

    def next_heartbeat(
        self,
        view: ControlView | None,
        clients: int,
        leases: tuple[ConnectionLease, ...],
        demands: tuple[ConnectionDemand, ...] | None = None,
    ) -> ProxyHeartbeat:
        """Return the next heartbeat.

        :param view: the view in force
        :param clients: how many clients are connected
        :param leases: all that is held, on the first heartbeat of a link
        :param demands: all of them on that one, what changed on others; None where none is told
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
        """Note that the proxy drains, or is done with it, and return the message that says so."""
        self._state = ProxyState.GONE if done else ProxyState.DRAINING
        return ProxyLeaving(done)

    def leaving(self) -> ProxyLeaving | None:
        """Return the message that a new link needs when the proxy leaves."""
        if self._state is ProxyState.SERVING:
            return None
        return ProxyLeaving(self._state is ProxyState.GONE)
