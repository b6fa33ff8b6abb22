"""Brings a controller with an empty data folder into a cluster, or founds one."""

from __future__ import annotations

import secrets

import curio

from limedyke.controller.clock import boot_seconds
from limedyke.controller.mailbox import Mailbox
from limedyke.controller.peer_network import PeerMessage, PeerNetwork
from limedyke.core.agreement.founding import (
    Founding,
    FoundingCommand,
    InstallGenesis,
    JoinCluster,
    SendFoundingMessage,
    SettingsDisagree,
)
from limedyke.event_log import EventLog
from limedyke.messages.agreement import (
    AppendEntriesRequest,
    ControllerIdentity,
    FoundingMessage,
    InstallSnapshotRequest,
)
from limedyke.storage.durable_log import DurableLog

TICK_S = 0.05
CLUSTER_ID_BYTES = 8
EVENTS = EventLog("founding")


class FoundingPhase:
    """Runs the founding core until the data folder holds a cluster, or is to join one.

    :param log: the empty durable log
    :param voter_names: the founding voters in the settings
    """

    def __init__(self, log: DurableLog, network: PeerNetwork, voter_names: tuple[str, ...]) -> None:
        self._log = log
        self._network = network
        self._core = Founding(log.identity, voter_names, secrets.token_hex(CLUSTER_ID_BYTES))
        self._received: Mailbox[tuple[ControllerIdentity, PeerMessage]] = Mailbox()

    async def receive(self, sender: ControllerIdentity, message: PeerMessage) -> None:
        """Queue a message from another controller."""
        await self._received.put((sender, message))

    async def run(self) -> None:
        """Return when the agreement may be started.

        :raises OSError: if the disk refuses the genesis snapshot
        """
        while True:
            commands: list[FoundingCommand] = []
            for sender, message in await self._received.take_all(TICK_S):
                if isinstance(message, FoundingMessage):
                    commands += self._core.handle(sender, message)
                elif isinstance(message, AppendEntriesRequest | InstallSnapshotRequest):
                    commands += self._core.on_leader_contact()
            commands += self._core.tick(boot_seconds())
            for command in commands:
                if await self._execute(command):
                    return

    async def _execute(self, command: FoundingCommand) -> bool:
        """Execute a command; tell whether the founding is over."""
        match command:
            case SendFoundingMessage():
                await self._network.send(command.to, command.message)
                return False
            case InstallGenesis():
                installed = await curio.run_in_thread(
                    self._log.install_snapshot, command.snapshot, False
                )
                if installed.is_err():
                    raise OSError(str(installed.unwrap_err()))
                EVENTS.info("cluster-founded", cluster=command.snapshot.configuration.cluster)
                return True
            case JoinCluster():
                EVENTS.info("joining", identity=self._log.identity, reason=command.reason)
                return True
            case SettingsDisagree():
                names = ",".join(command.voter_names)
                EVENTS.error("settings-disagree", peer=command.peer, peer_voters=names)
                return False
