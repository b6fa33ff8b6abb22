"""The settings a session made, following the transactions they were made in."""

from __future__ import annotations

from limedyke.core.sql.statement import Effect, SessionChange
from limedyke.messages.work import SessionSetting

_NONE: dict[str, str] = {}


class SessionSettings:
    """Settings in force, with those of the open transaction apart until it commits.

    :param startup: settings from the startup packet, to which RESET returns
    """

    __slots__ = ("_committed", "_current", "_replay", "_savepoints", "_startup")

    def __init__(self, startup: dict[str, str] | None = None) -> None:
        self._startup = startup or _NONE
        self._committed = self._startup
        self._current = self._startup
        self._savepoints: list[tuple[str, dict[str, str]]] | None = None
        self._replay: tuple[SessionSetting, ...] | None = None

    def get(self, name: str) -> str | None:
        """Return the value in force, or None when the session didn't set it."""
        return self._current.get(name)

    @property
    def size(self) -> int:
        """Bytes of the names and values in force."""
        return sum(len(name) + len(value) for name, value in self._current.items())

    def settings_to_replay(self) -> tuple[SessionSetting, ...]:
        """Return the settings that a connection needs before a new transaction."""
        if self._replay is None:
            items = sorted(self._committed.items())
            self._replay = tuple(SessionSetting(name, value) for name, value in items)
        return self._replay

    def apply(self, change: SessionChange) -> None:
        """Take the effect of a completed statement."""
        match change.effect:
            case Effect.SET:
                self._current = {**self._current, change.name: change.value}
            case Effect.RESET:
                self._reset(change.name)
            case Effect.RESET_ALL | Effect.DISCARD_ALL:
                self._current = self._startup
            case Effect.SAVEPOINT:
                self._savepoints = [*(self._savepoints or ()), (change.name, self._current)]
            case Effect.ROLLBACK_TO:
                self._return_to(change.name, keep=True)
            case Effect.RELEASE:
                self._return_to(change.name, keep=False)
            case Effect.COMMIT:
                self.commit()
            case Effect.ROLLBACK:
                self.roll_back()

    def commit(self) -> None:
        """Keep what was set since the last commit."""
        self._savepoints = None
        if self._current is not self._committed:
            self._committed = self._current
            self._replay = None

    def roll_back(self) -> None:
        """Forget what was set since the last commit."""
        self._savepoints = None
        self._current = self._committed

    def _reset(self, name: str) -> None:
        values = {key: value for key, value in self._current.items() if key != name}
        if name in self._startup:
            values[name] = self._startup[name]
        self._current = values

    def _return_to(self, name: str, keep: bool) -> None:
        savepoints = self._savepoints or []
        for index in range(len(savepoints) - 1, -1, -1):
            if savepoints[index][0] == name:
                if keep:
                    self._current = savepoints[index][1]
                self._savepoints = savepoints[: index + keep]
                return
