"""Runs ``python -m limedyke.cli``."""

from limedyke.cli.main import main

main()
