"""Tables and statements of the lab.

``registers`` holds one row per session with the number of its last write, which only
increases; ``marks`` gets one row per mark; ``ledger`` gets two rows per transaction.
``marks`` and ``ledger`` have no unique key, so that a request that ran twice is visible.
"""

from __future__ import annotations

TABLES = (
    "CREATE TABLE IF NOT EXISTS registers (owner text PRIMARY KEY, number bigint NOT NULL)",
    "CREATE TABLE IF NOT EXISTS marks (number bigint NOT NULL, owner text NOT NULL)",
    "CREATE TABLE IF NOT EXISTS ledger"
    " (number bigint NOT NULL, step int NOT NULL, owner text NOT NULL)",
)

READ_REGISTER = (
    "SELECT %(number)s::bigint AS request,"
    " (SELECT number FROM registers WHERE owner = %(owner)s) AS value,"
    " pg_is_in_recovery() AS by_replica, group_term() AS term"
)
WRITE_REGISTER = (
    "INSERT INTO registers (number, owner) VALUES (%(number)s, %(owner)s)"
    " ON CONFLICT (owner) DO UPDATE SET number = excluded.number"
    " WHERE excluded.number > registers.number"
    " RETURNING %(number)s::bigint AS request"
)
INSERT_MARK = (
    "INSERT INTO marks (number, owner) VALUES (%(number)s, %(owner)s) RETURNING number AS request"
)
LEDGER_STEPS = (1, 2)
INSERT_LEDGER = (
    "INSERT INTO ledger (number, step, owner) VALUES (%(number)s, %(step)s, %(owner)s)"
    " RETURNING number AS request"
)
READ_LEDGER = (
    "SELECT %(number)s::bigint AS request, count(*) AS value FROM ledger WHERE number = %(number)s"
)

ALL_REGISTERS = "SELECT owner, number FROM registers"
ALL_MARKS = "SELECT number, count(*) FROM marks GROUP BY number"
ALL_LEDGER = "SELECT number, count(*) FROM ledger GROUP BY number"


def once_comment(key: str) -> str:
    """Return the comment that makes a request run at most once under a key."""
    return f"/*limedyke_once='{key}'*/ "
