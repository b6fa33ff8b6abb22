"""Simulated members of a group."""
