"""What a session carries from one batch to the next."""

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
    :param read_only: the open transaction was begun as a read-only one
    :param wrote: the open transaction may have written
    :param lost: the client's transaction is gone at the back end, but the client must still end it
    :param last_active: monotonic seconds of the last message or answer
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
    lost: bool = False
    last_active: float = 0.0

    @property
    def is_in_transaction(self) -> bool:
        """Whether the client has a transaction to end."""
        return self.status is not TransactionStatus.IDLE

    @property
    def ready_message(self) -> bytes:
        """The ReadyForQuery that tells the client this state."""
        return _READY_BY_STATUS[self.status]

    def end_transaction(self) -> None:
        """Return to the idle state; portals end with the transaction."""
        self.status = TransactionStatus.IDLE
        self.transaction = 0
        self.read_only = False
        self.wrote = False
        self.lost = False
        self.end_portals()

    def end_portals(self) -> None:
        """Forget the portals, unless a transaction is open, with which they end."""
        if self.names.portals and not self.is_in_transaction:
            self.names.portals = {}

    def lose_transaction(self) -> None:
        """Keep the client in a failed transaction that the back end no longer has."""
        self.status = TransactionStatus.FAILED
        self.transaction = 0
        self.lost = True
        self.settings.roll_back()
