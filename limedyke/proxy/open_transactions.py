"""Open transactions and running units of a proxy, by who sent them."""

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
    :param running: a unit of it is under way
    :param abandoned: to be rolled back as soon as no unit is under way
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
    """A unit under way; ``connection`` is set while a member executes it.

    :param deadline_at: when it is cancelled at the member
    :param cancelled: the caller asked to cancel it
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
        """Return the transaction of that key."""
        return self._by_key.get(key)

    def add(self, transaction: OpenTransaction) -> None:
        """Keep a transaction."""
        self._by_key[transaction.key] = transaction

    def remove(self, key: WorkKey) -> None:
        """Forget a transaction."""
        self._by_key.pop(key, None)

    def of_group(self, group: str) -> list[OpenTransaction]:
        """Return the transactions of one group."""
        return [t for t in self._by_key.values() if t.group == group]

    def has_origin(self, origin: str) -> bool:
        """Tell whether any transaction came over one link."""
        return any(key.origin == origin for key in self._by_key)

    def of_origin(self, origin: str) -> list[OpenTransaction]:
        """Return the transactions that came over one link."""
        return [t for key, t in self._by_key.items() if key.origin == origin]
