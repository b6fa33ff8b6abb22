"""Seeded simulation of the controllers' consensus protocol on virtual time, with checkers."""

from limedyke_lab.agreement_simulation.run import SimulationReport, simulate
from limedyke_lab.agreement_simulation.world import SimulationOptions

__all__ = ["SimulationOptions", "SimulationReport", "simulate"]
