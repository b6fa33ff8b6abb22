"""Catalogue of fault runs, each of which injects a fault into a fleet under load and undoes it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from limedyke_lab.experiments.fault_stage import FaultStage

LONG_LAG_MS = 2_000
ANSWER_DELAY_MS = 300
CROSSED_ANSWERS = 20


@dataclass(frozen=True, slots=True)
class FaultRun:
    """A named fault and the function that injects and undoes it."""

    name: str
    act: Callable[[FaultStage], None]


def _kill_primary(stage: FaultStage) -> None:
    name = stage.primary().node.name
    stage.kill(name)
    stage.hold()
    stage.restart(name)


def _freeze_primary(stage: FaultStage) -> None:
    name = stage.primary().node.name
    stage.freeze(name)
    stage.hold()
    stage.thaw(name)


def _cut(stage: FaultStage, name: str, cut: Callable[[str], None]) -> None:
    cut(name)
    stage.hold()
    stage.heal(name)


def _cut_primary(stage: FaultStage) -> None:
    _cut(stage, stage.primary().node.name, stage.cut)


def _cut_primary_outgoing(stage: FaultStage) -> None:
    _cut(stage, stage.primary().node.name, stage.cut_outgoing)


def _cut_primary_incoming(stage: FaultStage) -> None:
    _cut(stage, stage.primary().node.name, stage.cut_incoming)


def _kill_primary_twice(stage: FaultStage) -> None:
    """Kill the primary and, immediately after it has caught up, its successor."""
    first = stage.primary()
    stage.kill(first.node.name)
    second = stage.next_primary(first)
    stage.restart(first.node.name)
    stage.wait_caught_up(first)
    stage.kill(second.node.name)
    stage.hold()
    stage.restart(second.node.name)


def _lose_member_disk(stage: FaultStage) -> None:
    """Restart a replica without its data and, once it is rebuilt, kill the primary."""
    replica = stage.replica()
    stage.lose_disk(replica.node.name)
    stage.restart(replica.node.name)
    stage.wait_caught_up(replica)
    _kill_primary(stage)


def _member_disk_full(stage: FaultStage) -> None:
    primary = stage.primary()
    stage.set_switch((primary,), "fail_fsync", "on")
    stage.hold()
    stage.set_switch((primary,), "fail_fsync", "off")


def _lag(stage: FaultStage) -> None:
    members = stage.fleet.topology.members
    before = stage.fleet.options.member_options["lag_ms"]
    stage.set_switch(members, "lag_ms", LONG_LAG_MS)
    stage.hold()
    stage.set_switch(members, "lag_ms", before)


def _late_answers(stage: FaultStage) -> None:
    members = stage.fleet.topology.members_of(stage.group)
    stage.set_switch(members, "delay_answers_ms", ANSWER_DELAY_MS)
    stage.hold()
    stage.set_switch(members, "delay_answers_ms", 0)


def _crossed_answers(stage: FaultStage) -> None:
    members = stage.fleet.topology.members_of(stage.group)
    stage.set_switch(members, "swap_answers", CROSSED_ANSWERS)
    stage.set_switch(members, "duplicate_answer_tail", CROSSED_ANSWERS)
    stage.hold()
    stage.set_switch(members, "swap_answers", 0)
    stage.set_switch(members, "duplicate_answer_tail", 0)


def _lost_answers(stage: FaultStage) -> None:
    stage.set_switch((stage.primary(),), "drop_connection_after_execute", CROSSED_ANSWERS)
    stage.hold()


def _kill_proxy(stage: FaultStage) -> None:
    stage.kill(stage.proxy())
    stage.hold()
    stage.restart(stage.proxy())


def _freeze_proxy(stage: FaultStage) -> None:
    stage.freeze(stage.proxy())
    stage.hold()
    stage.thaw(stage.proxy())


def _cut_proxy(stage: FaultStage) -> None:
    _cut(stage, stage.proxy(), stage.cut)


def _kill_all_proxies(stage: FaultStage) -> None:
    """Restart all proxies at once, after several configuration changes."""
    for _change in range(3):
        stage.change_configuration()
    names = [node.name for node in stage.fleet.topology.proxies]
    for name in names:
        stage.kill(name)
    for name in names:
        stage.restart(name)
    stage.hold()


def _kill_leader(stage: FaultStage) -> None:
    name = stage.leader()
    stage.kill(name)
    stage.change_configuration()
    stage.hold()
    stage.restart(name)


def _cut_leader(stage: FaultStage) -> None:
    """Cut off the leader while it still considers itself leader; an operator makes a change."""
    name = stage.leader()
    stage.cut(name)
    stage.change_configuration()
    stage.hold()
    stage.heal(name)


def _freeze_leader(stage: FaultStage) -> None:
    name = stage.leader()
    stage.freeze(name)
    stage.change_configuration()
    stage.hold()
    stage.thaw(name)


def _lose_controller_disk(stage: FaultStage) -> None:
    """Replace a controller that lost its disk, then lose the disk of a second one."""
    first = stage.follower()
    stage.lose_disk(first)
    stage.change_configuration()
    stage.restart(first)
    stage.replace_controller(first)
    second = next(
        node.name
        for node in stage.fleet.topology.controllers
        if node.name not in (first, stage.leader())
    )
    stage.lose_disk(second)
    stage.change_configuration()
    stage.hold()
    stage.restart(second)


def _controller_disk_full(stage: FaultStage) -> None:
    """Fill the leader's disk: it must accept no changes, and another controller takes over."""
    name = stage.leader()
    stage.fill_disk(name)
    stage.change_configuration()
    stage.hold()
    stage.free_disk(name)


def _stop_proxy(stage: FaultStage) -> None:
    """Stop a proxy with SIGTERM and start it again."""
    stage.stop(stage.proxy())
    stage.fleet.restart(stage.proxy())
    stage.fleet.wait_ready(stage.fleet.node(stage.proxy()))


def _stop_member(stage: FaultStage) -> None:
    """Declare the primary as leaving, and later as staying."""
    primary = stage.primary()
    stage.leave(primary)
    stage.next_primary(primary)
    stage.hold()
    stage.come_back(primary)


def _lose_region(stage: FaultStage) -> None:
    names = stage.lose_region(stage.primary().node.zone.name)
    stage.hold()
    stage.heal(*names)


def _lose_region_and_proxy(stage: FaultStage) -> None:
    """Cut off a region and, meanwhile, freeze a proxy of another one."""
    zone = stage.primary().node.zone.name
    names = stage.lose_region(zone)
    other = next(n.name for n in stage.fleet.topology.proxies if n.zone.name != zone)
    stage.freeze(other)
    stage.hold()
    stage.thaw(other)
    stage.heal(*names)


FAULT_RUNS = tuple(
    FaultRun(name, act)
    for name, act in (
        ("kill-primary", _kill_primary),
        ("kill-primary-twice", _kill_primary_twice),
        ("freeze-primary", _freeze_primary),
        ("cut-primary", _cut_primary),
        ("cut-primary-outgoing", _cut_primary_outgoing),
        ("cut-primary-incoming", _cut_primary_incoming),
        ("lose-member-disk", _lose_member_disk),
        ("member-disk-full", _member_disk_full),
        ("lag", _lag),
        ("late-answers", _late_answers),
        ("crossed-answers", _crossed_answers),
        ("lost-answers", _lost_answers),
        ("kill-proxy", _kill_proxy),
        ("freeze-proxy", _freeze_proxy),
        ("cut-proxy", _cut_proxy),
        ("kill-all-proxies", _kill_all_proxies),
        ("stop-proxy", _stop_proxy),
        ("stop-member", _stop_member),
        ("kill-leader", _kill_leader),
        ("cut-leader", _cut_leader),
        ("freeze-leader", _freeze_leader),
        ("lose-controller-disk", _lose_controller_disk),
        ("controller-disk-full", _controller_disk_full),
        ("lose-region", _lose_region),
        ("lose-region-and-proxy", _lose_region_and_proxy),
    )
)
