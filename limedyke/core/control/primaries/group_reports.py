"""The home proxies' reports on the members of one group, and their evaluation."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from limedyke.messages.control import MemberHealth, MemberReport
from limedyke.messages.declaration import Group


@dataclass(frozen=True, slots=True)
class ExposedPrimary:
    """A member that exposes itself as the primary of a term."""

    term: int
    member: str


class GroupReports:
    """The reports on one group, by home proxy and member.

    :param group: the declared group
    :param homes: the current home proxies
    """

    def __init__(self, group: Group, homes: tuple[str, ...]) -> None:
        self.group = group
        self.homes = homes
        self._reports: dict[tuple[str, str], MemberReport] = {}

    @property
    def majority(self) -> int:
        """The number of home proxies that form a majority."""
        return len(self.homes) // 2 + 1

    def set_group(self, group: Group) -> None:
        """Set the declared group; drop reports on removed members."""
        self.group = group
        names = {member.name for member in group.members}
        self._reports = {k: r for k, r in self._reports.items() if k[1] in names}

    def set_homes(self, homes: tuple[str, ...]) -> None:
        """Set the current home proxies; reports of other proxies are kept but ignored."""
        self.homes = homes

    def report(self, proxy: str, report: MemberReport) -> bool:
        """Store a proxy's report; return whether it comes from a home proxy."""
        if not any(member.name == report.member for member in self.group.members):
            return False
        self._reports[(proxy, report.member)] = report
        return proxy in self.homes

    def forget(self, proxy: str) -> None:
        """Drop the reports of a disconnected proxy."""
        self._reports = {k: r for k, r in self._reports.items() if k[0] != proxy}

    def observers(self) -> set[str]:
        """Return the home proxies that have reported on any member."""
        return {proxy for proxy, _ in self._reports if proxy in self.homes}

    def highest_term(self) -> int:
        """Return the highest term that any member exposed."""
        return max((report.term for report in self._reports.values()), default=0)

    def forget_member(self, member: str) -> None:
        """Drop the reports on a member that has just become the primary."""
        self._reports = {k: r for k, r in self._reports.items() if k[1] != member}

    def unreachable_votes(self, primary: str) -> set[str]:
        """Return the home proxies that cannot reach the primary; a saturated one is reachable."""
        return self._votes(primary, lambda r: r.health is MemberHealth.UNREACHABLE)

    def demoted_votes(self, primary: str) -> set[str]:
        """Return the home proxies that report the recorded primary as a replica."""
        return self._votes(
            primary, lambda r: r.health is MemberHealth.REACHABLE and not r.is_primary
        )

    def _votes(self, member: str, counts: Callable[[MemberReport], bool]) -> set[str]:
        reports = {proxy: self._reports.get((proxy, member)) for proxy in self.homes}
        return {proxy for proxy, report in reports.items() if report and counts(report)}

    def exposed_primaries(self) -> Counter[ExposedPrimary]:
        """Return how many home proxies see each exposed pair of primary and term."""
        seen = {
            (proxy, ExposedPrimary(report.term, member))
            for (proxy, member), report in self._reports.items()
            if proxy in self.homes
            and report.is_primary
            and report.health is not MemberHealth.UNREACHABLE
        }
        return Counter(exposed for _, exposed in seen)

    def majority_primary(self, above_term: int) -> ExposedPrimary | None:
        """Return the primary of the highest term above ``above_term`` that a majority sees."""
        counted = self.exposed_primaries()
        agreed = [e for e, votes in counted.items() if votes >= self.majority]
        return max(
            (exposed for exposed in agreed if exposed.term > above_term),
            key=lambda exposed: exposed.term,
            default=None,
        )

    def primary_of_term(self, term: int) -> str:
        """Return the member that some home proxy sees as the primary of this term, if any."""
        exposed = (e.member for e in self.exposed_primaries() if e.term == term)
        return next(exposed, "")

    def reachable_members(self, proxy: str) -> int:
        """Return the number of members that a home proxy reaches."""
        return sum(
            1
            for (reporter, _), report in self._reports.items()
            if reporter == proxy and report.health is not MemberHealth.UNREACHABLE
        )

    def sees_majority(self, proxy: str) -> bool:
        """Return whether a home proxy reaches a majority of the members."""
        return self.reachable_members(proxy) > len(self.group.members) // 2

    def best_successor(self, leaving: str) -> str:
        """Return the reachable member with the highest log position that is not leaving."""
        staying = [m.name for m in self.group.members if not m.leaving and m.name != leaving]
        positions: dict[str, int] = {}
        for (_, member), report in self._reports.items():
            if member in staying and report.health is MemberHealth.REACHABLE:
                positions[member] = max(positions.get(member, 0), report.position)
        return max(sorted(positions), key=lambda name: positions[name], default="")

    def is_leaving(self, member: str) -> bool:
        """Return whether a member is declared as leaving."""
        return any(m.name == member and m.leaving for m in self.group.members)
