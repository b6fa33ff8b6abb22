"""When the reports of home proxies are reason enough to replace a primary."""

from __future__ import annotations

from limedyke.core.control.membership import ProxyMembership
from limedyke.core.control.primaries.group_reports import GroupReports
from limedyke.core.control.timing import ControlTiming
from limedyke.messages.control import GroupPrimary


class PrimarySuspicion:
    """Judges the reports on one group at a time.

    :param membership: tells which proxies are heard
    """

    def __init__(self, membership: ProxyMembership, timing: ControlTiming) -> None:
        self._membership = membership
        self._timing = timing

    def live_homes(self, watch: GroupReports, now: float) -> list[str]:
        """Return the group's home proxies that are heard, the heaviest first."""
        return [proxy for proxy in watch.homes if self._membership.is_live(proxy, now)]

    def hold_s(self, watch: GroupReports, recorded: GroupPrimary, now: float) -> float | None:
        """Return how long the present suspicion must last before the term rises; None without one.

        A majority that can't reach the primary needs a short hold; one that sees it work as a
        replica, or sees no primary at all, a longer one, as its reports may be of the past.

        A proxy that reaches no majority of the members is blind rather than a witness: its
        own network or machine is in trouble, or nobody could be promoted anyway.  It counts
        as one that isn't heard.
        """
        timing = self._timing
        if not recorded.primary:
            live = set(self.live_homes(watch, now))
            return self._hold_of(watch, watch.observers(), live, timing.demoted_hold_s)
        unreachable = watch.unreachable_votes(recorded.primary)
        demoted = watch.demoted_votes(recorded.primary)
        if not unreachable and not demoted:
            return None
        live = set(self.live_homes(watch, now))
        blind = {proxy for proxy in unreachable if not watch.sees_majority(proxy)}
        unreachable -= blind
        live -= blind
        hold_s = self._hold_of(watch, unreachable, live, timing.report_hold_s)
        if hold_s is not None:
            return hold_s
        return self._hold_of(watch, unreachable | demoted, live, timing.demoted_hold_s)

    def _hold_of(
        self, watch: GroupReports, votes: set[str], live: set[str], majority_hold_s: float
    ) -> float | None:
        """Return how long these votes must last, or None when they are too few."""
        return vote_hold_s(votes, live, watch.majority, majority_hold_s, self._timing)


def vote_hold_s(
    votes: set[str],
    live: set[str],
    majority: int,
    majority_hold_s: float,
    timing: ControlTiming,
) -> float | None:
    """Return how long votes against a primary must last, or None when they are too few.

    :param votes: live home proxies that vote against it
    :param live: home proxies that are heard
    :param majority: of all home proxies, heard or not
    """
    if not votes:
        return None
    if len(votes) >= majority:
        return majority_hold_s
    if len(live) < majority and votes.issuperset(live):
        return max(majority_hold_s, timing.few_observers_hold_s)
    return None
