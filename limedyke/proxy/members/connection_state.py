"""Session state left on a connection to a member: settings, prepared statements; sans-IO."""

from __future__ import annotations

from collections import OrderedDict

from limedyke.messages.work import PreparedStatement, SessionSetting
from limedyke.postgres import member_frames as frames

PREPARED_LIMIT = 256


class BackendState:
    """State that sessions left on a connection.

    :ivar settings: session settings that are set on the connection
    :ivar tainted: true if it may hold other state; DISCARD ALL then runs before the next unit
    """

    def __init__(self) -> None:
        self._prepared: OrderedDict[str, PreparedStatement] = OrderedDict()
        self.settings: tuple[SessionSetting, ...] = ()
        self.tainted = False

    def prepare(self, statements: tuple[PreparedStatement, ...]) -> tuple[bytes, int]:
        """Return the Parse messages for ``statements`` that are missing here, and their number.

        The answers to them must be dropped; see ``AnswerReader``.
        """
        if not statements:
            return b"", 0
        missing = [s for s in statements if self._prepared.get(s.name) != s]
        for statement in statements:
            self._prepared[statement.name] = statement
            self._prepared.move_to_end(statement.name)
        return b"".join(map(frames.parse_statement, missing)), len(missing)

    @property
    def has_too_many_prepared(self) -> bool:
        """Whether the number of prepared statements exceeds ``PREPARED_LIMIT``."""
        return len(self._prepared) > PREPARED_LIMIT

    def evict_statements(self) -> bytes:
        """Drop the least recently used statements above the limit; return the Close messages."""
        closing = []
        while self.has_too_many_prepared:
            name, _ = self._prepared.popitem(last=False)
            closing.append(frames.close_statement(name))
        return b"".join(closing) + frames.SYNC

    def settings_sql(self, wanted: tuple[SessionSetting, ...]) -> str:
        """Return the SQL that changes the current settings to ``wanted``."""
        names = {setting.name for setting in wanted}
        statements = [
            f"RESET {frames.quote_identifier(setting.name)}"
            for setting in self.settings
            if setting.name not in names
        ]
        statements += [
            f"SELECT set_config({frames.quote_literal(setting.name)}, "
            f"{frames.quote_literal(setting.value)}, false)"
            for setting in wanted
            if setting not in self.settings
        ]
        return "; ".join(statements)

    def reset_session(self) -> None:
        """Record that DISCARD ALL ran on the connection."""
        self._prepared.clear()
        self.settings = ()
        self.tainted = False
