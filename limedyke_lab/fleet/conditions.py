"""Polling for conditions of a fleet, instead of sleeping for a fixed time."""

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
    """A condition was not met in time."""


def wait_until(
    condition: Callable[[], bool],
    what: str,
    timeout_s: float,
    give_up: Callable[[], str] | None = None,
) -> None:
    """Poll until the condition holds.

    :param what: description of the condition for the error message
    :param give_up: returns the reason to stop waiting, or an empty string
    :raises ConditionTimeoutError: on timeout or when ``give_up`` returns a reason
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
    """Return status and body of a GET request; status 0 when the server is unreachable."""
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
    """Return whether ``/readyz`` of a product process responds with 200."""
    return http_get(status_address, "/readyz")[0] == STATUS_OK


def accepts_connections(address: str) -> bool:
    """Return whether the address accepts TCP connections."""
    try:
        with socket.create_connection(split_address(address), PROBE_TIMEOUT_S):
            return True
    except OSError:
        return False
