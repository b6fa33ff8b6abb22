"""Runs a fleet in the foreground for interactive use: prints its addresses and waits."""

from __future__ import annotations

import signal
from pathlib import Path

from limedyke_lab.fleet.fleet import Fleet, FleetOptions

EXIT_OK = 0


def run_foreground(geography: str, name: str, proxies: int, lag_ms: float, run_root: Path) -> int:
    """Run a fleet until SIGINT or SIGTERM; return the exit code."""
    options = FleetOptions(
        geography=geography,
        name=name,
        proxies=proxies,
        run_root=run_root,
        member_options={"lag_ms": lag_ms},
    )
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        with Fleet(options) as fleet:
            print(describe(fleet), flush=True)
            signal.pause()
    except KeyboardInterrupt:
        print("fleet: ended")
    return EXIT_OK


def describe(fleet: Fleet) -> str:
    """Return the run folder, addresses and secrets file of the fleet, one item per line."""
    lines = [f"run folder: {fleet.options.folder}"]
    for node in fleet.topology.nodes:
        lines.append(f"{node.name} zone={node.zone.name} address={node.advertise}")
    lines.append(f"controllers: {','.join(n.advertise for n in fleet.topology.controllers)}")
    lines.append(f"secrets file: {fleet.files.secrets}")
    return "\n".join(lines)
