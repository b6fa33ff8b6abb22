"""Configures Python's cyclic garbage collector after a process has started."""

from __future__ import annotations

import gc

GARBAGE_THRESHOLDS = (50_000, 20, 100)
"""Thresholds of the three generations.  Reference counting frees most objects at once; only
reference cycles wait for the collector."""


def resume_garbage_collection() -> None:
    """Enable garbage collection, excluding the objects that exist now."""
    gc.freeze()
    gc.set_threshold(*GARBAGE_THRESHOLDS)
    gc.enable()
