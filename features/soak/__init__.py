"""A randomized soak: the real programs as processes, faults from outside, promises checked."""
