"""Records what a proxy reports to the controllers."""

from __future__ import annotations

from limedyke.messages.control import PositionReport, PrimaryClaim


class RecordingReporter:
    """A reporter of ``StatementGroups`` that keeps positions and claims.

    :ivar positions: the reported positions of members
    :ivar claims: the reported claims of members to lead
    """

    def __init__(self) -> None:
        self.positions: list[PositionReport] = []
        self.claims: list[PrimaryClaim] = []

    async def report_member(self, report: object) -> None:
        """Ignore a report on a member's health."""

    async def report_position(self, report: PositionReport) -> None:
        """Record a position."""
        self.positions.append(report)

    async def report_claim(self, claim: PrimaryClaim) -> None:
        """Record a claim."""
        self.claims.append(claim)

    async def return_leases(self, leases: object) -> None:
        """Ignore returned leases."""
