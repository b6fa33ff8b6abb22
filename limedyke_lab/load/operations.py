"""Operations of a session: executes the statements and records the results."""

from __future__ import annotations

from dataclasses import replace

import psycopg
from psycopg import AsyncClientCursor, AsyncConnection
from psycopg.rows import dict_row

from limedyke_lab.history import ClientOutcome, Operation
from limedyke_lab.load import statements
from limedyke_lab.load.outcome import failed_operation


class Operations:
    """Runs operations on one connection; each returns the completed record.

    :param extended: use the extended protocol for reads and writes
    """

    def __init__(self, connection: AsyncConnection, extended: bool) -> None:
        self._connection = connection
        self._extended = extended

    async def _execute(self, statement: str, extended: bool, **parameters: object) -> dict:
        """Run one statement and return its first row, or an empty mapping.

        :raises psycopg.Error: when it failed or no answer came
        """
        if extended:
            cursor = self._connection.cursor()
        else:
            cursor = AsyncClientCursor(self._connection, row_factory=dict_row)
        await cursor.execute(statement, parameters or None)
        rows = await cursor.fetchall() if cursor.description else []
        return rows[0] if rows else {}

    async def read(self, operation: Operation) -> Operation:
        """Read a register."""
        row = await self._execute(
            statements.READ_REGISTER,
            self._extended,
            number=operation.number,
            owner=operation.owner,
        )
        return replace(
            operation,
            outcome=ClientOutcome.DONE,
            echo=row.get("request"),
            value=row.get("value"),
            by_replica=row.get("by_replica"),
            term=row.get("term"),
        )

    async def write(self, operation: Operation) -> Operation:
        """Write the session's register."""
        row = await self._execute(
            statements.WRITE_REGISTER,
            self._extended,
            number=operation.number,
            owner=operation.owner,
        )
        return replace(operation, outcome=ClientOutcome.DONE, echo=row.get("request"))

    async def mark(self, operation: Operation) -> Operation:
        """Insert a mark with the operation's idempotency (once) key."""
        row = await self._execute(
            statements.once_comment(operation.once_key) + statements.INSERT_MARK,
            False,
            number=operation.number,
            owner=operation.owner,
        )
        return replace(operation, outcome=ClientOutcome.DONE, echo=row.get("request"))

    async def transaction(self, operation: Operation) -> Operation:
        """Insert the ledger rows and read them back in one transaction."""
        number, owner = operation.number, operation.owner
        try:
            await self._execute("BEGIN", False)
            for step in statements.LEDGER_STEPS:
                await self._execute(
                    statements.INSERT_LEDGER, False, number=number, step=step, owner=owner
                )
            row = await self._execute(statements.READ_LEDGER, False, number=number)
        except psycopg.Error as error:
            await self._roll_back()
            # COMMIT was not sent, so nothing can be committed, whatever the response was.
            return replace(failed_operation(operation, error), outcome=ClientOutcome.FAILED)
        await self._execute("COMMIT", False)
        return replace(
            operation, outcome=ClientOutcome.DONE, echo=row["request"], value=row["value"]
        )

    async def _roll_back(self) -> None:
        if self._connection.closed:
            return
        try:
            await self._execute("ROLLBACK", False)
        except psycopg.Error:
            await self._connection.close()
