"""The result of a client's statement: the answer, and where its transaction is open afterwards."""

from __future__ import annotations

from dataclasses import dataclass

from limedyke.messages.statements import StatementAnswer
from limedyke.proxy.forwarding.link import HomeLink
from limedyke.proxy.statements.members.pinned_connection import PinnedConnection


@dataclass(frozen=True, slots=True)
class ForwardedTransaction:
    """A client's transaction that is open at a home proxy.

    :param number: identifies it among the transactions that this proxy forwarded
    """

    link: HomeLink
    number: int


TransactionLocation = PinnedConnection | ForwardedTransaction
"""Where a client's transaction is open: on a connection of this proxy, or at a home proxy."""


@dataclass(frozen=True, slots=True)
class StatementOutcome:
    """The answer to a statement, and the state of the client's transaction after it.

    :param location: where the client's transaction is open now; None when none is
    """

    answer: StatementAnswer
    location: TransactionLocation | None = None
