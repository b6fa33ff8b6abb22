"""Prepared statements and portals of the extended query protocol."""

from __future__ import annotations

from dataclasses import dataclass

from limedyke_lab.database.postgres.statement_result import Result
from limedyke_lab.database.sql.sql_text import Statement


@dataclass(slots=True)
class Prepared:
    """A prepared statement; statement is None for an empty query."""

    statement: Statement | None
    types: tuple[int, ...]


@dataclass(slots=True)
class Portal:
    """A bound statement, with its result once it has executed."""

    statement: Statement | None
    parameters: tuple[object, ...]
    formats: tuple[bytes, ...]
    result: Result | None = None
    sent_rows: int = 0

    def take_rows(self, limit: int) -> list[tuple[object, ...]] | tuple:
        """Return the next rows of an executed portal.

        :param limit: maximum number of rows; 0 means all
        """
        rows = self.result.rows
        if self.sent_rows or limit:
            end = self.sent_rows + limit if limit else len(rows)
            rows = rows[self.sent_rows : end]
        self.sent_rows += len(rows)
        return rows

    @property
    def has_more(self) -> bool:
        """Whether rows are left."""
        return self.sent_rows < len(self.result.rows)
