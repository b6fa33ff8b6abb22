"""Fault injection for fault runs: acts on a fleet under load and records each action."""

from __future__ import annotations

import resource
import time
from collections.abc import Iterable
from itertools import count

import psycopg

from limedyke_lab.checkers.fault_windows import CUT, FREEZE, KILL, UNDO
from limedyke_lab.checkers.leaving import DRAIN_END, DRAIN_START, MEMBER_LEAVING, MEMBER_STOPPED
from limedyke_lab.checkers.revisions import CONFIRMED
from limedyke_lab.fleet.conditions import wait_until
from limedyke_lab.fleet.fleet import Fleet
from limedyke_lab.fleet.operator import OperatorCommandError
from limedyke_lab.fleet.topology import MemberNode
from limedyke_lab.geography import CLIENT
from limedyke_lab.load.runner import LoadRun

RECOVERY_TIMEOUT_S = 30.0
FIRST_CLIENT_LIMIT = 1_001
LEADER = "leader"
VOTER = "voter"
AGREEMENT_FOLDER = "agreement"
DISK_FULL = "disk-full"
COMMAND_FAILED = "command-failed"
POSITION_QUERY = (
    "SELECT CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn()"
    " ELSE pg_current_wal_lsn() END"
)
NO_POSITION = (0, 0)
NO_EXIT_CODE = -1


class FaultStage:
    """Injects faults and undoes them, and records each action in the history.

    :param hold_s: duration of a fault before it is undone
    """

    def __init__(self, fleet: Fleet, load: LoadRun, hold_s: float) -> None:
        self.fleet = fleet
        self.load = load
        self._hold_s = hold_s
        self._limits = count(FIRST_CLIENT_LIMIT)

    @property
    def group(self) -> str:
        """The group whose members fail, which is the first one."""
        return self.fleet.topology.geography.groups[0]

    def hold(self) -> None:
        """Wait for the duration of a fault."""
        time.sleep(self._hold_s)

    # Targets of faults

    def primary(self) -> MemberNode:
        """Return the current primary of the group."""
        return self.fleet.wait_for_primary(self.group)

    def next_primary(self, old: MemberNode) -> MemberNode:
        """Wait until another member is primary, and return it."""
        wait_until(
            lambda: self.fleet.members.primary_of(self.group) not in (None, old),
            f"{self.group} has another primary than {old.node.name}",
            RECOVERY_TIMEOUT_S,
        )
        return self.fleet.members.primary_of(self.group)

    def replica(self) -> MemberNode:
        """Return a member of the group that is not its primary."""
        primary = self.primary()
        return next(m for m in self.fleet.topology.members_of(self.group) if m != primary)

    def leader(self) -> str:
        """Return the name of the leading controller."""
        return next(row["name"] for row in self._controllers() if row["role"] == LEADER)

    def follower(self) -> str:
        """Return the name of a controller that is not the leader."""
        leader = self.leader()
        return next(n.name for n in self.fleet.topology.controllers if n.name != leader)

    def _controllers(self) -> list[dict]:
        return self.fleet.operator.status()["controllers"]

    def proxy(self) -> str:
        """Return the name of the proxy to fail."""
        return self.fleet.topology.proxies[1].name

    # Faults of processes

    def kill(self, name: str) -> None:
        """Kill a process, simulating a crash."""
        self.load.note(KILL, name)
        self.fleet.kill(name)

    def restart(self, name: str) -> None:
        """Restart a killed process."""
        self.fleet.restart(name)
        self.load.note(UNDO, name)

    def freeze(self, name: str) -> None:
        """Suspend a process (SIGSTOP)."""
        self.load.note(FREEZE, name)
        self.fleet.freeze(name)

    def thaw(self, name: str) -> None:
        """Resume a suspended process (SIGCONT)."""
        self.fleet.thaw(name)
        self.load.note(UNDO, name)

    def lose_disk(self, name: str) -> None:
        """Kill a process and remove its data folder."""
        self.kill(name)
        self.fleet.remove_data(name)

    def fill_disk(self, name: str) -> None:
        """Stop a controller's log from growing, simulating a full disk.

        Limits the process's file size to the current size of its log.
        """
        folder = self.fleet.files.data(name) / AGREEMENT_FOLDER
        largest = max(file.stat().st_size for file in folder.iterdir())
        self.load.note(DISK_FULL, name, largest)
        self._limit_file_size(name, largest)

    def free_disk(self, name: str) -> None:
        """Undo ``fill_disk``; restarts the process if it ended because of the fault."""
        self.load.note(UNDO, name)
        if self.fleet.process(name).running:
            self._limit_file_size(name, resource.RLIM_INFINITY)
        self.fleet.restart(name)

    def _limit_file_size(self, name: str, size: int) -> None:
        limits = (size, resource.RLIM_INFINITY)
        resource.prlimit(self.fleet.process(name).pid, resource.RLIMIT_FSIZE, limits)

    # Planned stops

    def stop(self, proxy: str) -> None:
        """Stop a proxy with SIGTERM and wait until it ends."""
        self.load.note(DRAIN_START, proxy)
        code = self.fleet.terminate(proxy)
        self.load.note(DRAIN_END, proxy, NO_EXIT_CODE if code is None else code)

    def leave(self, member: MemberNode) -> None:
        """Declare a member as leaving (drain)."""
        self._confirm_drain(member)
        self.load.note(MEMBER_LEAVING, member.node.name)

    def come_back(self, member: MemberNode) -> None:
        """Undo the declaration of a member as leaving."""
        self.load.note(MEMBER_STOPPED, member.node.name)
        self._confirm_drain(member, "--undo")

    def _confirm_drain(self, member: MemberNode, *flags: str) -> None:
        plan = self.fleet.operator.run("drain", f"{member.group}/{member.node.name}", *flags)
        self.fleet.operator.confirm(plan["plan_id"])

    def set_switch(self, members: Iterable[MemberNode], name: str, value: object) -> None:
        """Set a failure switch on members."""
        for member in members:
            self.fleet.members.set_switch(member, name, value)

    # Faults of the network

    def cut(self, name: str) -> None:
        """Cut all traffic to and from a node."""
        self.load.note(CUT, name)
        self.fleet.isolate(name)

    def cut_outgoing(self, name: str) -> None:
        """Cut outgoing traffic of a node; incoming traffic still passes."""
        self.load.note(CUT, name)
        self.fleet.relays.cut_one_way(name, "*")

    def cut_incoming(self, name: str) -> None:
        """Cut incoming traffic of a node; outgoing traffic still passes."""
        self.load.note(CUT, name)
        self.fleet.relays.cut_one_way("*", name)

    def heal(self, *names: str) -> None:
        """Undo all cuts; ``names`` are the nodes that were cut off."""
        self.fleet.relays.heal_all()
        for name in names:
            self.load.note(UNDO, name)

    def lose_region(self, zone: str) -> tuple[str, ...]:
        """Cut off a zone from other zones and from clients; return the names of its nodes."""
        names = tuple(n.name for n in self.fleet.topology.nodes if n.zone.name == zone)
        for name in names:
            self.load.note(CUT, name)
        others = [z.name for z in self.fleet.topology.geography.zones if z.name != zone]
        for place in (*others, CLIENT):
            self.fleet.relays.cut(zone, place)
        return names

    # Operators

    def change_configuration(self) -> None:
        """Confirm a configuration change, retrying until the recovery timeout."""
        limit = next(self._limits)
        revisions: list[int] = []

        def declared() -> bool:
            try:
                revisions.append(self.fleet.declare_client_limit(limit))
            except OperatorCommandError as error:
                self.load.note(COMMAND_FAILED, detail=str(error))
                return False
            return True

        wait_until(declared, "a change is confirmed", RECOVERY_TIMEOUT_S)
        self.load.note(CONFIRMED, value=revisions[-1])

    def replace_controller(self, name: str) -> None:
        """Add a controller with an empty disk, then give it back its vote."""
        self._command_until_done("controller", "add", name, "--yes")
        self._command_until_done("controller", "replace", name, "--yes")
        wait_until(
            lambda: self._roles(name) in ([VOTER], [LEADER]),
            f"{name} is a voter again",
            RECOVERY_TIMEOUT_S,
        )

    def _roles(self, name: str) -> list[str]:
        return [row["role"] for row in self._controllers() if row["name"] == name]

    def _command_until_done(self, *command: str) -> None:
        def done() -> bool:
            try:
                self.fleet.operator.run(*command)
            except OperatorCommandError as error:
                self.load.note(COMMAND_FAILED, detail=str(error))
                return False
            return True

        wait_until(done, f"{' '.join(command)} is done", RECOVERY_TIMEOUT_S)

    def wait_caught_up(self, member: MemberNode) -> None:
        """Wait until a rebuilt replica reaches the primary's current position."""
        target = self._position(self.primary())
        wait_until(
            lambda: self._position(member) >= target,
            f"{member.node.name} has caught up",
            RECOVERY_TIMEOUT_S,
        )

    def _position(self, member: MemberNode) -> tuple[int, int]:
        """Return the position of a member; the lowest position while it is unreachable."""
        try:
            (row,) = self.fleet.members.query(member, POSITION_QUERY)
        except psycopg.Error:
            return NO_POSITION
        high, low = str(row[0]).split("/")
        return int(high, 16), int(low, 16)
