"""Changes of primary in groups whose members announce themselves; sans-IO.

Nobody but an outside authority can promote a member there.  The leader doubts a primary, grants
a new term in the log (from then on the group has no primary), waits until every proxy knows it
or may no longer trust what it knew, and calls the authority under the grant's fence.  A call
without a clear answer is followed by a new grant, whose fence outranks it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from limedyke.core.control.announcements import AnnouncementTracker
from limedyke.core.control.events import AuthorityOutcome, LogDecision, Propose, RequestPromotion
from limedyke.core.control.lease_table import reissue_after_s
from limedyke.core.control.membership import ProxyMembership
from limedyke.core.control.primaries.authority_group_state import (
    NEVER,
    AuthorityGroupState,
    AuthorityStep,
    is_of_former,
)
from limedyke.core.control.primaries.primary_evaluator import PrimaryEvaluator
from limedyke.core.control.proposal_batch import ProposalBatch
from limedyke.core.control.timing import ControlTiming
from limedyke.core.home import HomeDirectory
from limedyke.messages.control import GroupPrimary, MemberReport, ProxyRecord, ProxyState
from limedyke.messages.control_entries import PrimaryChange, TermGrant
from limedyke.messages.databases import AnnouncedMember

PROPOSAL_RETRY_S = 1.0
EXCLUDED_FOR_S = 2.0
TOLD_AFTER_S = 1.0
"""What a member said sooner after a change of primary may be of the time before."""
FIRST_PRIMARY_WAIT_S = 1.5
"""How long members of a new group may take to tell which of them is the primary."""


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
        book: AnnouncementTracker,
        membership: ProxyMembership,
        homes: HomeDirectory,
        timing: ControlTiming,
        now: float,
    ) -> None:
        self._judgement = PrimaryEvaluator(members, proxies, book, membership, homes, timing, now)
        self._primaries = primaries
        self._members = members
        self._proxies = proxies
        self._book = book
        self._membership = membership
        self._timing = timing
        self._lease_over_s = reissue_after_s(timing.primary_lease_s)
        self._started_at = now
        self._cares: dict[str, AuthorityGroupState] = {}
        self._proposals = ProposalBatch()
        self._commands: list[RequestPromotion | LogDecision] = []

    def step_of(self, group: str) -> AuthorityStep | None:
        """Return where a group stands."""
        care = self._cares.get(group)
        return None if care is None else care.step

    def put_group(self, group: str, now: float) -> None:
        """Take a declared group; one whose promotion an earlier leader began goes on."""
        if group in self._cares:
            return
        care = self._cares[group] = AuthorityGroupState(seen_at=now)
        recorded = self._recorded(group)
        if recorded.term > 0 and not recorded.primary:
            care.enter(AuthorityStep.BACKING_OFF, now)

    def remove_group(self, group: str) -> None:
        """Forget a group that is declared no longer."""
        self._cares.pop(group, None)

    def report(self, proxy: str, report: MemberReport, now: float) -> None:
        """Take what a proxy sees of a member."""
        care = self._cares.get(report.group)
        if care is None or is_of_former(report, self._members):
            return
        care.reports.keep(proxy, report)
        self._look_at(report.group, care, now)

    def proxy_disconnected(self, proxy: str) -> None:
        """Forget what a proxy reported."""
        for care in self._cares.values():
            care.reports.forget_proxy(proxy)

    def primary_applied(self, primary: GroupPrimary, now: float) -> None:
        """Take a change of a group's primary out of the log."""
        care = self._cares.get(primary.group)
        if care is None:
            return
        if primary.primary:
            care.failures = 0
            care.recorded_at = now
            care.reports.forget_member(primary.primary)
            care.enter(AuthorityStep.WATCHED)
            return
        care.enter(AuthorityStep.FENCING)
        self._look_at(primary.group, care, now)

    def members_applied(
        self, changed: Iterable[AnnouncedMember], removed: Iterable[str], now: float
    ) -> list[str]:
        """Look at the groups whose members changed; at the others ``tick`` does.

        :param removed: identities
        :returns: those groups
        """
        touched = sorted(self._judgement.members_applied(changed, removed))
        for group in touched:
            care = self._cares.get(group)
            if care is not None:
                care.reports.forget_former(self._members)
                self._look_at(group, care, now)
        return touched

    def members_of(self, group: str) -> tuple[AnnouncedMember, ...]:
        """Return the announced members of a group."""
        return tuple(self._judgement.members_of(group))

    def authority_answered(
        self, group: str, fence: int, outcome: AuthorityOutcome, now: float
    ) -> None:
        """Take the authority's answer to a call; one to an older call counts no more."""
        care = self._cares.get(group)
        recorded = self._recorded(group)
        is_awaited = (
            care is not None and care.step is AuthorityStep.CALLING and recorded.fence == fence
        )
        if not is_awaited:
            return
        if outcome is AuthorityOutcome.PROMOTED:
            # The member leads some time later, and tells it then; until that moment a read there
            # could miss what the replaced primary acknowledged.
            care.promoted_at = now
            care.enter(AuthorityStep.PROMOTING, now + self._timing.promotion_wait_s)
            self._look_at(group, care, now)
            return
        if outcome is AuthorityOutcome.REFUSED:
            care.excluded[care.target] = now + EXCLUDED_FOR_S
        self._back_off(care, now)

    def tick(self, now: float) -> None:
        """Look at all groups; to be called several times a second."""
        for group, care in self._cares.items():
            is_judged = care.step in (AuthorityStep.WATCHED, AuthorityStep.SUSPECTED)
            if now >= care.deadline and not is_judged:
                self._time_out(group, care, now)
            else:
                self._look_at(group, care, now)

    def take_commands(self) -> list[Propose | RequestPromotion | LogDecision]:
        """Return the collected proposals and calls."""
        commands = [*self._proposals.take(), *self._commands]
        self._commands = []
        return commands

    def _recorded(self, group: str) -> GroupPrimary:
        return self._primaries.get(group, GroupPrimary(group, 0, ""))

    def _look_at(self, group: str, care: AuthorityGroupState, now: float) -> None:
        match care.step:
            case AuthorityStep.WATCHED | AuthorityStep.SUSPECTED:
                self._judge(group, care, now)
            case AuthorityStep.FENCING:
                if self._is_fenced(group, now):
                    self._call(group, care, now)
            case AuthorityStep.CALLING | AuthorityStep.PROMOTING | AuthorityStep.BACKING_OFF:
                self._follow_promoted(group, care, now)

    def _judge(self, group: str, care: AuthorityGroupState, now: float) -> None:
        recorded = self._recorded(group)
        if not recorded.primary:
            self._find_first_primary(group, care, recorded, now)
            return
        if self._follow_other(group, care, recorded, now):
            return
        if self._follow_restart(group, care, recorded, now):
            return
        suspicion = self._judgement.suspicion(group, care, recorded.primary, now)
        if suspicion is None:
            if care.step is AuthorityStep.SUSPECTED:
                care.enter(AuthorityStep.WATCHED)
            return
        is_news = care.step is AuthorityStep.WATCHED
        if is_news or suspicion.grounds is not care.suspicion.grounds:
            self._note(group, f"primary {recorded.primary} doubted: {suspicion.text}")
            care.suspicion = suspicion
            care.enter(AuthorityStep.SUSPECTED, now + suspicion.hold_s)
        if now >= care.deadline:
            self._grant(group, care, now)

    def _find_first_primary(
        self, group: str, care: AuthorityGroupState, recorded: GroupPrimary, now: float
    ) -> None:
        """Record the primary that a new group's members tell; without one, have one promoted."""
        exposed = [member for member in self._judgement.members_of(group) if member.is_primary]
        if len(exposed) == 1:
            self._record(group, care, recorded.term + 1, exposed[0].identity, now)
        elif self._judgement.members_of(group) and now - care.seen_at > FIRST_PRIMARY_WAIT_S:
            self._grant(group, care, now)

    def _follow_other(
        self, group: str, care: AuthorityGroupState, recorded: GroupPrimary, now: float
    ) -> bool:
        """Follow a promotion carried out late: the primary says it is none, another that it is."""
        since = care.recorded_at + TOLD_AFTER_S
        members = [
            m for m in self._judgement.members_of(group) if self._book.heard_at(m.identity) > since
        ]
        own = next((m for m in members if m.identity == recorded.primary), None)
        others = [m for m in members if m.is_primary and m.identity != recorded.primary]
        if own is None or own.is_primary or len(others) != 1:
            return False
        self._note(group, f"{others[0].identity} leads in place of {recorded.primary}")
        self._grant(group, care, now)
        return True

    def _follow_restart(
        self, group: str, care: AuthorityGroupState, recorded: GroupPrimary, now: float
    ) -> bool:
        """Replace a primary that has started again, and holds nothing of its log any more.

        Where no other member could lead it goes on, or is promoted once more if it does not lead.
        """
        member = self._members.get(recorded.primary)
        if member is None or member.started_at_ms <= recorded.started_at_ms:
            return False
        if recorded.started_at_ms == 0:
            return False
        self._note(group, f"primary {recorded.primary} has started again")
        if member.is_primary and not self._judgement.candidates(group, care, recorded.primary, now):
            self._record(group, care, recorded.term + 1, recorded.primary, now)
        else:
            self._grant(group, care, now)
        return True

    def _grant(self, group: str, care: AuthorityGroupState, now: float) -> None:
        """Propose the next term; the group has no primary from then on."""
        recorded = self._recorded(group)
        care.replaced = recorded.primary or care.replaced
        self._proposals.grant(TermGrant(group, recorded.term, recorded.term + 1))
        care.enter(AuthorityStep.GRANTING, now + PROPOSAL_RETRY_S)

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

    def _call(self, group: str, care: AuthorityGroupState, now: float) -> None:
        able = self._judgement.candidates(group, care, "", now)
        able = [member for member in able if member.identity != care.replaced] or able
        if not able:
            self._back_off(care, now)
            return
        care.target = able[0].identity
        care.target_started_at_ms = able[0].started_at_ms
        care.promoted_at = NEVER
        fence = self._recorded(group).fence
        self._commands.append(RequestPromotion(group, care.target, fence))
        care.enter(AuthorityStep.CALLING, now + self._timing.authority_timeout_s)

    def _follow_promoted(self, group: str, care: AuthorityGroupState, now: float) -> None:
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

    def _record(
        self, group: str, care: AuthorityGroupState, term: int, primary: str, now: float
    ) -> None:
        expected = self._recorded(group).term
        member = self._members.get(primary)
        started_at_ms = member.started_at_ms if member is not None else 0
        self._proposals.record(PrimaryChange(group, expected, term, primary, started_at_ms))
        care.enter(AuthorityStep.RECORDING, now + PROPOSAL_RETRY_S)

    def _back_off(self, care: AuthorityGroupState, now: float) -> None:
        care.failures += 1
        longest = self._timing.shortest_backoff_s * 2 ** min(care.failures - 1, 4)
        care.enter(AuthorityStep.BACKING_OFF, now + min(longest, self._timing.longest_backoff_s))

    def _time_out(self, group: str, care: AuthorityGroupState, now: float) -> None:
        care.deadline = NEVER
        recorded = self._recorded(group)
        match care.step:
            case AuthorityStep.GRANTING | AuthorityStep.RECORDING if recorded.primary:
                care.enter(AuthorityStep.WATCHED)
            case AuthorityStep.GRANTING | AuthorityStep.RECORDING | AuthorityStep.BACKING_OFF:
                self._grant(group, care, now)
            case AuthorityStep.CALLING | AuthorityStep.PROMOTING:
                self._back_off(care, now)

    def _note(self, group: str, text: str) -> None:
        self._commands.append(LogDecision(group, text))
