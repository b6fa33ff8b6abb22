"""What curio itself may log."""

from __future__ import annotations

import logging


def suppress_late_timeout_warnings() -> None:
    """Silence warnings about waits that ended well just after their time limit.

    The loops here wait for work at most until their next tick, so this is the ordinary case.
    """
    logging.getLogger("curio.time").setLevel(logging.ERROR)
