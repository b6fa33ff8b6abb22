"""Test lab of limedyke: stand-ins, load, fleets and experiments.

The product package ``limedyke`` never imports this package.
"""
