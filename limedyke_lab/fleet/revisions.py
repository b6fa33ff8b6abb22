"""Reads the revision in force at each proxy from its metrics page."""

from __future__ import annotations

import http.client
import re
import threading
from collections.abc import Callable

from limedyke.addresses import split_address
from limedyke_lab.fleet.topology import Node

HTTP_TIMEOUT_S = 1.0
WATCH_INTERVAL_S = 0.25
WATCH_END_S = 5.0
_REVISION = re.compile(rb"^limedyke_proxy_revision ([0-9.e+]+)$", re.MULTILINE)


class RevisionProbe:
    """Reads the revision in force at one proxy over a persistent connection."""

    def __init__(self, node: Node) -> None:
        host, port = split_address(node.status)
        self.name = node.name
        self._connection = http.client.HTTPConnection(host, port, timeout=HTTP_TIMEOUT_S)

    def revision(self) -> int:
        """Return the revision; 0 when the proxy does not respond or has none yet."""
        try:
            self._connection.request("GET", "/metrics")
            body = self._connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            self._connection.close()
            return 0
        found = _REVISION.search(body)
        return int(float(found.group(1))) if found else 0

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


class RevisionWatch:
    """Polls the revisions of proxies in the background while an experiment runs.

    It uses its own thread because the operations of an experiment block.

    :param on_revision: called in that thread with a proxy's name and its revision
    """

    def __init__(self, nodes: tuple[Node, ...], on_revision: Callable[[str, int], None]) -> None:
        self._probes = [RevisionProbe(node) for node in nodes]
        self._on_revision = on_revision
        self._end = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling; may be called twice or without a start."""
        self._end.set()
        if self._thread.is_alive():
            self._thread.join(WATCH_END_S)

    def _watch(self) -> None:
        while not self._end.wait(WATCH_INTERVAL_S):
            for probe in self._probes:
                revision = probe.revision()
                if revision:
                    self._on_revision(probe.name, revision)
        for probe in self._probes:
            probe.close()
