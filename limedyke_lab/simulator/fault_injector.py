"""Carries out the faults of a run on its world, and undoes all that is left at the end."""

from __future__ import annotations

import random
from collections.abc import Callable

import curio

from limedyke_lab.simulator.clients.operators import Operator, set_client_limit, set_leaving
from limedyke_lab.simulator.faults import Fault
from limedyke_lab.simulator.layout import OPERATORS
from limedyke_lab.simulator.world import World

SLOW_EXECUTE_S = 0.12
HIGHEST_LAG_S = 2.5
POWER_LOSS_OPERATIONS = 6
WATCH_S = 0.005
CRASH_WITHIN_S = 0.15
NOTICED_AFTER_S = 2.0
"""Time until a disk whose sync failed has been seen to."""


class Strikes:
    """Schedules faults; those that would need more than the system promises are left out.

    :param healed_at: true time at which every fault ends
    """

    def __init__(self, world: World, faults: tuple[Fault, ...], healed_at: float) -> None:
        self._world = world
        self._healed_at = healed_at
        self._rng = random.Random(f"{world.seed}/strikes")
        self._limit = 0
        self._targets = (*world.controllers, *world.members, *world.proxies)
        self._actions: dict[str, Callable[[Fault], None]] = {
            "crash": lambda fault: self._crash(fault.target, fault),
            "freeze": lambda fault: self._freeze(fault.target, fault),
            "isolate": lambda fault: self._isolate(fault.target, fault, True, True),
            "isolate-out": lambda fault: self._isolate(fault.target, fault, True, False),
            "isolate-in": lambda fault: self._isolate(fault.target, fault, False, True),
            "cut": lambda fault: self._cut(fault, both=True),
            "cut-one-way": lambda fault: self._cut(fault, both=False),
            "break-streams": self._break_streams,
            "lose-disk": self._lose_disk,
            "power-loss": self._lose_power,
            "crash-leader": lambda fault: self._crash(self._leader_or(fault.target), fault),
            "freeze-leader": lambda fault: self._freeze(self._leader_or(fault.target), fault),
            "isolate-leader": lambda fault: self._isolate(
                self._leader_or(fault.target), fault, True, True
            ),
            "split-leader": self._split_leader,
            "mute-primary": self._mute_primary,
            "crash-primary": lambda fault: self._crash(world.primary_of(fault.target), fault),
            "crash-promoted": lambda fault: self._crash_promoted(
                fault, world.primary_of(fault.target)
            ),
            "isolate-primary": lambda fault: self._isolate(
                world.primary_of(fault.target), fault, True, True
            ),
            "freeze-primary": lambda fault: self._freeze(world.primary_of(fault.target), fault),
            "failed-sync": self._fail_sync,
            "full-disk": self._fill_disk,
            "zone-loss": self._lose_zone,
            "control-power-loss": self._lose_control_power,
            "lossy": lambda fault: world.network.lose(fault.target, self._seconds(fault)),
            "lag": self._lag,
            "slow": self._slow,
            "drop-answer": self._drop_answer,
            "repeat-answer": self._repeat_answer,
            "drain-proxy": self._drain,
            "leave-member": self._leave,
            "switchover": self._switch_over,
            "racing-operators": self._race,
        }
        for fault in faults:
            world.kernel.call_later(fault.time - world.kernel.now, self._strike, fault)
        world.kernel.call_later(healed_at - world.kernel.now, self._heal)

    def _strike(self, fault: Fault) -> None:
        self._world.history.add(
            "fault", number=fault.number, strike=fault.kind, target=fault.target
        )
        self._actions[fault.kind](fault)

    def _seconds(self, fault: Fault) -> float:
        return max(0.0, min(fault.seconds, self._healed_at - self._world.kernel.now))

    def _leader_or(self, name: str) -> str:
        return self._world.leader() or name

    def _crash(self, name: str, fault: Fault) -> None:
        self._world.crash(name, self._seconds(fault))

    def _crash_promoted(self, fault: Fault, present: str) -> None:
        """Wait for the next primary of a group, and crash it soon after its promotion."""
        primary = self._world.primary_of(fault.target)
        if primary == present or not self._world.members[primary].is_primary:
            self._world.kernel.call_later(WATCH_S, self._crash_promoted, fault, present)
            return
        soon_s = self._rng.uniform(0.0, CRASH_WITHIN_S)
        self._world.kernel.call_later(soon_s, self._crash, primary, fault)

    def _freeze(self, name: str, fault: Fault) -> None:
        self._world.freeze(name, self._seconds(fault))

    def _isolate(self, name: str, fault: Fault, outwards: bool, inwards: bool) -> None:
        seconds = self._seconds(fault)
        network = self._world.network
        for other in self._world.processes:
            if other == name:
                continue
            if outwards:
                network.cut(name, other, seconds)
            if inwards:
                network.cut(other, name, seconds)

    def _split_leader(self, fault: Fault) -> None:
        """Cut the leading controller from the others only; proxies still reach it."""
        leader = self._leader_or(fault.target)
        for other in self._world.controllers:
            if other != leader:
                self._cut_pair(leader, other, fault)
                self._cut_pair(other, leader, fault)

    def _mute_primary(self, fault: Fault) -> None:
        """Let a primary's answers reach no proxy, while all else goes on."""
        primary = self._world.primary_of(fault.target)
        for proxy in self._world.proxies:
            self._cut_pair(primary, proxy, fault)

    def _cut_pair(self, source: str, destination: str, fault: Fault) -> None:
        self._world.network.cut(source, destination, self._seconds(fault))

    def _cut(self, fault: Fault, both: bool) -> None:
        first, second = fault.target.split(">")
        seconds = self._seconds(fault)
        self._world.network.cut(first, second, seconds)
        if both:
            self._world.network.cut(second, first, seconds)

    def _break_streams(self, fault: Fault) -> None:
        process = self._world.processes[fault.target]
        self._world.network.break_some_streams(process, 0.5)

    def _lose_disk(self, fault: Fault) -> None:
        name = fault.target
        world = self._world
        if name in world.members:
            self._lose_member_disk(name, fault)
        elif name in world.controllers:
            self._lose_controller_disk(name, fault)
        else:
            world.crash(name, self._seconds(fault))
            world.proxies[name].lose_disk()

    def _lose_member_disk(self, name: str, fault: Fault) -> None:
        world = self._world
        group = world.members[name].group
        fellows = [member for member in world.members.values() if member.group == group]
        if any(member.disk.rebuild for member in fellows):
            return
        world.crash(name, self._seconds(fault))
        world.members[name].lose_disk()
        world.history.add("disk-lost", process=name)

    def _lose_controller_disk(self, name: str, fault: Fault) -> None:
        """Lose a disk unless another one still waits for its replacement."""
        world = self._world
        if world.replacing:
            return
        world.replacing.add(name)
        world.crash(name, self._seconds(fault))
        world.controllers[name].lose_disk()

        async def replace(operator: Operator) -> None:
            if await operator.replace_controller(name):
                world.replacing.discard(name)

        world.operate(OPERATORS[1], replace)

    def _lose_power(self, fault: Fault) -> None:
        operations = self._rng.randrange(POWER_LOSS_OPERATIONS)
        self._world.controllers[fault.target].lose_power_soon(operations)

    def _lose_zone(self, fault: Fault) -> None:
        """End all processes of a zone at once."""
        zone = self._world.processes[fault.target].zone
        for name in self._targets:
            if self._world.processes[name].zone == zone:
                self._crash(name, fault)

    def _lose_control_power(self, fault: Fault) -> None:
        """Cut the power of all controllers at once."""
        for name in self._world.controllers:
            self._world.cut_power(name, self._seconds(fault))

    def _fail_sync(self, fault: Fault) -> None:
        self._world.controllers[fault.target].fail_next_sync()
        self._world.kernel.call_later(NOTICED_AFTER_S, self._mend_disk, fault.target)

    def _fill_disk(self, fault: Fault) -> None:
        self._world.controllers[fault.target].fill_disk()
        self._world.kernel.call_later(self._seconds(fault), self._mend_disk, fault.target)

    def _mend_disk(self, name: str) -> None:
        """Give a disk room again; a controller that stopped writing ends by itself then."""
        self._world.controllers[name].empty_disk()

    def _lag(self, fault: Fault) -> None:
        member = self._world.members[fault.target]
        member.lag_s = self._rng.uniform(0.1, HIGHEST_LAG_S)
        self._world.kernel.call_later(
            self._seconds(fault), setattr, member, "lag_s", member.usual_lag_s
        )

    def _slow(self, fault: Fault) -> None:
        server = self._world.servers[fault.target]
        usual = server.execute_s
        server.execute_s = SLOW_EXECUTE_S
        self._world.kernel.call_later(self._seconds(fault), setattr, server, "execute_s", usual)

    def _drop_answer(self, fault: Fault) -> None:
        self._world.servers[fault.target].drop_answers += 1

    def _repeat_answer(self, fault: Fault) -> None:
        self._world.servers[fault.target].repeat_answers += 2

    def _drain(self, fault: Fault) -> None:
        proxy = self._world.proxies[fault.target]
        if proxy.process.running and not proxy.process.frozen and not proxy.draining:
            proxy.drain()

    def _leave(self, fault: Fault) -> None:
        """Declare a member leaving for a time; never two of a group at once."""
        world = self._world
        group = world.members[fault.target].group
        if group in world.leaving_groups:
            return
        world.leaving_groups.add(group)

        async def leave(operator: Operator) -> None:
            await operator.change(set_leaving(fault.target, True))
            await curio.sleep(self._seconds(fault))
            await operator.bring_about(set_leaving(fault.target, False))
            world.leaving_groups.discard(group)

        world.operate(OPERATORS[0], leave)

    def _switch_over(self, fault: Fault) -> None:
        group = self._world.members[fault.target].group
        self._world.operate(
            OPERATORS[0], lambda operator: operator.switch_over(group, fault.target)
        )

    def _race(self, fault: Fault) -> None:
        """Let both operators change the declaration at the same time."""
        for name in OPERATORS:
            self._limit += 1
            self._world.change(name, set_client_limit("tenant-1", 1_000 + self._limit))

    def _heal(self) -> None:
        """End what is left: processes run, nothing lags."""
        world = self._world
        world.history.add("healed")
        for name, process in world.processes.items():
            world.thaw(name)
            if not process.running:
                world.crash(name, 0.0)
        for member in world.members.values():
            member.lag_s = member.usual_lag_s
        for server in world.servers.values():
            server.drop_answers = server.repeat_answers = 0
        for controller in world.controllers.values():
            controller.lose_power_soon(None)
        for name in world.controllers:
            self._mend_disk(name)
