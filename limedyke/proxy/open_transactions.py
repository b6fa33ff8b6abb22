"""Open transactions and running units of a proxy, keyed by their sender."""

from __future__ import annotations

from dataclasses import dataclass

from limedyke.messages.work import Access, TransactionStatus, WorkUnit
from limedyke.proxy.forwarding.work_key import WorkKey
from limedyke.proxy.members.connection import BackendConnection
from limedyke.proxy.members.gate import MemberGate


@dataclass(slots=True, eq=False)
class OpenTransaction:
    """A transaction that holds a connection.

    :param term: term under which its connection was verified
    :param status: transaction state after its last unit
    :param running: whether one of its units is running
    :param abandoned: whether to roll it back when its running unit ends
    """

    key: WorkKey
    tenant: str
    group: str
    access: Access
    gate: MemberGate
    connection: BackendConnection
    term: int
    status: TransactionStatus
    running: bool = False
    abandoned: bool = False


@dataclass(slots=True, eq=False)
class RunningUnit:
    """A running unit; ``connection`` is set while a member executes it.

    :param deadline_at: monotonic time at which it is cancelled at the member
    :param cancelled: whether the caller asked to cancel it
    :param cancel_sent_at: monotonic time of the cancel request to the member, 0 for none
    """

    unit: WorkUnit
    deadline_at: float
    connection: BackendConnection | None = None
    cancelled: bool = False
    cancel_sent_at: float = 0.0


class OpenTransactions:
    """The open transactions of this proxy."""

    def __init__(self) -> None:
        self._by_key: dict[WorkKey, OpenTransaction] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def get(self, key: WorkKey) -> OpenTransaction | None:
        """Return the transaction with this key, or None."""
        return self._by_key.get(key)

    def add(self, transaction: OpenTransaction) -> None:
        """Add a transaction."""
        self._by_key[transaction.key] = transaction

    def remove(self, key: WorkKey) -> None:
        """Remove a transaction, if present."""
        self._by_key.pop(key, None)

    def of_group(self, group: str) -> list[OpenTransaction]:
        """Return the transactions of one group."""
        return [t for t in self._by_key.values() if t.group == group]

    def has_origin(self, origin: str) -> bool:
        """Return whether any transaction came from a link."""
        return any(key.origin == origin for key in self._by_key)

    def of_origin(self, origin: str) -> list[OpenTransaction]:
        """Return the transactions that came from a link."""
        return [t for key, t in self._by_key.items() if key.origin == origin]
