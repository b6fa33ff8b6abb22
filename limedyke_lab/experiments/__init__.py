"""Experiments: named, repeatable measurements on fleets, compared with baselines."""
