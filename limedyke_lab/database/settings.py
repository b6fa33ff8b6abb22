"""Run-time settings of a session (SET, SHOW, RESET) and their reports to the client."""

from __future__ import annotations

from limedyke_lab.database.errors import SqlError
from limedyke_lab.database.sql.tokens import Token, literal_value

DEFAULTS = {
    "application_name": "",
    "bytea_output": "hex",
    "client_encoding": "UTF8",
    "client_min_messages": "notice",
    "datestyle": "ISO, MDY",
    "default_transaction_isolation": "read committed",
    "default_transaction_read_only": "off",
    "extra_float_digits": "1",
    "idle_in_transaction_session_timeout": "0",
    "in_hot_standby": "off",
    "integer_datetimes": "on",
    "intervalstyle": "postgres",
    "is_superuser": "off",
    "lock_timeout": "0",
    "search_path": '"$user", public',
    "server_encoding": "UTF8",
    "server_version": "16.0",
    "server_version_num": "160000",
    "session_authorization": "",
    "standard_conforming_strings": "on",
    "statement_timeout": "0",
    "synchronous_commit": "on",
    "timezone": "UTC",
    "transaction_isolation": "read committed",
    "transaction_read_only": "off",
    "work_mem": "4MB",
}
"""Settings with a default value. Names that contain a dot can be set without being listed."""

_REPORTED = {
    "application_name": "application_name",
    "client_encoding": "client_encoding",
    "datestyle": "DateStyle",
    "integer_datetimes": "integer_datetimes",
    "intervalstyle": "IntervalStyle",
    "is_superuser": "is_superuser",
    "server_encoding": "server_encoding",
    "server_version": "server_version",
    "session_authorization": "session_authorization",
    "standard_conforming_strings": "standard_conforming_strings",
    "timezone": "TimeZone",
}
_READ_ONLY = frozenset({"server_version", "server_version_num", "server_encoding", "is_superuser"})


class Settings:
    """Setting values of one session, including rollback with transactions.

    :param initial: values from the startup packet, kept by RESET
    """

    def __init__(self, initial: dict[str, str]) -> None:
        self._initial = {**DEFAULTS, **initial}
        self._values = dict(self._initial)
        self._before: dict[str, str] | None = None
        self._local_before: dict[str, str] = {}
        self.changed: set[str] = set()

    def begin(self) -> None:
        """Save the values at the start of an explicit transaction."""
        self._before = dict(self._values)
        self._local_before = {}

    def end(self, committed: bool) -> None:
        """Undo SET LOCAL changes; after a rollback, undo all changes of the transaction."""
        if self._before is None:
            return
        if not committed:
            self._replace(self._before)
        else:
            for name, value in self._local_before.items():
                self._assign(name, value)
        self._before = None
        self._local_before = {}

    def _replace(self, values: dict[str, str]) -> None:
        for name in set(self._values) | set(values):
            if self._values.get(name) != values.get(name):
                self.changed.add(name)
        self._values = dict(values)

    def _assign(self, name: str, value: str) -> None:
        if self._values.get(name) != value:
            self._values[name] = value
            self.changed.add(name)

    def get(self, name: str) -> str | None:
        """Return a value, None when the setting does not exist."""
        return self._values.get(name.lower())

    def require(self, name: str) -> str:
        """Return a value; SqlError 42704 when the setting does not exist."""
        value = self.get(name)
        if value is None:
            message = f'unrecognized configuration parameter "{name}"'
            raise SqlError("42704", message)
        return value

    def set(self, name: str, value: str, local: bool = False) -> None:
        """Change a value, for the transaction only when local."""
        name = name.lower()
        if name in _READ_ONLY:
            raise SqlError("55P02", f'parameter "{name}" cannot be changed')
        if name not in self._values and "." not in name:
            raise SqlError("42704", f'unrecognized configuration parameter "{name}"')
        if local:
            if self._before is None:
                return
            self._local_before.setdefault(name, self._values.get(name, ""))
        self._assign(name, value)

    def reset(self, name: str) -> None:
        """Restore the value at session start; ALL resets every setting."""
        name = name.lower()
        if name == "all":
            self._replace(self._initial)
            return
        self.require(name)
        self._assign(name, self._initial.get(name, ""))

    def take_reports(self) -> list[tuple[str, str]]:
        """Return (name, value) of changed settings to report to the client."""
        if not self.changed:
            return []
        reports = [
            (_REPORTED[name], self._values[name]) for name in self.changed if name in _REPORTED
        ]
        self.changed.clear()
        return reports

    def all_reports(self) -> list[tuple[str, str]]:
        """Return (name, value) of all reported settings, for the start of a session."""
        return [(shown, self._values[name]) for name, shown in _REPORTED.items()]


def parse_name(tokens: tuple[Token, ...]) -> tuple[str, int]:
    """Return a setting name, which may contain dots, and the number of tokens it spans."""
    name = tokens[0].text.strip('"')
    used = 1
    while used + 1 < len(tokens) and tokens[used].text == ".":
        name += "." + tokens[used + 1].text.strip('"')
        used += 2
    return name, used


def apply_set(settings: Settings, tokens: tuple[Token, ...]) -> None:
    """Run ``SET [SESSION|LOCAL] name {=|TO} value`` on a session's settings."""
    rest = tokens[1:]
    local = rest[0].key == "LOCAL" if rest else False
    if rest and rest[0].key in ("LOCAL", "SESSION"):
        rest = rest[1:]
    if len(rest) >= 2 and rest[0].key == "TIME" and rest[1].key == "ZONE":
        settings.set("timezone", _value(rest[2:]), local)
        return
    if not rest:
        raise SqlError("42601", "syntax error at end of SET")
    name, used = parse_name(rest)
    if used + 1 >= len(rest) + 0 or rest[used].key not in ("=", "TO"):
        raise SqlError("42601", f"syntax error in SET {name}")
    value_tokens = rest[used + 1 :]
    if value_tokens[0].key == "DEFAULT":
        settings.reset(name)
        return
    settings.set(name, _value(value_tokens), local)


def _value(tokens: tuple[Token, ...]) -> str:
    parts = []
    for token in tokens:
        if token.kind in ("string", "dollar"):
            parts.append(literal_value(token))
        elif token.text == ",":
            parts.append(", ")
        else:
            parts.append(token.text.strip('"'))
    return "".join(parts)
