"""Randomized soak test: runs the real programs, injects faults and checks their guarantees."""
