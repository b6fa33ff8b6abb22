"""Requests that run at most once: a key row is written in the transaction of the request.

Table ``limedyke_once`` in the tenant's database holds one row per key, with a
digest of the request and the command tag of its answer.  The row and the
request commit atomically.  A repeated request therefore finds the row if and
only if the first attempt took effect, through any proxy and after a failover.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedyke.postgres import member_frames as frames
from limedyke.postgres.member_batch import batch_digest
from limedyke.proxy.members.connection import BackendConnection, InternalQueryResult
from limedyke.result_codes import Failure, ResultCode

TABLE = "limedyke_once"
CREATE_TABLE_SQL = (
    f"CREATE TABLE IF NOT EXISTS {TABLE} (request_key text PRIMARY KEY, "
    "digest text NOT NULL, command_tag text NOT NULL, made_at timestamptz NOT NULL)"
)
UNDEFINED_TABLE_SQLSTATE = "42P01"
UNIQUE_VIOLATION_SQLSTATE = "23505"
OPENING_TAGS = (b"BEGIN", b"INSERT 0 1")
COMMIT_TAGS = (b"UPDATE 1", b"COMMIT")
TOUCH_TAGS = (b"UPDATE 1",)


class KeyState(enum.Enum):
    """State of a key, as shown by its row."""

    NEW = "new"
    REPEATED = "repeated"
    CONFLICT = "conflict"
    NO_TABLE = "no-table"
    FAILED = "failed"
    FOREIGN = "foreign"


@dataclass(frozen=True, slots=True)
class KeyAnswer:
    """The state of a key.

    :param tag: command tag of the first answer, for a repeated key
    :param detail: reason of a failure
    """

    state: KeyState
    tag: str = ""
    detail: str = ""


class OnceKey:
    """The key row of one request.

    :param key: chosen by the caller
    :param digest: digest of the statements of the request
    """

    def __init__(self, key: str, digest: str) -> None:
        self._key = frames.quote_literal(key)
        self._digest = digest

    @classmethod
    def of(cls, key: str, data: bytes, prepared: tuple) -> OnceKey:
        """Return the key row for a unit with this batch and these prepared statements."""
        return cls(key, batch_digest(data, prepared))

    @property
    def insert_sql(self) -> str:
        """SQL that inserts the row; it fails with a unique violation if the key was used."""
        digest = frames.quote_literal(self._digest)
        return (
            f"INSERT INTO {TABLE} (request_key, digest, command_tag, made_at) "
            f"VALUES ({self._key}, {digest}, '', now())"
        )

    @property
    def insert_if_new_sql(self) -> str:
        """SQL that inserts the row unless the key was used."""
        return f"{self.insert_sql} ON CONFLICT (request_key) DO NOTHING"

    @property
    def select_sql(self) -> str:
        """SQL that reads the row."""
        return f"SELECT digest, command_tag FROM {TABLE} WHERE request_key = {self._key}"

    def update_sql(self, tag: bytes) -> str:
        """Return the SQL that stores the command tag of the answer in the row."""
        text = frames.quote_literal(tag.decode(errors="replace"))
        return f"UPDATE {TABLE} SET command_tag = {text} WHERE request_key = {self._key}"

    def judge_opening(self, answer: InternalQueryResult) -> KeyAnswer:
        """Return the state of the key from the answer to BEGIN and the insert.

        A keyed batch never begins a transaction itself, so the tag of BEGIN shows that this
        is not the answer to the batch that follows.
        """
        if not answer.sqlstate and (answer.rows or answer.tags != OPENING_TAGS):
            return KeyAnswer(KeyState.FOREIGN, "", "the answer belongs to another request")
        return self.judge_insert(answer)

    def judge_insert(self, answer: InternalQueryResult) -> KeyAnswer:
        """Return the state of the key from the answer to an insert."""
        if answer.sqlstate == UNDEFINED_TABLE_SQLSTATE:
            return KeyAnswer(KeyState.NO_TABLE)
        if answer.sqlstate == UNIQUE_VIOLATION_SQLSTATE or answer.tag == b"INSERT 0 0":
            return KeyAnswer(KeyState.REPEATED)
        if answer.sqlstate:
            return KeyAnswer(KeyState.FAILED, "", f"{answer.sqlstate}: {answer.message}")
        return KeyAnswer(KeyState.NEW)

    @property
    def touch_sql(self) -> str:
        """SQL that rewrites the row unchanged; when it is committed, so is the first attempt."""
        return f"UPDATE {TABLE} SET command_tag = command_tag WHERE request_key = {self._key}"

    async def look_up(self, connection: BackendConnection) -> KeyAnswer:
        """Read the row of a key that was used before.

        :raises ConnectionLostError: when the connection breaks
        """
        answer = await connection.execute(self.select_sql)
        if answer.sqlstate or len(answer.rows) != 1:
            return KeyAnswer(KeyState.FAILED, "", answer.message or "the key row does not exist")
        digest, tag = answer.rows[0]
        if digest != self._digest.encode():
            return KeyAnswer(KeyState.CONFLICT)
        return KeyAnswer(KeyState.REPEATED, (tag or b"").decode())


def key_failure(answer: KeyAnswer) -> Failure:
    """Return the failure for a key that cannot be used."""
    if answer.state is KeyState.CONFLICT:
        return Failure(ResultCode.ONCE_KEY_CONFLICT)
    return Failure(ResultCode.FEATURE_NOT_SUPPORTED, f"once-key: {answer.detail}")
