"""Mutants: each safeguard patched out in turn, to show that it is missed."""
