"""Decides whether a primary of announced members should be replaced, and ranks successors."""

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
    """Evaluates primaries by the home proxies' reports and the members' announcements.

    :param members: the recorded members by identity, read only
    :param proxies: the recorded proxies by name, read only
    :param announcements: tells when members last announced themselves
    :param membership: tells when proxies last sent a message
    :param homes: the home proxies of each group; only they connect to members and report on them
    :param now: when this controller became the leader
    """

    def __init__(
        self,
        members: Mapping[str, AnnouncedMember],
        proxies: Mapping[str, ProxyRecord],
        announcements: AnnouncementTracker,
        membership: ProxyMembership,
        homes: HomeDirectory,
        timing: ControlTiming,
        now: float,
    ) -> None:
        self._members = members
        self._by_group = GroupMembers(members)
        self._proxies = proxies
        self._announcements = announcements
        self._membership = membership
        self._homes = homes
        self._timing = timing
        self._started_at = now

    def members_of(self, group: str) -> list[AnnouncedMember]:
        """Return the members of a group whose records are valid."""
        return self._by_group.of(group)

    def members_applied(
        self, changed: Iterable[AnnouncedMember], removed: Iterable[str]
    ) -> set[str]:
        """Apply a recorded change of members; return the affected groups."""
        return self._by_group.applied(changed, removed)

    def suspicion(
        self, group: str, state: AuthorityGroupState, primary: str, now: float
    ) -> Suspicion | None:
        """Return the suspicion against a primary; None if there is none."""
        member = self._members.get(primary)
        if member is None:
            return Suspicion(SuspicionReason.LEFT, "it has left")
        if not self._eligible(group, state, primary, now):
            return None
        if member.state is MemberState.DRAINING:
            return Suspicion(SuspicionReason.DRAINS, "it is draining")
        return self._vote_suspicion(group, state, primary, now)

    def _vote_suspicion(
        self, group: str, state: AuthorityGroupState, primary: str, now: float
    ) -> Suspicion | None:
        """Return the suspicion that follows from the home proxies' reports.

        Home proxies that a new leader has not heard from may still be connecting to it.
        """
        timing = self._timing
        homes = self._homes.homes(group)
        live = {name for name in homes if self._membership.is_live(name, now)}
        unreached = {name for name in live if state.reports.cannot_reach(name, primary)}
        majority = len(homes) // 2 + 1
        if len(live) < majority and now - self._started_at < timing.live_s:
            return None
        hold_s = vote_hold_s(unreached, live, majority, timing.report_hold_s, timing)
        if hold_s is not None and len(live) < majority and self._most_proxies_are_silent(now):
            hold_s = max(hold_s, timing.cut_off_hold_s)
        if hold_s is not None and state.took_over_recently(now, timing.calm_s):
            hold_s = max(hold_s, timing.settling_hold_s)
        if hold_s is not None:
            counted = f"{len(unreached)} of {len(homes)} home proxies, {len(live)} of them heard"
            return Suspicion(SuspicionReason.UNREACHABLE, f"{counted}, can't reach it", hold_s)
        denied = {name for name in live if state.reports.was_denied(name, primary)}
        if len(denied) >= majority:
            text = f"{len(denied)} of {len(homes)} home proxies were told that it does not lead"
            return Suspicion(SuspicionReason.DENIES, text, timing.demoted_hold_s)
        return self._silence_suspicion(state, primary, live, unreached, now)

    def _silence_suspicion(
        self,
        state: AuthorityGroupState,
        primary: str,
        live: set[str],
        unreached: set[str],
        now: float,
    ) -> Suspicion | None:
        """Return the suspicion that follows from a primary's silence, without a majority's vote.

        A primary that cannot reach the controllers was recorded because a proxy reaches it.
        """
        heard_at = max(self._announcements.last_announced_at(primary), state.recorded_at)
        silent_s = now - heard_at
        if silent_s <= self._timing.member_silence_s:
            return None
        if unreached:
            text = f"silent for {silent_s:.1f} s, {len(unreached)} can't reach it"
            return Suspicion(SuspicionReason.SILENT, text)
        if not any(state.reports.has_report(name, primary) for name in live):
            text = f"silent for {silent_s:.1f} s, and nobody reaches it"
            return Suspicion(SuspicionReason.SILENT, text)
        return None

    def _most_proxies_are_silent(self, now: float) -> bool:
        """Return whether less than half of the serving proxies are live.

        This leader and the observers that reach it may be partitioned from the rest, while the
        primary still serves the other proxies. Replacing it would then disrupt most clients.
        """
        serving = [name for name, r in self._proxies.items() if r.state is ProxyState.SERVING]
        live = sum(self._membership.is_live(name, now) for name in serving)
        return 2 * live < len(serving)

    def candidates(
        self, group: str, state: AuthorityGroupState, leaving: str, now: float
    ) -> list[AnnouncedMember]:
        """Return the members that could lead, the best candidate first."""
        eligible = self._eligible(group, state, leaving, now)
        return sorted(eligible, key=lambda member: self._rank(state, member, now))

    def draining_candidates(
        self, group: str, state: AuthorityGroupState, now: float
    ) -> list[AnnouncedMember]:
        """Return the draining members that could lead for want of another, the best first."""
        draining = [
            member
            for member in self.members_of(group)
            if member.state is MemberState.DRAINING
            and state.excluded.get(member.identity, 0.0) <= now
        ]
        return sorted(draining, key=lambda member: self._rank(state, member, now))

    def _eligible(
        self, group: str, state: AuthorityGroupState, leaving: str, now: float
    ) -> list[AnnouncedMember]:
        """Return the members that could lead, in no particular order."""
        return [
            member
            for member in self.members_of(group)
            if member.identity != leaving
            and member.state is MemberState.READY
            and state.excluded.get(member.identity, 0.0) <= now
        ]

    def _rank(self, state: AuthorityGroupState, member: AnnouncedMember, now: float) -> Rank:
        """Return the sort key of a candidate; the lowest is the best.

        A restarted member counts as empty until a proxy reports a log position for it. Promoting
        it would lose all of the group's data, so every other member is preferred.  A member whose
        log is in an older term has not followed the last change of primary. Promoting it would
        restore lost commits, and lose all later ones.  The other criteria, in order: it announced
        itself recently, few proxies fail to reach it, it already leads, its log is long.
        """
        name = member.identity
        seen = state.reports.log_of(name)
        log = seen or LogPosition()
        heard_at = self._announcements.last_announced_at(name)
        leads = member.is_primary and self._announcements.announced_since(name, state.recorded_at)
        return (
            name in state.reports.emptied and log.position == 0,
            now - heard_at > self._timing.member_silence_s,
            seen is not None and log.term < state.reports.newest_term(),
            state.reports.unreachable_count(name),
            not leads,
            -log.position,
            name,
        )
