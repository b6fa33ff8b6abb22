"""What the home proxies of one group report, and what follows from it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from limedyke.messages.control import MemberHealth, MemberReport
from limedyke.messages.declaration import Group


@dataclass(frozen=True, slots=True)
class ExposedPrimary:
    """A member that says it is the primary of a term."""

    term: int
    member: str


class GroupReports:
    """The reports on one group, by home proxy and member.

    :param group: the declared group
    :param homes: the present home proxies
    """

    def __init__(self, group: Group, homes: tuple[str, ...]) -> None:
        self.group = group
        self.homes = homes
        self._reports: dict[tuple[str, str], MemberReport] = {}

    @property
    def majority(self) -> int:
        """How many home proxies make a majority."""
        return len(self.homes) // 2 + 1

    def set_group(self, group: Group) -> None:
        """Take a changed declaration; reports on members that are gone are forgotten."""
        self.group = group
        names = {member.name for member in group.members}
        self._reports = {k: r for k, r in self._reports.items() if k[1] in names}

    def set_homes(self, homes: tuple[str, ...]) -> None:
        """Take the present home proxies; reports of others are kept but don't count."""
        self.homes = homes

    def report(self, proxy: str, report: MemberReport) -> bool:
        """Keep a proxy's report; tell whether it counts now."""
        if not any(member.name == report.member for member in self.group.members):
            return False
        self._reports[(proxy, report.member)] = report
        return proxy in self.homes

    def forget(self, proxy: str) -> None:
        """Forget the reports of a proxy whose link ended."""
        self._reports = {k: r for k, r in self._reports.items() if k[0] != proxy}

    def observers(self) -> set[str]:
        """Return the home proxies that have reported on anything."""
        return {proxy for proxy, _ in self._reports if proxy in self.homes}

    def highest_term(self) -> int:
        """Return the highest term that any member exposed."""
        return max((report.term for report in self._reports.values()), default=0)

    def forget_member(self, member: str) -> None:
        """Forget the reports on a member that has just become the primary."""
        self._reports = {k: r for k, r in self._reports.items() if k[1] != member}

    def unreachable_votes(self, primary: str) -> set[str]:
        """Return the home proxies that can't reach the primary; a saturated one is reached."""
        return self._votes(primary, lambda r: r.health is MemberHealth.UNREACHABLE)

    def demoted_votes(self, primary: str) -> set[str]:
        """Return the home proxies that see the recorded primary work as a replica."""
        return self._votes(
            primary, lambda r: r.health is MemberHealth.REACHABLE and not r.is_primary
        )

    def _votes(self, member: str, counts: Callable[[MemberReport], bool]) -> set[str]:
        reports = {proxy: self._reports.get((proxy, member)) for proxy in self.homes}
        return {proxy for proxy, report in reports.items() if report and counts(report)}

    def exposed_primaries(self) -> Counter[ExposedPrimary]:
        """Count, by primary and term that a member exposes, the home proxies that see it."""
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
        """Return the member that anyone sees as the primary of exactly this term, if any."""
        exposed = (e.member for e in self.exposed_primaries() if e.term == term)
        return next(exposed, "")

    def reachable_members(self, proxy: str) -> int:
        """Return how many members a home proxy reaches."""
        return sum(
            1
            for (reporter, _), report in self._reports.items()
            if reporter == proxy and report.health is not MemberHealth.UNREACHABLE
        )

    def sees_majority(self, proxy: str) -> bool:
        """Tell whether a home proxy reaches a majority of the members."""
        return self.reachable_members(proxy) > len(self.group.members) // 2

    def best_successor(self, leaving: str) -> str:
        """Return the reachable member, not leaving, with the highest reported position."""
        staying = [m.name for m in self.group.members if not m.leaving and m.name != leaving]
        positions: dict[str, int] = {}
        for (_, member), report in self._reports.items():
            if member in staying and report.health is MemberHealth.REACHABLE:
                positions[member] = max(positions.get(member, 0), report.position)
        return max(sorted(positions), key=lambda name: positions[name], default="")

    def is_leaving(self, member: str) -> bool:
        """Tell whether a member is declared leaving."""
        return any(m.name == member and m.leaving for m in self.group.members)
