"""Interface of a client session as seen by its member."""

from __future__ import annotations

from typing import Protocol

from limedyke_lab.database.errors import SqlError


class MemberSession(Protocol):
    """Session operations that a member calls."""

    def abort_write(self, error: SqlError) -> None:
        """Roll back an open write transaction; the client's next statement gets the error."""

    async def release_locks(self) -> None:
        """Release the locks of an aborted write transaction."""

    async def cancel(self) -> None:
        """End the current wait."""

    async def terminate(self, error: SqlError) -> None:
        """End the connection with a FATAL error."""

    def discard_sqlite(self, error: SqlError) -> None:
        """Close SQLite at once; the session will end with the error."""
