"""Fleets of real processes on loopback: controllers, proxies, members and their relays."""

from limedyke_lab.fleet.fleet import Fleet, FleetOptions

__all__ = ["Fleet", "FleetOptions"]
