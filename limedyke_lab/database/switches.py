"""Failure switches of a member, set through ``SELECT lab_set('name','value')``.

| switch | unit | effect |
|---|---|---|
| lag_ms | ms | delay before a replica applies a record it knows to be majority-committed |
| lag_jitter_ms | ms | uniform random addition to the lag |
| lag_slope_ms_per_s | ms/s | the lag grows by this much each second since the switch was set |
| execute_ms | ms | each SQL statement holds its slot for this long before it executes |
| connect_delay_ms | ms | pause before a connection is accepted as authenticated |
| slots | count | statements executing at once; further ones wait in order of arrival |
| connection_limit | count | connections of ordinary users; further ones get 53300 |
| freeze_replication | on/off | a primary stops sending and a replica stops accepting log records |
| freeze_apply | on/off | a replica stores and acknowledges records but applies none |
| delay_answers_ms | ms | delay before each response batch is sent |
| drop_connection_after_execute | count | next N commits close the connection without a response |
| duplicate_answer_tail | count | the next N responses send everything after their last row twice |
| swap_answers | count | the next N pairs of batches received together get swapped responses |
| fail_fsync | on/off | syncing the log fails: commits fail with 58030 and roll back |
| refuse_connections | off/on/error | new connections are closed at once (on) or get 57P03 (error) |
| lose_acknowledged | on/off | MISBEHAVING: commits are acknowledged before a majority holds them |
| removed | on/off | the member no longer takes part in its group |

A counting switch also takes ``on`` (1) and ``off`` (0). ``lab_admin`` is exempt from slots,
connection limit, refusal and the response faults, so that it can always restore the member.
"""

from __future__ import annotations

from dataclasses import dataclass, fields

from limedyke_lab.database.errors import SqlError

_TRUE_WORDS = frozenset({"on", "true", "yes", "1"})
_FALSE_WORDS = frozenset({"off", "false", "no", "0"})
_REFUSAL_MODES = ("off", "on", "error")


@dataclass(slots=True)
class Switches:
    """Current values of the switches of one member."""

    lag_ms: float = 0.0
    lag_jitter_ms: float = 0.0
    lag_slope_ms_per_s: float = 0.0
    execute_ms: float = 0.0
    connect_delay_ms: float = 10.0
    slots: int = 5
    connection_limit: int = 40
    freeze_replication: bool = False
    freeze_apply: bool = False
    delay_answers_ms: float = 0.0
    drop_connection_after_execute: int = 0
    duplicate_answer_tail: int = 0
    swap_answers: int = 0
    fail_fsync: bool = False
    refuse_connections: str = "off"
    lose_acknowledged: bool = False
    removed: bool = False

    def set(self, name: str, value: str) -> None:
        """Set a switch from text; raises SqlError 22023 for a bad name or value."""
        kinds = {field.name: field.type for field in fields(self)}
        if name not in kinds:
            raise SqlError("22023", f"unknown switch {name!r}")
        try:
            setattr(self, name, _parse(kinds[name], value.strip().lower()))
        except ValueError as error:
            raise SqlError("22023", f"bad value for switch {name}: {value!r}") from error

    def get(self, name: str) -> str:
        """Return the value of a switch as text."""
        if name not in self.__slots__:
            raise SqlError("22023", f"unknown switch {name!r}")
        value = getattr(self, name)
        if isinstance(value, bool):
            return "on" if value else "off"
        return str(value)


def _parse(kind: str, value: str) -> object:
    """Parse the text of one switch according to the type of its field."""
    if kind == "bool":
        return _parse_bool(value)
    if kind == "str":
        return _REFUSAL_MODES[_REFUSAL_MODES.index(value)]
    if kind == "int":
        return _parse_count(value)
    number = float(value)
    if number < 0:
        raise ValueError(value)
    return number


def _parse_bool(value: str) -> bool:
    if value in _TRUE_WORDS:
        return True
    if value in _FALSE_WORDS:
        return False
    raise ValueError(value)


def _parse_count(value: str) -> int:
    if value in _TRUE_WORDS:
        return 1
    if value in _FALSE_WORDS:
        return 0
    count = int(value)
    if count < 0:
        raise ValueError(value)
    return count
