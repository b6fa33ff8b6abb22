"""What a proxy needs of a member protocol; sans-IO."""

from __future__ import annotations

from typing import Protocol

from limedyke.messages.statements import MemberAnswer, MemberStatus, Statement
from limedyke.messages.work import LogPosition


class MemberCodec(Protocol):
    """One connection's codec.

    Each request gets one ``MemberAnswer`` in order, the opening included.
    """

    def open(self, group: str, identity: str, tenant: str) -> bytes:
        """Open a connection to exactly this member of this group.

        :param tenant: on whose behalf; empty for no tenant's
        """

    def statement(self, statement: Statement, after: LogPosition | None) -> bytes:
        """Pass a statement on, its id and text unchanged.

        :param after: a position that the member's log must hold, else it does not run it
        """

    def execute(self, statement: Statement, own_name: str, after: LogPosition | None) -> bytes:
        """Pass on an execution of a prepared statement that has another name here."""

    def set_value(self, name: str, value: str) -> bytes:
        """Set a session value."""

    def prepare(self, own_name: str, writes: bool, shape: str) -> bytes:
        """Prepare a statement under a name of the proxy's own."""

    def discard(self) -> bytes:
        """Drop all values and prepared names."""

    def rollback(self) -> bytes:
        """Roll the open transaction back."""

    def ask_status(self) -> bytes:
        """Ask what the member says of itself."""

    def read_status(self, answer: MemberAnswer) -> MemberStatus | None:
        """Return the status in an answer, None when it holds none."""

    def feed(self, data: bytes) -> list[MemberAnswer]:
        """Take received bytes; return the answers now whole.

        :raises ValueError: when the bytes are no protocol of a member
        """
