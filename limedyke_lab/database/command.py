"""The command that runs one member of a stand-in database group."""

from __future__ import annotations

import sys
from pathlib import Path
from pkgutil import resolve_name

from limedyke_lab.database.options import Address, DatabaseOptions, parse_peers

_USAGE_ERROR = 2
_SERVE = "limedyke_lab.database.server:serve"
"""Imported only when a member runs, so that the lab's other commands start quickly."""


def run_database(
    name: str,
    listen: str,
    data: str,
    advertise: str | None = None,
    peers: str | None = None,
    initial_primary: bool = False,
    connection_limit: int = 40,
    slots: int = 5,
    connect_delay_ms: float = 10.0,
    execute_ms: float = 0.0,
    lag_ms: float = 0.0,
    password_file: str | None = None,
    history: str | None = None,
    log_level: str = "INFO",
) -> None:
    """Run one member of a database group until SIGTERM.

    Args:
        name: name of the member in its group
        listen: IP:PORT to listen on; outgoing connections start from this IP
        data: data folder, created when missing
        advertise: IP:PORT under which the peers reach this member (default: listen)
        peers: the other members, name=IP:PORT,name=IP:PORT
        initial_primary: lead term 1 when the data folder is empty
        connection_limit: connections of ordinary users
        slots: statements executing at once
        connect_delay_ms: pause before a connection is authenticated
        execute_ms: time each statement holds its slot
        lag_ms: delay before a replica applies a committed record
        password_file: YAML map of user to password (default: lab_admin with password lab)
        history: file to append the history to, as JSON lines
        log_level: lowest level of events written to standard error
    """
    try:
        options = DatabaseOptions(
            name=str(name),
            listen=Address.parse(listen),
            advertise=Address.parse(advertise or listen),
            data=Path(str(data)),
            peers=parse_peers(peers),
            initial_primary=initial_primary,
            connection_limit=int(connection_limit),
            slots=int(slots),
            connect_delay_ms=float(connect_delay_ms),
            execute_ms=float(execute_ms),
            lag_ms=float(lag_ms),
            password_file=password_file,
            history=history,
            log_level=log_level,
        )
    except ValueError as error:
        print(f"limedyke-lab database: {error}", file=sys.stderr)
        raise SystemExit(_USAGE_ERROR) from error
    resolve_name(_SERVE)(options)
