"""Direct access to the members of a fleet, for switches and checks."""

from __future__ import annotations

from contextlib import closing

import psycopg

from limedyke.addresses import split_address
from limedyke_lab.fleet.secrets import LAB_ADMIN_PASSWORD, LAB_ADMIN_USER
from limedyke_lab.fleet.topology import MemberNode, Topology

CONNECT_TIMEOUT_S = 3


class MemberAccess:
    """Executes statements on members as the lab's superuser, at their real addresses."""

    def __init__(self, topology: Topology) -> None:
        self._topology = topology

    def query(self, member: MemberNode, statement: str) -> list[tuple]:
        """Run one statement on a member and return its rows.

        :raises psycopg.Error: when the member refuses the statement or is unreachable
        """
        host, port = split_address(member.node.listen)
        connection = psycopg.connect(
            host=host,
            port=port,
            user=LAB_ADMIN_USER,
            password=LAB_ADMIN_PASSWORD,
            dbname="lab",
            autocommit=True,
            connect_timeout=CONNECT_TIMEOUT_S,
        )
        with closing(connection):
            cursor = connection.execute(statement)
            return cursor.fetchall() if cursor.description else []

    def set_switch(self, member: MemberNode, name: str, value: object) -> None:
        """Set a failure switch of a member."""
        self.query(member, f"SELECT lab_set('{name}', '{value}')")

    def is_primary(self, member: MemberNode) -> bool:
        """Return whether the member reports that it is an open primary."""
        try:
            return self.query(member, "SELECT group_role()")[0][0] == "primary"
        except psycopg.Error:
            return False

    def term(self, member: MemberNode) -> int:
        """Return the member's verified term; 0 when it is unreachable."""
        try:
            return int(self.query(member, "SELECT group_term()")[0][0])
        except psycopg.Error:
            return 0

    def primary_of(self, group: str) -> MemberNode | None:
        """Return the group's primary with the highest term, or None."""
        primaries = [
            member for member in self._topology.members_of(group) if self.is_primary(member)
        ]
        return max(primaries, key=self.term, default=None)
