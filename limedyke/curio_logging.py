"""Configures the logging of curio itself."""

from __future__ import annotations

import logging


def suppress_late_timeout_warnings() -> None:
    """Suppress curio's warnings about operations that completed just after their timeout.

    Event loops in this project wait for work with a timeout at their next tick, so such
    completions are normal.
    """
    logging.getLogger("curio.time").setLevel(logging.ERROR)
