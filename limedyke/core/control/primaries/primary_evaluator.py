"""Whether a primary of announced members should be replaced, and by which member; sans-IO."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from limedyke.core.control.announcements import AnnouncementTracker
from limedyke.core.control.membership import ProxyMembership
from limedyke.core.control.primaries.authority_group_state import (
    AuthorityGroupState,
    Suspicion,
    SuspicionReason,
)
from limedyke.core.control.primaries.group_members import GroupMembers
from limedyke.core.control.primaries.primary_suspicion import vote_hold_s
from limedyke.core.control.timing import ControlTiming
from limedyke.core.home import HomeDirectory
from limedyke.messages.control import ProxyRecord, ProxyState
from limedyke.messages.databases import AnnouncedMember, MemberState
from limedyke.messages.work import LogPosition

Rank = tuple[bool, bool, bool, int, bool, int, str]


class PrimaryEvaluator:
    """Judges by what home proxies report and by what members announce.

    :param members: the recorded members by identity, read only
    :param proxies: the recorded proxies by name, read only
    :param book: when members were heard
    :param membership: when proxies were heard
    :param homes: the home proxies of each group: only they hold connections, and so judge members
    :param now: when this controller began to lead
    """

    def __init__(
        self,
        members: Mapping[str, AnnouncedMember],
        proxies: Mapping[str, ProxyRecord],
        book: AnnouncementTracker,
        membership: ProxyMembership,
        homes: HomeDirectory,
        timing: ControlTiming,
        now: float,
    ) -> None:
        self._members = members
        self._by_group = GroupMembers(members)
        self._proxies = proxies
        self._book = book
        self._membership = membership
        self._homes = homes
        self._timing = timing
        self._started_at = now

    def members_of(self, group: str) -> list[AnnouncedMember]:
        """Return the members of a group whose records can be used."""
        return self._by_group.of(group)

    def members_applied(
        self, changed: Iterable[AnnouncedMember], removed: Iterable[str]
    ) -> set[str]:
        """Take a change of members out of the log; return the groups that it touches."""
        return self._by_group.applied(changed, removed)

    def suspicion(
        self, group: str, care: AuthorityGroupState, primary: str, now: float
    ) -> Suspicion | None:
        """Return why a primary should be replaced; None when it should not."""
        member = self._members.get(primary)
        if member is None:
            return Suspicion(SuspicionReason.LEFT, "it has left")
        if not self._able(group, care, primary, now):
            return None
        if member.state is MemberState.DRAINING:
            return Suspicion(SuspicionReason.DRAINS, "it is draining")
        return self._votes_against(group, care, primary, now)

    def _votes_against(
        self, group: str, care: AuthorityGroupState, primary: str, now: float
    ) -> Suspicion | None:
        """Return what the home proxies report against a primary.

        Home proxies that a new leader hasn't heard may still be on their way to it.
        """
        timing = self._timing
        homes = self._homes.homes(group)
        live = {name for name in homes if self._membership.is_live(name, now)}
        unreached = {name for name in live if care.reports.cannot_reach(name, primary)}
        majority = len(homes) // 2 + 1
        if len(live) < majority and now - self._started_at < timing.live_s:
            return None
        hold_s = vote_hold_s(unreached, live, majority, timing.report_hold_s, timing)
        if hold_s is not None and len(live) < majority and self._most_proxies_are_missing(now):
            hold_s = max(hold_s, timing.cut_off_hold_s)
        if hold_s is not None and care.took_over_lately(now, timing.calm_s):
            hold_s = max(hold_s, timing.settling_hold_s)
        if hold_s is not None:
            counted = f"{len(unreached)} of {len(homes)} home proxies, {len(live)} of them heard"
            return Suspicion(SuspicionReason.UNREACHABLE, f"{counted}, can't reach it", hold_s)
        denied = {name for name in live if care.reports.was_denied(name, primary)}
        if len(denied) >= majority:
            text = f"{len(denied)} of {len(homes)} home proxies were told that it does not lead"
            return Suspicion(SuspicionReason.DENIES, text, timing.demoted_hold_s)
        return self._silence(care, primary, live, unreached, now)

    def _silence(
        self,
        care: AuthorityGroupState,
        primary: str,
        live: set[str],
        unreached: set[str],
        now: float,
    ) -> Suspicion | None:
        """Return what a primary's own silence says, where no majority speaks against it."""
        silent_s = now - self._book.heard_at(primary)
        if silent_s <= self._timing.member_silence_s:
            return None
        if unreached:
            text = f"silent for {silent_s:.1f} s, {len(unreached)} can't reach it"
            return Suspicion(SuspicionReason.SILENT, text)
        if not any(care.reports.is_seen_by(name, primary) for name in live):
            text = f"silent for {silent_s:.1f} s, and nobody reaches it"
            return Suspicion(SuspicionReason.SILENT, text)
        return None

    def _most_proxies_are_missing(self, now: float) -> bool:
        """Tell whether this leader hears less than half of the proxies.

        It may be cut off from them together with the observers it hears, and the primary may well
        serve the others: to replace it would take it from most clients.
        """
        serving = [name for name, r in self._proxies.items() if r.state is ProxyState.SERVING]
        heard = sum(self._membership.is_live(name, now) for name in serving)
        return 2 * heard < len(serving)

    def candidates(
        self, group: str, care: AuthorityGroupState, leaving: str, now: float
    ) -> list[AnnouncedMember]:
        """Return the members that could lead, the best first."""
        able = self._able(group, care, leaving, now)
        return sorted(able, key=lambda member: self._rank(care, member, now))

    def _able(
        self, group: str, care: AuthorityGroupState, leaving: str, now: float
    ) -> list[AnnouncedMember]:
        """Return the members that could lead, in no order."""
        return [
            member
            for member in self.members_of(group)
            if member.identity != leaving
            and member.state is MemberState.READY
            and care.excluded.get(member.identity, 0.0) <= now
        ]

    def _rank(self, care: AuthorityGroupState, member: AnnouncedMember, now: float) -> Rank:
        """Order members: not emptied, heard, following, reached, leading already, far in the log.

        One that has started again is empty until a proxy has seen a log there: to promote it would
        lose all that the group holds, so any other member goes before.  A member whose log is of
        an older term has not followed the last change of primary: to promote it would bring
        commits back that are lost, and lose all that came since.
        """
        name = member.identity
        seen = care.reports.log_of(name)
        log = seen or LogPosition()
        heard_at = self._book.heard_at(name)
        leads = member.is_primary and heard_at > care.recorded_at
        return (
            name in care.reports.emptied and log.position == 0,
            now - heard_at > self._timing.member_silence_s,
            seen is not None and log.term < care.reports.newest_term(),
            care.reports.unreachable_count(name),
            not leads,
            -log.position,
            name,
        )
