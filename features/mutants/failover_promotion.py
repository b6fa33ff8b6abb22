"""Mutants of failover: promotions and acknowledgements with a safeguard disabled.

Members are processes of the stand-in database; acknowledged rows must not be lost.
"""

from __future__ import annotations

from collections.abc import Callable
from unittest import mock

from features.mutants.mutant import Mutant
from features.support.takeover_lab import SAFEGUARDS, TakeoverLab

TERM_CHECK = "term at the acknowledgement"
MOST_ADVANCED = "most advanced promise"
MAJORITY = "majority of promises"


def _loses_row(freeze_c: bool) -> bool:
    """Promote while a member lacks an acknowledged row; return whether the row was lost."""
    takeover = TakeoverLab.start()
    try:
        takeover.kill("b")
        takeover.add_row()
        takeover.freeze("a")
        takeover.restart("b")
        if freeze_c:
            takeover.freeze("c")
        takeover.order("p1", 2)
        for name in takeover.living():
            takeover.thaw(name)
        takeover.ensure_leader(3)
        return not takeover.keeps_rows()
    finally:
        takeover.close()


def _believes_replaced_primary() -> bool:
    """Return whether the acknowledgement of a replaced primary is relayed."""
    takeover = TakeoverLab.start()
    try:
        takeover.members.switch("a", "lose_acknowledged", "on")
        takeover.write_while_replaced()
        return takeover.is_acknowledged()
    finally:
        takeover.close()


def _is_caught(safeguard: str, violates: Callable[[], bool]) -> bool:
    if violates():
        raise AssertionError(f"the violation shows with the safeguard in place: {safeguard}")
    with mock.patch.object(*SAFEGUARDS[safeguard]):
        return violates()


MUTANTS = (
    Mutant(
        "promote a member that lacks acknowledged commits",
        "limedyke.core.promotion.Promotion.choose",
        "rows acknowledged before stay",
        lambda: _is_caught(MOST_ADVANCED, lambda: _loses_row(freeze_c=False)),
    ),
    Mutant(
        "promote without the promises of a majority",
        "limedyke.core.promotion.Promotion.majority",
        "rows acknowledged before stay",
        lambda: _is_caught(MAJORITY, lambda: _loses_row(freeze_c=True)),
    ),
    Mutant(
        "relay an acknowledgement without the check of its term",
        "limedyke.proxy.unit_write.acknowledges",
        "a replaced primary acknowledges nothing",
        lambda: _is_caught(TERM_CHECK, _believes_replaced_primary),
    ),
)
