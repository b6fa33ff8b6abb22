"""Changes of primary in groups whose members announce themselves; sans-IO.

Nobody but an outside authority can promote a member there.  The leader doubts a primary, grants
a new term in the log (from then on the group has no primary), waits until every proxy knows it
or may no longer trust what it knew, and calls the authority under the grant's fence.  A call
without a clear answer is followed by a new grant, whose fence outranks it.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from limedyke.core.control.announcements import AnnouncementBook
from limedyke.core.control.events import AskAuthority, AuthorityOutcome, NoteDecision, Propose
from limedyke.core.control.lease_table import reissue_after_s
from limedyke.core.control.membership import ProxyMembership
from limedyke.core.control.primaries.primary_suspicion import vote_hold_s
from limedyke.core.control.proposal_batch import ProposalBatch
from limedyke.core.control.timing import ControlTiming
from limedyke.core.home import HomeDirectory
from limedyke.core.member_record import fault_of
from limedyke.messages.control import (
    GroupPrimary,
    MemberHealth,
    MemberReport,
    ProxyRecord,
    ProxyState,
)
from limedyke.messages.control_entries import PrimaryChange, TermGrant
from limedyke.messages.databases import AnnouncedMember, MemberState
from limedyke.messages.work import LogPosition

NEVER = float("inf")
PROPOSAL_RETRY_S = 1.0
EXCLUDED_FOR_S = 2.0
TOLD_AFTER_S = 1.0
"""What a member said sooner after a change of primary may be of the time before."""
FIRST_PRIMARY_WAIT_S = 1.5
"""How long members of a new group may take to tell which of them is the primary."""


class Step(enum.StrEnum):
    """Where a group stands."""

    WATCHED = "watched"
    DOUBTED = "doubted"
    GRANTING = "granting"
    FENCING = "fencing"
    CALLING = "calling"
    PROMOTING = "promoting"
    RECORDING = "recording"
    BACKING_OFF = "backing-off"


@dataclass(slots=True)
class _Care:
    """The leader's care for one group.

    :param deadline: when the present step is looked at again
    :param reports: what proxies last reported, by proxy and member
    :param excluded: members not to be promoted, until when
    :param replaced: the primary before the grant
    :param target: the member that is to follow
    :param target_started_at_ms: of its incarnation when the authority was called
    :param promoted_at: when the authority said that it has promoted the target
    :param recorded_at: when the present primary came out of the log
    :param emptied: members that have started again since they were seen, and hold nothing of that
    """

    step: Step = Step.WATCHED
    deadline: float = NEVER
    reports: dict[tuple[str, str], MemberReport] = field(default_factory=dict)
    excluded: dict[str, float] = field(default_factory=dict)
    replaced: str = ""
    target: str = ""
    target_started_at_ms: int = 0
    promoted_at: float = NEVER
    failures: int = 0
    seen_at: float = 0.0
    recorded_at: float = float("-inf")
    emptied: set[str] = field(default_factory=set)


class AuthorityFailover:
    """Cares for all groups of announced members.

    :param primaries: the replicated primaries by group, read only
    :param members: the recorded members by identity, read only
    :param proxies: the recorded proxies by name, read only
    :param book: when members were heard
    :param membership: when proxies were heard, and what they have confirmed
    :param homes: the home proxies of each group: only they hold connections, and so judge members
    :param now: when this controller began to lead
    """

    def __init__(
        self,
        primaries: Mapping[str, GroupPrimary],
        members: Mapping[str, AnnouncedMember],
        proxies: Mapping[str, ProxyRecord],
        book: AnnouncementBook,
        membership: ProxyMembership,
        homes: HomeDirectory,
        timing: ControlTiming,
        now: float,
    ) -> None:
        self._homes = homes
        self._primaries = primaries
        self._members = members
        self._proxies = proxies
        self._book = book
        self._membership = membership
        self._timing = timing
        self._lease_over_s = reissue_after_s(timing.primary_lease_s)
        self._started_at = now
        self._cares: dict[str, _Care] = {}
        self._proposals = ProposalBatch()
        self._commands: list[AskAuthority | NoteDecision] = []

    def step_of(self, group: str) -> Step | None:
        """Return where a group stands."""
        care = self._cares.get(group)
        return None if care is None else care.step

    def put_group(self, group: str, now: float) -> None:
        """Take a declared group; one whose promotion an earlier leader began goes on."""
        if group in self._cares:
            return
        care = self._cares[group] = _Care(seen_at=now)
        recorded = self._recorded(group)
        if recorded.term > 0 and not recorded.primary:
            self._enter(care, Step.BACKING_OFF, now)

    def remove_group(self, group: str) -> None:
        """Forget a group that is declared no longer."""
        self._cares.pop(group, None)

    def report(self, proxy: str, report: MemberReport, now: float) -> None:
        """Take what a proxy sees of a member."""
        care = self._cares.get(report.group)
        if care is None or self._is_of_former(report):
            return
        care.reports[(proxy, report.member)] = report
        self._look_at(report.group, care, now)

    def proxy_disconnected(self, proxy: str) -> None:
        """Forget what a proxy reported."""
        for care in self._cares.values():
            care.reports = {key: seen for key, seen in care.reports.items() if key[0] != proxy}

    def primary_applied(self, primary: GroupPrimary, now: float) -> None:
        """Take a change of a group's primary out of the log."""
        care = self._cares.get(primary.group)
        if care is None:
            return
        if primary.primary:
            care.failures = 0
            care.recorded_at = now
            care.reports = {k: r for k, r in care.reports.items() if k[1] != primary.primary}
            self._enter(care, Step.WATCHED, NEVER)
            return
        self._enter(care, Step.FENCING, NEVER)
        self._look_at(primary.group, care, now)

    def members_applied(self, now: float) -> None:
        """Look at all groups after members changed."""
        for group, care in self._cares.items():
            self._forget_former(care)
            self._look_at(group, care, now)

    def authority_answered(
        self, group: str, fence: int, outcome: AuthorityOutcome, now: float
    ) -> None:
        """Take the authority's answer to a call; one to an older call counts no more."""
        care = self._cares.get(group)
        recorded = self._recorded(group)
        is_awaited = care is not None and care.step is Step.CALLING and recorded.fence == fence
        if not is_awaited:
            return
        if outcome is AuthorityOutcome.PROMOTED:
            # The member leads some time later, and tells it then; until that moment a read there
            # could miss what the replaced primary acknowledged.
            care.promoted_at = now
            self._enter(care, Step.PROMOTING, now + self._timing.promotion_wait_s)
            self._look_at(group, care, now)
            return
        if outcome is AuthorityOutcome.REFUSED:
            care.excluded[care.target] = now + EXCLUDED_FOR_S
        self._back_off(care, now)

    def tick(self, now: float) -> None:
        """Look at all groups; to be called several times a second."""
        for group, care in self._cares.items():
            if now >= care.deadline:
                self._time_out(group, care, now)
            else:
                self._look_at(group, care, now)

    def take_commands(self) -> list[Propose | AskAuthority | NoteDecision]:
        """Return the collected proposals and calls."""
        commands = [*self._proposals.take(), *self._commands]
        self._commands = []
        return commands

    def _recorded(self, group: str) -> GroupPrimary:
        return self._primaries.get(group, GroupPrimary(group, 0, ""))

    def _members_of(self, group: str) -> list[AnnouncedMember]:
        return [
            member
            for member in self._members.values()
            if member.group == group and not fault_of(member)
        ]

    def _is_of_former(self, report: MemberReport) -> bool:
        """Tell whether a report is of an incarnation before the recorded one."""
        member = self._members.get(report.member)
        return member is not None and report.started_at_ms < member.started_at_ms

    def _forget_former(self, care: _Care) -> None:
        """Forget what was seen of members that have started again: they hold nothing of it.

        Else a replica that came back empty would be promoted for the log that it had.
        """
        former = [key for key, report in care.reports.items() if self._is_of_former(report)]
        for key in former:
            care.emptied.add(key[1])
            del care.reports[key]

    def _enter(self, care: _Care, step: Step, deadline: float) -> None:
        care.step = step
        care.deadline = deadline

    def _look_at(self, group: str, care: _Care, now: float) -> None:
        match care.step:
            case Step.WATCHED | Step.DOUBTED:
                self._judge(group, care, now)
            case Step.FENCING:
                if self._is_fenced(group, now):
                    self._call(group, care, now)
            case Step.CALLING | Step.PROMOTING | Step.BACKING_OFF:
                self._follow_promoted(group, care, now)

    def _judge(self, group: str, care: _Care, now: float) -> None:
        recorded = self._recorded(group)
        if not recorded.primary:
            self._find_first_primary(group, care, recorded, now)
            return
        if self._follow_other(group, care, recorded, now):
            return
        if self._follow_restart(group, care, recorded, now):
            return
        reason, hold_s = self._doubt(group, care, recorded.primary, now)
        if not reason:
            if care.step is Step.DOUBTED:
                self._enter(care, Step.WATCHED, NEVER)
        elif care.step is Step.WATCHED:
            self._note(group, f"primary {recorded.primary} doubted: {reason}")
            self._enter(care, Step.DOUBTED, now + hold_s)
            if hold_s == 0.0:
                self._grant(group, care, now)

    def _find_first_primary(
        self, group: str, care: _Care, recorded: GroupPrimary, now: float
    ) -> None:
        """Record the primary that a new group's members tell; without one, have one promoted."""
        exposed = [member for member in self._members_of(group) if member.is_primary]
        if len(exposed) == 1:
            self._record(group, care, recorded.term + 1, exposed[0].identity, now)
        elif self._members_of(group) and now - care.seen_at > FIRST_PRIMARY_WAIT_S:
            self._grant(group, care, now)

    def _follow_other(self, group: str, care: _Care, recorded: GroupPrimary, now: float) -> bool:
        """Follow a promotion carried out late: the primary says it is none, another that it is."""
        since = care.recorded_at + TOLD_AFTER_S
        members = [m for m in self._members_of(group) if self._book.heard_at(m.identity) > since]
        own = next((m for m in members if m.identity == recorded.primary), None)
        others = [m for m in members if m.is_primary and m.identity != recorded.primary]
        if own is None or own.is_primary or len(others) != 1:
            return False
        self._note(group, f"{others[0].identity} leads in place of {recorded.primary}")
        self._grant(group, care, now)
        return True

    def _follow_restart(self, group: str, care: _Care, recorded: GroupPrimary, now: float) -> bool:
        """Replace a primary that has started again, and holds nothing of its log any more.

        Where no other member could lead it goes on, or is promoted once more if it does not lead.
        """
        member = self._members.get(recorded.primary)
        if member is None or member.started_at_ms <= recorded.started_at_ms:
            return False
        if recorded.started_at_ms == 0:
            return False
        self._note(group, f"primary {recorded.primary} has started again")
        if member.is_primary and not self._candidates(group, care, recorded.primary, now):
            self._record(group, care, recorded.term + 1, recorded.primary, now)
        else:
            self._grant(group, care, now)
        return True

    def _doubt(self, group: str, care: _Care, primary: str, now: float) -> tuple[str, float]:
        """Return why a primary should be replaced, and how long the doubt has to last first.

        Home proxies that a new leader hasn't heard may still be on their way to it.
        """
        member = self._members.get(primary)
        if member is None:
            return "it has left", 0.0
        if not self._candidates(group, care, primary, now):
            return "", 0.0
        if member.state is MemberState.DRAINING:
            return "it is draining", 0.0
        homes = self._homes.homes(group)
        live = {name for name in homes if self._membership.is_live(name, now)}
        votes = {name for name in live if self._cannot_reach(care, name, primary)}
        majority = len(homes) // 2 + 1
        if len(live) < majority and now - self._started_at < self._timing.live_s:
            return "", 0.0
        hold_s = vote_hold_s(votes, live, majority, self._timing.report_hold_s, self._timing)
        if hold_s is not None and len(live) < majority and self._most_proxies_are_missing(now):
            hold_s = max(hold_s, self._timing.cut_off_hold_s)
        if hold_s is not None:
            counted = f"{len(votes)} of {len(homes)} home proxies, {len(live)} of them heard"
            return f"{counted}, can't reach it", hold_s
        denials = {name for name in live if self._sees_no_leader(care, name, primary)}
        if len(denials) >= majority:
            counted = f"{len(denials)} of {len(homes)} home proxies"
            return f"{counted} were told that it does not lead", self._timing.demoted_hold_s
        silent_s = now - self._book.heard_at(primary)
        if silent_s <= self._timing.member_silence_s:
            return "", 0.0
        if votes:
            return f"silent for {silent_s:.1f} s, {len(votes)} can't reach it", 0.0
        if not any((name, primary) in care.reports for name in live):
            return f"silent for {silent_s:.1f} s, and nobody reaches it", 0.0
        return "", 0.0

    def _most_proxies_are_missing(self, now: float) -> bool:
        """Tell whether this leader hears less than half of the proxies.

        It may be cut off from them together with the observers it hears, and the primary may well
        serve the others: to replace it would take it from most clients.
        """
        serving = [name for name, r in self._proxies.items() if r.state is ProxyState.SERVING]
        heard = sum(self._membership.is_live(name, now) for name in serving)
        return 2 * heard < len(serving)

    def _cannot_reach(self, care: _Care, proxy: str, member: str) -> bool:
        report = care.reports.get((proxy, member))
        return report is not None and report.health is MemberHealth.UNREACHABLE

    def _sees_no_leader(self, care: _Care, proxy: str, member: str) -> bool:
        """Tell whether a proxy reaches a recorded primary that has said that it does not lead."""
        report = care.reports.get((proxy, member))
        if report is None or report.health is MemberHealth.UNREACHABLE:
            return False
        return not report.is_primary

    def _candidates(
        self, group: str, care: _Care, leaving: str, now: float
    ) -> list[AnnouncedMember]:
        """Return the members that could lead, the best first."""
        able = [
            member
            for member in self._members_of(group)
            if member.identity != leaving
            and member.state is MemberState.READY
            and care.excluded.get(member.identity, 0.0) <= now
        ]
        return sorted(able, key=lambda member: self._rank(care, member, now))

    def _rank(
        self, care: _Care, member: AnnouncedMember, now: float
    ) -> tuple[bool, bool, bool, int, bool, int, str]:
        """Order members: not emptied, heard, following, reached, leading already, far in the log.

        One that has started again is empty until a proxy has seen a log there: to promote it would
        lose all that the group holds, so any other member goes before.  A member whose log is of
        an older term has not followed the last change of primary: to promote it would bring
        commits back that are lost, and lose all that came since.
        """
        reports = [r for (_, name), r in care.reports.items() if name == member.identity]
        unreachable = sum(report.health is MemberHealth.UNREACHABLE for report in reports)
        log = max((LogPosition(r.term, r.position) for r in reports), default=LogPosition())
        newest_term = max((report.term for report in care.reports.values()), default=0)
        is_outdated = bool(reports) and log.term < newest_term
        is_empty = member.identity in care.emptied and log.position == 0
        heard_at = self._book.heard_at(member.identity)
        is_silent = now - heard_at > self._timing.member_silence_s
        leads = member.is_primary and heard_at > care.recorded_at
        return (
            is_empty,
            is_silent,
            is_outdated,
            unreachable,
            not leads,
            -log.position,
            member.identity,
        )

    def _grant(self, group: str, care: _Care, now: float) -> None:
        """Propose the next term; the group has no primary from then on."""
        recorded = self._recorded(group)
        care.replaced = recorded.primary or care.replaced
        self._proposals.grant(TermGrant(group, recorded.term, recorded.term + 1))
        self._enter(care, Step.GRANTING, now + PROPOSAL_RETRY_S)

    def _is_fenced(self, group: str, now: float) -> bool:
        """Tell whether no proxy can take the replaced primary for the present one any more."""
        fence = self._recorded(group).fence
        for name, record in self._proxies.items():
            if record.state is ProxyState.GONE:
                continue
            session = self._membership.session(name)
            heard_at = session.heard_at if session is not None else self._started_at
            has_confirmed = session is not None and session.control_index >= fence
            if not has_confirmed and now - heard_at < self._lease_over_s:
                return False
        return True

    def _call(self, group: str, care: _Care, now: float) -> None:
        able = self._candidates(group, care, "", now)
        able = [member for member in able if member.identity != care.replaced] or able
        if not able:
            self._back_off(care, now)
            return
        care.target = able[0].identity
        care.target_started_at_ms = able[0].started_at_ms
        care.promoted_at = NEVER
        fence = self._recorded(group).fence
        self._commands.append(AskAuthority(group, care.target, fence))
        self._enter(care, Step.CALLING, now + self._timing.authority_timeout_s)

    def _follow_promoted(self, group: str, care: _Care, now: float) -> None:
        """Record the target of an unanswered call when it says that it leads."""
        target = self._members.get(care.target)
        if target is None or not target.is_primary:
            return
        if target.started_at_ms != care.target_started_at_ms:
            return
        # The replaced primary may not know yet that it is none: it counts only when it was itself
        # promoted again, as the only member left, and has said since that it leads.
        is_replaced = care.target == care.replaced
        if not is_replaced or self._book.heard_at(care.target) >= care.promoted_at:
            self._record(group, care, self._recorded(group).term, care.target, now)

    def _record(self, group: str, care: _Care, term: int, primary: str, now: float) -> None:
        expected = self._recorded(group).term
        member = self._members.get(primary)
        started_at_ms = member.started_at_ms if member is not None else 0
        self._proposals.record(PrimaryChange(group, expected, term, primary, started_at_ms))
        self._enter(care, Step.RECORDING, now + PROPOSAL_RETRY_S)

    def _back_off(self, care: _Care, now: float) -> None:
        care.failures += 1
        longest = self._timing.shortest_backoff_s * 2 ** min(care.failures - 1, 4)
        self._enter(care, Step.BACKING_OFF, now + min(longest, self._timing.longest_backoff_s))

    def _time_out(self, group: str, care: _Care, now: float) -> None:
        care.deadline = NEVER
        recorded = self._recorded(group)
        match care.step:
            case Step.DOUBTED:
                reason, _ = self._doubt(group, care, recorded.primary, now)
                if reason:
                    self._grant(group, care, now)
                else:
                    self._enter(care, Step.WATCHED, NEVER)
            case Step.GRANTING | Step.RECORDING if recorded.primary:
                self._enter(care, Step.WATCHED, NEVER)
            case Step.GRANTING | Step.RECORDING | Step.BACKING_OFF:
                self._grant(group, care, now)
            case Step.CALLING | Step.PROMOTING:
                self._back_off(care, now)

    def _note(self, group: str, text: str) -> None:
        self._commands.append(NoteDecision(group, text))
