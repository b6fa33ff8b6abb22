"""Simulated callers and operators."""
