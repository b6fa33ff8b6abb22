"""The interface that a member protocol implements, without I/O."""

from __future__ import annotations

from typing import Protocol

from limedyke.messages.statements import MemberAnswer, MemberStatus, Statement
from limedyke.messages.work import LogPosition


class MemberCodec(Protocol):
    """The codec of one connection.

    Each request, including ``open``, gets one ``MemberAnswer``, in order.
    """

    def open(self, group: str, identity: str, tenant: str) -> bytes:
        """Open a connection to exactly this member of this group.

        :param tenant: the tenant whose statements it will run; empty for none
        """

    def statement(self, statement: Statement, after: LogPosition | None) -> bytes:
        """Encode a statement with its id and text unchanged.

        :param after: log position that the member must hold, or it does not run the statement
        """

    def execute(self, statement: Statement, own_name: str, after: LogPosition | None) -> bytes:
        """Encode the execution of a prepared statement under the proxy's name for it."""

    def set_value(self, name: str, value: str) -> bytes:
        """Set a session value."""

    def prepare(self, own_name: str, writes: bool, shape: str) -> bytes:
        """Prepare a statement under a name chosen by the proxy."""

    def discard(self) -> bytes:
        """Discard all session values and prepared statements."""

    def rollback(self) -> bytes:
        """Roll the open transaction back."""

    def ask_status(self) -> bytes:
        """Query the member's status."""

    def hold(self, term: int) -> bytes:
        """Stop a replica from receiving until it is released or a member is promoted.

        :param term: higher than any term that the member knows; otherwise it refuses, so that a
            late request cannot stop it in a later term
        """

    def release(self) -> bytes:
        """Let a held replica receive again."""

    def read_status(self, answer: MemberAnswer) -> MemberStatus | None:
        """Return the status in the answer to a query or a hold, or None."""

    def feed(self, data: bytes) -> list[MemberAnswer]:
        """Parse received bytes; return the answers that are complete.

        :raises ValueError: when the bytes violate the member protocol
        """
