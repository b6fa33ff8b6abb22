"""Statement profiles: whether a statement only reads, and its effects on the session."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from limedyke.messages.work import Access


class Effect(enum.Enum):
    """The effect of a statement on the session."""

    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin read only"
    BEGIN_READ_WRITE = "begin read write"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SAVEPOINT = "savepoint"
    ROLLBACK_TO = "rollback to"
    RELEASE = "release"
    SET = "set"
    SET_LOCAL = "set local"
    RESET = "reset"
    RESET_ALL = "reset all"
    DISCARD_ALL = "discard all"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"
    DEALLOCATE_ALL = "deallocate all"
    SHOW = "show"
    NOTHING = "nothing"


TRANSACTION_OPENERS = (Effect.BEGIN, Effect.BEGIN_READ_ONLY, Effect.BEGIN_READ_WRITE)


def leaves_transaction_open_after_commit(effects: Iterable[Effect]) -> bool:
    """Tell whether a batch commits one transaction and leaves another one open.

    The proxy queries the log position only outside of transactions, so the commit would be
    acknowledged without a position.
    """
    committed = False
    is_open = False
    for effect in effects:
        if effect is Effect.COMMIT:
            committed = True
            is_open = False
        elif effect is Effect.ROLLBACK:
            is_open = False
        elif effect in TRANSACTION_OPENERS:
            is_open = True
    return committed and is_open


@dataclass(frozen=True, slots=True)
class SessionChange:
    """One effect on the session.

    :param name: name of the setting, savepoint or prepared statement
    :param value: value of the setting as ``set_config`` takes it, or text of the statement
    :param types: parameter types of PREPARE, as written
    """

    effect: Effect
    name: str = ""
    value: str = ""
    types: tuple[str, ...] = ()


class RouteHint(enum.StrEnum):
    """The member role on which the client wants a statement to run."""

    NONE = ""
    PRIMARY = "primary"
    REPLICA = "replica"


@dataclass(frozen=True, slots=True)
class StatementHints:
    """Hints from the comments of a statement."""

    once_key: str = ""
    repeatable: bool = True
    route: RouteHint = RouteHint.NONE


NO_HINTS = StatementHints()


@dataclass(frozen=True, slots=True)
class StatementProfile:
    """The classification of a text of one or more statements.

    :param access: READ only if the text is proved to write nothing
    :param statements: number of statements that answer with a CommandComplete; 0 if unknown
    :param changes: effects on the session, each with the index of its statement
    :param local: the proxy executes the statement itself
    :param leaves_state: it may leave state on the connection that can't be replayed
    :param may_open_transaction: it may leave a transaction open
    :param may_commit: it may end a transaction
    :param only_queries: it is a query, judged by its first words; the client may then declare by
        a hint that the functions it calls write nothing
    :param refusal: reason why the proxy doesn't support it, or empty
    :param command: command tag of the answer if it is ``local``
    """

    access: Access
    statements: int = 1
    changes: tuple[tuple[int, SessionChange], ...] = ()
    local: bool = False
    leaves_state: bool = False
    may_open_transaction: bool = False
    may_commit: bool = False
    only_queries: bool = False
    refusal: str = ""
    command: str = ""
    hints: StatementHints = field(default=NO_HINTS)


UNKNOWN_PROFILE = StatementProfile(
    Access.WRITE, statements=0, leaves_state=True, may_open_transaction=True, may_commit=True
)
EMPTY_PROFILE = StatementProfile(Access.READ, statements=1, local=True)
