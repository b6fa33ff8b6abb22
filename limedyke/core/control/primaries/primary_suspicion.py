"""Decides when the reports of home proxies justify replacing a primary."""

from __future__ import annotations

from limedyke.core.control.membership import ProxyMembership
from limedyke.core.control.primaries.group_reports import GroupReports
from limedyke.core.control.timing import ControlTiming
from limedyke.messages.control import GroupPrimary


class PrimarySuspicion:
    """Evaluates the reports on one group at a time.

    :param membership: tells which proxies are live
    """

    def __init__(self, membership: ProxyMembership, timing: ControlTiming) -> None:
        self._membership = membership
        self._timing = timing

    def live_homes(self, reports: GroupReports, now: float) -> list[str]:
        """Return the group's live home proxies, in order of their weight."""
        return [proxy for proxy in reports.homes if self._membership.is_live(proxy, now)]

    def hold_s(self, reports: GroupReports, recorded: GroupPrimary, now: float) -> float | None:
        """Return how long a suspicion must last before the term is raised; None if there is none.

        If a majority cannot reach the primary, the hold time is short.  If a majority sees it as a
        replica, or sees no primary at all, the hold time is longer, as the reports may be outdated.

        A proxy that does not reach a majority of the members is blind, and is treated as not live:
        either its own network or machine has a problem, or no member could be promoted anyway.
        """
        timing = self._timing
        if not recorded.primary:
            live = set(self.live_homes(reports, now))
            return self._hold_of(reports, reports.observers(), live, timing.demoted_hold_s)
        unreachable = reports.unreachable_votes(recorded.primary)
        demoted = reports.demoted_votes(recorded.primary)
        if not unreachable and not demoted:
            return None
        live = set(self.live_homes(reports, now))
        blind = {proxy for proxy in unreachable if not reports.sees_majority(proxy)}
        unreachable -= blind
        live -= blind
        hold_s = self._hold_of(reports, unreachable, live, timing.report_hold_s)
        if hold_s is not None:
            return hold_s
        return self._hold_of(reports, unreachable | demoted, live, timing.demoted_hold_s)

    def _hold_of(
        self, reports: GroupReports, votes: set[str], live: set[str], majority_hold_s: float
    ) -> float | None:
        """Return how long these votes must last, or None if there are too few."""
        return vote_hold_s(votes, live, reports.majority, majority_hold_s, self._timing)


def vote_hold_s(
    votes: set[str],
    live: set[str],
    majority: int,
    majority_hold_s: float,
    timing: ControlTiming,
) -> float | None:
    """Return how long votes against a primary must last, or None if there are too few.

    :param votes: live home proxies that vote against the primary
    :param live: live home proxies
    :param majority: majority of all home proxies, live or not
    """
    if not votes:
        return None
    if len(votes) >= majority:
        return majority_hold_s
    if len(live) < majority and votes.issuperset(live):
        return max(majority_hold_s, timing.few_observers_hold_s)
    return None
