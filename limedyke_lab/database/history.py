"""History of the statements a member executed, written as JSON lines for the lab's checkers.

Each line: ``time_ns`` (CLOCK_MONOTONIC), ``member``, ``connection``, ``user``, ``application``,
``statement`` (at most 200 characters), ``transaction`` (this member's number), ``outcome``,
``term``, ``position``. Outcomes: ``read``, ``commit`` (acknowledged by a majority), ``unknown``
(committed here, never acknowledged), ``rollback``, ``error`` (not executed), ``apply`` (a replica
applied a record of the log; connection 0), ``truncate`` (the log was cut back to the position).
"""

from __future__ import annotations

import json
import time

STATEMENT_CHARACTERS = 200


class History:
    """Buffers lines; the server flushes each second and at exit."""

    def __init__(self, member: str, path: str | None) -> None:
        self._member = member
        self._file = open(path, "a", encoding="utf-8") if path else None  # noqa: SIM115
        self._lines: list[str] = []
        self.enabled = self._file is not None

    def add(
        self,
        outcome: str,
        statement: str,
        connection: int = 0,
        user: str = "",
        application: str = "",
        transaction: int = 0,
        term: int = 0,
        position: str = "",
        time_ns: int = 0,
    ) -> None:
        """Buffer one line; does nothing when history is disabled."""
        if not self.enabled:
            return
        entry = {
            "time_ns": time_ns or time.monotonic_ns(),
            "member": self._member,
            "connection": connection,
            "user": user,
            "application": application,
            "statement": statement[:STATEMENT_CHARACTERS],
            "transaction": transaction,
            "outcome": outcome,
            "term": term,
            "position": position,
        }
        self._lines.append(json.dumps(entry, separators=(",", ":")))

    def flush(self) -> None:
        """Write buffered lines."""
        if self._file and self._lines:
            self._file.write("\n".join(self._lines) + "\n")
            self._file.flush()
            self._lines.clear()

    def close(self) -> None:
        """Flush and close."""
        self.flush()
        if self._file:
            self._file.close()
            self._file = None
            self.enabled = False
