"""Random histories of a group whose commits wait for replicas, on virtual time."""

from __future__ import annotations

import random

from features.support.announced_world import GROUP, PROXIES
from features.support.synchronous_world import SynchronousWorld
from limedyke.core.control.events import AuthorityOutcome
from limedyke.messages.control import MemberHealth

ROUNDS = 120
SHORTEST_ROUND_S, LONGEST_ROUND_S = 0.05, 0.4
HEALING_S = 40.0
LONGEST_TRAVEL_S = 0.8
LATE_CALL_SHARE = 0.3
DEAF_SHARE = 0.5
KNOWS_HOLD_SHARE = 0.5
SEVERAL_REPLICAS_SHARE = 0.3


class SynchronousHistory:
    """Plays one random history: commits, faults, changes of members and of leaders.

    :param seed: of the history
    :param is_orderly: members leave or lose their logs only while all others hold everything, so
        that there is always a member that may be promoted in the end
    """

    def __init__(self, seed: int, is_orderly: bool) -> None:
        self._random = random.Random(seed)
        self._is_orderly = is_orderly
        members = {"a": "primary", "b": "replica", "c": "replica"}
        required = 1
        if self._random.random() < SEVERAL_REPLICAS_SHARE:
            members["d"] = "replica"
            required = self._random.choice((1, 2))
        self.world = SynchronousWorld(members, required)
        self.world.knows_hold = self._random.random() < KNOWS_HOLD_SHARE
        self._next_name = "e"
        self._answered_calls = 0

    def play(self) -> SynchronousWorld:
        """Play the history, heal everything and return the world."""
        self.world.run(1.0)
        for _ in range(ROUNDS):
            self._random.choice(
                (
                    self._commit,
                    self._commit,
                    self._commit,
                    self._commit,
                    self._toggle_deaf,
                    self._toggle_deaf,
                    self._crash,
                    self._come_back,
                    self._toggle_path,
                    self._toggle_control_path,
                    self._drain,
                    self._replace_replica,
                    self._change_leader,
                    self._start_empty,
                )
            )()
            self._report()
            self._answer_call()
            self.world.run(self._random.uniform(SHORTEST_ROUND_S, LONGEST_ROUND_S))
        self._heal()
        return self.world

    def _name(self) -> str:
        return self._random.choice(sorted(self.world.models))

    def _replica_names(self) -> list[str]:
        leader = self.world.leader_name
        return [name for name in sorted(self.world.models) if name != leader]

    def _commit(self) -> None:
        proxy = self._random.choice(PROXIES)
        self.world.commit(proxy, self._random.uniform(0.0, LONGEST_TRAVEL_S))

    def _toggle_deaf(self) -> None:
        name = self._name()
        if self.world.models[name].is_deaf:
            self.world.listen(name)
        else:
            self.world.models[name].is_deaf = True

    def _crash(self) -> None:
        name = self._random.choice((self.world.leader_name, self._name()))
        if name in self.world.models and not self.world.models[name].is_down:
            self.world.crash(name)

    def _come_back(self) -> None:
        for name, model in sorted(self.world.models.items()):
            if model.is_down:
                self.world.come_back(name)
                return

    def _toggle_path(self) -> None:
        """Cut the path between a proxy and a member, or restore it."""
        self.world.models[self._name()].unreached_by ^= {self._random.choice(PROXIES)}

    def _toggle_control_path(self) -> None:
        """Cut the path between a proxy and the controllers, or restore it."""
        self.world.unconfirming ^= {self._random.choice(PROXIES)}

    def _drain(self) -> None:
        name = self._name()
        if not self.world.models[name].is_down:
            self.world.drain(name)

    def _replace_replica(self) -> None:
        """Let a new replica join and receive, and another one leave."""
        if not self._may_lose_a_log():
            return
        names = self._replica_names()
        joining, self._next_name = self._next_name, chr(ord(self._next_name) + 1)
        self.world.join(joining)
        if self._is_orderly or self._random.random() < DEAF_SHARE:
            self.world.listen(joining)
        if len(names) > 1:
            self.world.leave(self._random.choice(names))

    def _may_lose_a_log(self) -> bool:
        """Tell whether a member may lose its log without making the group unpromotable."""
        if not self._is_orderly:
            return True
        world = self.world
        lead = world.primary_model
        recorded = world.test.state.primaries[GROUP]
        if lead is None or lead.identity != recorded.primary or recorded.departures:
            return False
        return all(m.log == lead.log and not m.is_down for m in world.models.values())

    def _change_leader(self) -> None:
        self.world.lead()

    def _start_empty(self) -> None:
        """Restart a replica with an empty log, unless the authority is just promoting it."""
        if not self._may_lose_a_log():
            return
        world = self.world
        target = world.calls[-1].member if self._has_open_call() else ""
        names = [
            name
            for name in self._replica_names()
            if not world.models[name].is_down and name != target
        ]
        if names:
            name = self._random.choice(names)
            world.come_back_empty(name)
            if self._is_orderly:
                world.listen(name)

    def _has_open_call(self) -> bool:
        return len(self.world.calls) > self._answered_calls

    def _report(self) -> None:
        """Report which proxies reach which members, with the positions that they have now."""
        for proxy in PROXIES:
            if proxy in self.world.unconfirming:
                continue
            for name, model in sorted(self.world.models.items()):
                is_reached = not model.is_down and proxy not in model.unreached_by
                health = MemberHealth.REACHABLE if is_reached else MemberHealth.UNREACHABLE
                if self._random.random() < 0.5 or not is_reached:
                    position = model.position
                    self.world.report(proxy, name, health, position.position, position.term)

    def _answer_call(self) -> None:
        """Carry out a call to the authority, now or never with an unknown outcome."""
        if not self._has_open_call():
            return
        self._answered_calls = len(self.world.calls)
        if self._random.random() < LATE_CALL_SHARE:
            self.world.answer(AuthorityOutcome.UNKNOWN)
        else:
            self.world.carry_out_call()

    def _heal(self) -> None:
        world = self.world
        world.unconfirming.clear()
        for name, model in sorted(world.models.items()):
            model.unreached_by.clear()
            if model.is_down:
                world.come_back(name)
            world.listen(name)
        end = world.now + HEALING_S
        while world.now < end:
            self._report()
            self._answer_call()
            world.run(LONGEST_ROUND_S)
