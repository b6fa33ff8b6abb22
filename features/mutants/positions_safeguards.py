"""Mutants of promotions in groups whose commits wait for replicas.

Each is caught by the history of some seeds, in which an acknowledged commit is lost, or by a short
history of its own.
"""

from __future__ import annotations

from collections.abc import Callable
from unittest import mock

from features.mutants.mutant import Mutant, is_caught
from features.support.announced_world import PROXIES
from features.support.synchronous_history import SynchronousHistory
from features.support.synchronous_world import SynchronousWorld
from limedyke.core.control.events import AuthorityOutcome, PositionReported
from limedyke.core.control.primaries.position_round import PositionRound
from limedyke.core.control.primaries.primary_table import PrimaryTable
from limedyke.core.control.primaries.synchronous_promotion import SynchronousPromotion
from limedyke.core.statements.acknowledgement import AcknowledgementRule, Permission
from limedyke.messages.control import MemberHealth
from limedyke.messages.work import FIRST_POSITION

SEEDS = range(1, 21)
SETTLED_S, PROMOTED_S, LONG_S = 1.0, 1.2, 8.0
COMMITS = 3


def _loses_in_histories() -> bool:
    """Tell whether an acknowledged commit is lost in the history of some seed."""
    return any(SynchronousHistory(seed, is_orderly=False).play().lost for seed in SEEDS)


def _world() -> SynchronousWorld:
    """Return a group with commits that the replica c lacks."""
    world = SynchronousWorld({"a": "primary", "b": "replica", "c": "replica"})
    world.run(SETTLED_S)
    world.models["c"].is_deaf = True
    for _ in range(COMMITS):
        world.commit()
    return world


def _crash(world: SynchronousWorld, name: str) -> None:
    world.crash(name)
    world.report("p q r", name, MemberHealth.UNREACHABLE)


def _loses(world: SynchronousWorld) -> bool:
    """Carry out the call that the world has made, if any; tell whether a commit was lost."""
    if world.calls:
        world.carry_out_call()
    return bool(world.lost)


def _loses_without_floor() -> bool:
    """Promote b while the replaced primary leaves, then lose b too."""
    world = _world()
    _crash(world, "a")
    world.run(PROMOTED_S)
    world.leave("a")
    world.carry_out_call()
    _crash(world, "b")
    world.run(LONG_S)
    return len(world.calls) > 1 and _loses(world)


def _loses_after_departure() -> bool:
    """Lose the replica that holds the commits, then the primary."""
    world = _world()
    world.leave("b")
    _crash(world, "a")
    world.run(LONG_S)
    return _loses(world)


def _loses_after_restart() -> bool:
    """Restart the replica that holds the commits empty while the other one is waited for."""
    world = _world()
    world.models["c"].unreached_by = set(PROXIES)
    _crash(world, "a")
    world.run(PROMOTED_S)
    world.come_back_empty("b")
    world.models["c"].unreached_by = set()
    world.run(LONG_S)
    return _loses(world)


def _loses_by_cut_off_proxy() -> bool:
    """Let a proxy that is cut off from the controllers commit at the replaced primary."""
    world = SynchronousWorld({"a": "primary", "b": "replica", "c": "replica"})
    world.knows_hold = False
    world.run(SETTLED_S)
    world.commit()
    world.models["b"].is_deaf = True
    world.unconfirming.add("r")
    world.models["a"].unreached_by = {"p", "q"}
    world.report("p q", "a", MemberHealth.UNREACHABLE)
    world.run(LONG_S)
    world.commit("r")
    return _loses(world)


def _uses_earlier_round() -> bool:
    """Answer a later round with the reports of an earlier one; tell whether they suffice."""
    world = _world()
    _crash(world, "a")
    world.run(PROMOTED_S)
    reports = list(world.reports)
    for name in ("b", "c"):
        world.models[name].unreached_by = set(PROXIES)
    world.answer(AuthorityOutcome.UNKNOWN)
    world.run(2 * SETTLED_S)
    for proxy, report in reports:
        world.post(PositionReported(proxy, report))
    world.run(SETTLED_S)
    return len(world.calls) > 1


def _accept_any_round(original: Callable) -> Callable:
    def record(self: PositionRound, report: object) -> None:
        round_id = self.round_id
        self.round_id = report.round_id
        original(self, report)
        self.round_id = round_id

    return record


def _accept_any_incarnation(self: PositionRound, report: object) -> bool:
    del self, report
    return False


def _ignore_departure(self: PrimaryTable, group: str, departure: object) -> None:
    del self, group, departure


def _grant_always(self: AcknowledgementRule, *arguments: object) -> Permission:
    del self, arguments
    return Permission.GRANTED


class _NoFloor:
    """Replaces the floor of a round."""

    def __get__(self, instance: object, owner: type) -> object:
        return FIRST_POSITION

    def __set__(self, instance: object, value: object) -> None:
        return


def _mutant(
    name: str, safeguard: str, caught_by: str, violates: Callable[[], bool], *patches: object
) -> Mutant:
    return Mutant(name, safeguard, caught_by, lambda: is_caught(violates, *patches))


HISTORIES = "random histories: no acknowledged commit is lost"
MUTANTS = (
    _mutant(
        "members are ranked by the reports of their last change",
        "SynchronousPromotion.is_synchronous",
        HISTORIES,
        _loses_in_histories,
        mock.patch.object(SynchronousPromotion, "is_synchronous", lambda self, group: False),
    ),
    _mutant(
        "the first member that answers is promoted",
        "PositionRound.needed",
        HISTORIES,
        _loses_in_histories,
        mock.patch.object(PositionRound, "needed", 1),
    ),
    _mutant(
        "a member that holds less than the longest log is promoted",
        "PositionRound._at_least",
        HISTORIES,
        _loses_in_histories,
        mock.patch.object(PositionRound, "_at_least", lambda self, _: list(self._stated.values())),
    ),
    _mutant(
        "a proxy relays the answers of a replaced primary that it takes for the present one",
        "AcknowledgementRule.permission",
        "a scenario of its own",
        _loses_by_cut_off_proxy,
        mock.patch.object(AcknowledgementRule, "permission", _grant_always),
    ),
    _mutant(
        "a later primary may lack what an earlier one was promoted with",
        "GroupPrimary.floor",
        "a scenario of its own",
        _loses_without_floor,
        mock.patch.object(PositionRound, "floor", _NoFloor()),
    ),
    _mutant(
        "a member that left is forgotten at once",
        "PrimaryTable.add_departure",
        "a scenario of its own",
        _loses_after_departure,
        mock.patch.object(PrimaryTable, "add_departure", _ignore_departure),
    ),
    _mutant(
        "a member that restarted empty counts by its new position",
        "PositionRound._has_restarted",
        "a scenario of its own",
        _loses_after_restart,
        mock.patch.object(PositionRound, "_has_restarted", _accept_any_incarnation),
    ),
    _mutant(
        "an answer to an earlier round counts",
        "PositionRound.record",
        "a scenario of its own",
        _uses_earlier_round,
        mock.patch.object(PositionRound, "record", _accept_any_round(PositionRound.record)),
    ),
)
