"""The controller's clock, which also counts while the machine is suspended."""

from __future__ import annotations

import time


def boot_seconds() -> float:
    """Return seconds since the machine started, including time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
