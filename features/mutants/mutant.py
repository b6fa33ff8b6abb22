"""A mutant: the product with one safeguard patched out, and the check that must detect it."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager, ExitStack
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Mutant:
    """One safeguard patched out.

    Each module of mutants in this folder defines a tuple ``MUTANTS`` of these.

    :param name: what the mutant does wrong, in a few words
    :param safeguard: the module, class or function that is patched out
    :param caught_by: the checker or test that must detect it
    :param run: runs with the safeguard patched out, and returns whether this was detected.  It must
        raise when the check also fails with the safeguard in place.
    :param alone: whether it must not run beside other mutants, as it starts many processes
    """

    name: str
    safeguard: str
    caught_by: str
    run: Callable[[], bool]
    alone: bool = False

    def check(self) -> bool:
        """Tell whether the mutant is caught."""
        return self.run()


def is_caught(violates: Callable[[], bool], *patches: AbstractContextManager) -> bool:
    """Return whether a violation shows once the patches are applied.

    :raises AssertionError: if it shows without them too
    """
    if violates():
        raise AssertionError("the violation shows with the safeguard in place")
    with ExitStack() as stack:
        for patch in patches:
            stack.enter_context(patch)
        return violates()
