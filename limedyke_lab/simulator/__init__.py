"""Deterministic simulator: the product's core on virtual time and a seeded network."""
