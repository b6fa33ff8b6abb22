"""The state that a session keeps between batches."""

from __future__ import annotations

from dataclasses import dataclass, field

from limedyke.core.sessions.batch import StatementNames
from limedyke.core.sessions.session_options import DEFAULT_OPTIONS, SessionOptions
from limedyke.core.sessions.session_position import SessionPosition
from limedyke.core.sessions.session_settings import SessionSettings
from limedyke.core.sessions.session_token import TokenOwner
from limedyke.messages.work import TransactionStatus
from limedyke.postgres.client_messages import READY

_READY_BY_STATUS = {status: READY[status.value.encode()] for status in TransactionStatus}


@dataclass(slots=True)
class SessionState:
    """The state of one session.

    :param status: transaction state as the client sees it
    :param transaction: number of the open transaction, 0 for none
    :param read_only: the open transaction was begun as read-only
    :param wrote: the open transaction may have written
    :param transaction_lost: the back end has lost the transaction, which the client must still end
    :param last_active: monotonic time in seconds of the last message or answer
    """

    owner: TokenOwner
    settings: SessionSettings = field(default_factory=SessionSettings)
    position: SessionPosition = field(default_factory=SessionPosition)
    names: StatementNames = field(default_factory=StatementNames)
    options: SessionOptions = DEFAULT_OPTIONS
    status: TransactionStatus = TransactionStatus.IDLE
    transaction: int = 0
    read_only: bool = False
    wrote: bool = False
    transaction_lost: bool = False
    last_active: float = 0.0

    @property
    def is_in_transaction(self) -> bool:
        """Whether the client sees an open or failed transaction."""
        return self.status is not TransactionStatus.IDLE

    @property
    def ready_message(self) -> bytes:
        """The ReadyForQuery message with the current transaction state."""
        return _READY_BY_STATUS[self.status]

    def end_transaction(self) -> None:
        """Reset to the idle state; portals end with the transaction."""
        self.status = TransactionStatus.IDLE
        self.transaction = 0
        self.read_only = False
        self.wrote = False
        self.transaction_lost = False
        self.end_portals()

    def end_portals(self) -> None:
        """Forget the portals; in an open transaction they are kept until it ends."""
        if self.names.portals and not self.is_in_transaction:
            self.names.portals = {}

    def lose_transaction(self) -> None:
        """Put the client into a failed transaction, as the back end no longer has it."""
        self.status = TransactionStatus.FAILED
        self.transaction = 0
        self.transaction_lost = True
        self.settings.roll_back()
