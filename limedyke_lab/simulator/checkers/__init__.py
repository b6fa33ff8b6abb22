"""Checkers: each takes the record of a run and returns the violations of one rule."""

from limedyke_lab.simulator.checkers.control import CONTROL_CHECKERS
from limedyke_lab.simulator.checkers.data import DATA_CHECKERS
from limedyke_lab.simulator.checkers.record import RunRecord, Violation
from limedyke_lab.simulator.checkers.service import SERVICE_CHECKERS

CHECKERS = {**DATA_CHECKERS, **CONTROL_CHECKERS, **SERVICE_CHECKERS}

__all__ = ["CHECKERS", "RunRecord", "Violation", "check_all"]


def check_all(record: RunRecord) -> list[Violation]:
    """Return the violations that all checkers find, in a fixed order."""
    return [violation for check in CHECKERS.values() for violation in check(record)]
