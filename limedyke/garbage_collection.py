"""How often Python looks for garbage in a process that has started."""

from __future__ import annotations

import gc

GARBAGE_THRESHOLDS = (50_000, 20, 100)
"""Objects are freed as they are dropped; only cycles wait for these."""


def resume_garbage_collection() -> None:
    """Look for garbage among what is made from now on."""
    gc.freeze()
    gc.set_threshold(*GARBAGE_THRESHOLDS)
    gc.enable()
