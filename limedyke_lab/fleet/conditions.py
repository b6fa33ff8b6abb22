"""Waiting on conditions of a fleet, never for a fixed time."""

from __future__ import annotations

import http.client
import socket
import time
from collections.abc import Callable

from limedyke.addresses import split_address

POLL_INTERVAL_S = 0.05
PROBE_TIMEOUT_S = 1.0
STATUS_OK = 200


class ConditionTimeoutError(Exception):
    """A condition did not come true in time."""


def wait_until(
    condition: Callable[[], bool],
    what: str,
    timeout_s: float,
    give_up: Callable[[], str] | None = None,
) -> None:
    """Poll until the condition holds.

    :param what: the condition in words, for the error
    :param give_up: returns a reason why waiting is pointless, or an empty string
    :raises ConditionTimeoutError: when time is out or ``give_up`` gives a reason
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        reason = give_up() if give_up else ""
        if reason:
            raise ConditionTimeoutError(f"{what}: {reason}")
        if time.monotonic() > deadline:
            raise ConditionTimeoutError(f"{what}: not within {timeout_s:g} s")
        time.sleep(POLL_INTERVAL_S)


def http_get(address: str, path: str) -> tuple[int, str]:
    """Return status and body of a GET, status 0 when the server cannot be reached."""
    host, port = split_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=PROBE_TIMEOUT_S)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        return response.status, response.read().decode(errors="replace")
    except (OSError, http.client.HTTPException):
        return 0, ""
    finally:
        connection.close()


def is_ready(status_address: str) -> bool:
    """Tell whether ``/readyz`` of a product process answers 200."""
    return http_get(status_address, "/readyz")[0] == STATUS_OK


def accepts_connections(address: str) -> bool:
    """Tell whether something listens at the address."""
    try:
        with socket.create_connection(split_address(address), PROBE_TIMEOUT_S):
            return True
    except OSError:
        return False
