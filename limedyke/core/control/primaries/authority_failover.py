"""Changes of primary in groups whose members announce themselves; performs no I/O.

Only an external authority can promote a member of such a group.  When the leader suspects the
primary, it grants a new term in the log, and the group has no primary from then on.  It waits until
every proxy has confirmed the grant or may no longer rely on its earlier knowledge, then calls the
authority with the grant's fencing number.  If the outcome of a call is unknown, a new grant with a
higher fencing number follows.

The called member is recorded as the primary once it has said so to a home proxy that asked it after
the call.  While a call for another member may still be carried out nobody is recorded: that member
would take the lead from the recorded one.

Where commits wait for replicas, the leader calls the authority only once the members' log positions
show who holds every acknowledged commit.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from random import Random

from limedyke.core.control.announcements import AnnouncementTracker
from limedyke.core.control.events import (
    AuthorityOutcome,
    LogDecision,
    Propose,
    RequestPromotion,
    SendToProxy,
)
from limedyke.core.control.lease_table import reissue_after_s
from limedyke.core.control.membership import ProxyMembership
from limedyke.core.control.primaries.authority_group_state import (
    NEVER,
    AuthorityGroupState,
    AuthorityStep,
    is_from_earlier_incarnation,
)
from limedyke.core.control.primaries.claim_round import ClaimQueries
from limedyke.core.control.primaries.primary_evaluator import PrimaryEvaluator
from limedyke.core.control.primaries.synchronous_promotion import SynchronousPromotion
from limedyke.core.control.proposal_batch import ProposalBatch
from limedyke.core.control.timing import ControlTiming
from limedyke.core.home import HomeDirectory
from limedyke.messages.control import (
    GroupPrimary,
    MemberReport,
    PositionReport,
    PrimaryClaim,
    ProxyRecord,
    ProxyState,
)
from limedyke.messages.control_entries import PrimaryChange, TermGrant
from limedyke.messages.databases import AnnouncedMember
from limedyke.messages.declaration import Group
from limedyke.messages.work import FIRST_POSITION

PROPOSAL_RETRY_S = 1.0
REFUSED_EXCLUSION_S = 2.0
STALE_ANNOUNCEMENT_S = 1.0
"""Announcements within this time of a change of primary may date from before it."""
FIRST_PRIMARY_WAIT_S = 1.5
"""How long the members of a new group may take to announce a primary."""


class AuthorityFailover:
    """Manages the primaries of all groups with announced members.

    :param primaries: the replicated primaries by group, read only
    :param members: the recorded members by identity, read only
    :param proxies: the recorded proxies by name, read only
    :param announcements: tells when members last announced themselves
    :param membership: tells when proxies last sent a message, and the index they have confirmed
    :param homes: the home proxies of each group; only they connect to members and report on them
    :param generator: source of the ids of queries
    :param now: when this controller became the leader
    """

    def __init__(
        self,
        primaries: Mapping[str, GroupPrimary],
        members: Mapping[str, AnnouncedMember],
        proxies: Mapping[str, ProxyRecord],
        announcements: AnnouncementTracker,
        membership: ProxyMembership,
        homes: HomeDirectory,
        timing: ControlTiming,
        generator: Random,
        now: float,
    ) -> None:
        self._evaluator = PrimaryEvaluator(
            members, proxies, announcements, membership, homes, timing, now
        )
        self._synchronous = SynchronousPromotion(
            self._evaluator.members_of, membership, homes, generator
        )
        self._claims = ClaimQueries(membership, homes, generator)
        self._primaries = primaries
        self._members = members
        self._proxies = proxies
        self._announcements = announcements
        self._membership = membership
        self._timing = timing
        self._lease_expiry_s = reissue_after_s(timing.primary_lease_s)
        self._started_at = now
        self._group_states: dict[str, AuthorityGroupState] = {}
        self._proposals = ProposalBatch()
        self._commands: list[RequestPromotion | SendToProxy | LogDecision] = []

    def step_of(self, group: str) -> AuthorityStep | None:
        """Return the current step of a group."""
        state = self._group_states.get(group)
        return None if state is None else state.step

    @property
    def awaiting_positions_count(self) -> int:
        """How many groups have no primary as no member surely holds all acknowledged commits."""
        return self._synchronous.awaiting_count

    def put_group(self, group: Group, now: float) -> None:
        """Apply a group's declaration; continue a promotion that an earlier leader began."""
        self._synchronous.put_group(group)
        if group.name in self._group_states:
            return
        state = self._group_states[group.name] = AuthorityGroupState(added_at=now)
        recorded = self._recorded(group.name)
        if recorded.term > 0 and not recorded.primary:
            state.replaced = recorded.replaced
            state.calls.sent_by_earlier_leader()
            state.enter(AuthorityStep.BACKING_OFF, now)

    def remove_group(self, group: str) -> None:
        """Remove a group that is no longer declared."""
        self._group_states.pop(group, None)
        self._synchronous.remove_group(group)

    def report(self, proxy: str, report: MemberReport, now: float) -> None:
        """Process a proxy's report on a member."""
        state = self._group_states.get(report.group)
        if state is None or is_from_earlier_incarnation(report, self._members):
            return
        state.reports.keep(proxy, report)
        self._evaluate_group(report.group, state, now)

    def position_reported(self, report: PositionReport, now: float) -> None:
        """Process the log position of a member."""
        state = self._group_states.get(report.group)
        if state is None:
            return
        self._synchronous.report(report)
        self._evaluate_group(report.group, state, now)

    def primary_claimed(self, claim: PrimaryClaim, now: float) -> None:
        """Record the target of a call as the primary, as it says that it leads.

        A claim to lead an earlier term than another member's log is in is a mistake of the member,
        which has not noticed that it was replaced.
        """
        state = self._group_states.get(claim.group)
        if state is None or not state.awaits_claim(claim):
            return
        newest = state.reports.newest_term()
        if claim.term < newest:
            text = f"{claim.member} says that it leads term {claim.term}, but {newest} has begun"
            self._log_decision(claim.group, text)
            return
        if self._is_called_incarnation(state):
            self._log_decision(claim.group, f"{claim.member} says that it leads term {claim.term}")
            self._record_target(claim.group, state, now)

    def proxy_disconnected(self, proxy: str) -> None:
        """Drop the reports of a disconnected proxy."""
        for state in self._group_states.values():
            state.reports.forget_proxy(proxy)

    def primary_applied(self, primary: GroupPrimary, now: float) -> None:
        """Handle an applied change of a group's term or primary."""
        state = self._group_states.get(primary.group)
        if state is None:
            return
        if primary.primary:
            self._synchronous.end_round(primary.group)
            state.target_position = FIRST_POSITION
            state.calls.primary_recorded()
            state.failures = 0
            state.recorded_at = now
            state.reports.forget_member(primary.primary)
            state.enter(AuthorityStep.WATCHED)
            return
        state.target = ""
        state.claim_round = None
        state.enter(AuthorityStep.FENCING)
        self._evaluate_group(primary.group, state, now)

    def members_applied(
        self, changed: Iterable[AnnouncedMember], removed: Iterable[str], now: float
    ) -> list[str]:
        """Evaluate the groups whose members changed; ``tick`` evaluates the others.

        :param removed: identities of the removed members
        :returns: the groups whose members changed
        """
        touched = sorted(self._evaluator.members_applied(changed, removed))
        for group in touched:
            state = self._group_states.get(group)
            if state is not None:
                state.reports.forget_earlier_incarnations(self._members)
                self._evaluate_group(group, state, now)
        return touched

    def members_of(self, group: str) -> tuple[AnnouncedMember, ...]:
        """Return the announced members of a group."""
        return tuple(self._evaluator.members_of(group))

    def authority_answered(
        self, group: str, fence: int, outcome: AuthorityOutcome, now: float
    ) -> None:
        """Handle the outcome of a call to the authority.

        Outcomes of earlier calls only show which calls may still be carried out.
        """
        state = self._group_states.get(group)
        if state is None:
            return
        if outcome is AuthorityOutcome.PROMOTED:
            state.calls.accepted(fence, now + self._timing.promotion_effect_s)
        elif outcome is AuthorityOutcome.REFUSED:
            state.calls.refused(fence)
        if state.step is not AuthorityStep.CALLING or self._recorded(group).fence != fence:
            return
        if outcome is AuthorityOutcome.PROMOTED:
            self._promoted(group, state, now)
            return
        if outcome is AuthorityOutcome.REFUSED:
            state.excluded[state.target] = now + REFUSED_EXCLUSION_S
        self._back_off(state, now)

    def _promoted(self, group: str, state: AuthorityGroupState, now: float) -> None:
        """Wait until the target leads, which it begins to do some time after the answer.

        Until that moment a read there could miss writes that the replaced primary acknowledged.
        """
        others_end_at = max(now, state.calls.others_end_at(state.target))
        if others_end_at > now:
            wait_s = others_end_at - now
            text = f"{state.target} is asked in {wait_s:.1f} s, as another call may be carried out"
            self._log_decision(group, text)
        state.enter(AuthorityStep.PROMOTING, others_end_at + self._timing.promotion_wait_s)
        self._evaluate_group(group, state, now)

    def tick(self, now: float) -> None:
        """Evaluate all groups and handle expired deadlines; called several times a second."""
        for group, state in self._group_states.items():
            self._synchronous.tick(group, self._recorded(group), now)
            is_watched = state.step in (AuthorityStep.WATCHED, AuthorityStep.SUSPECTED)
            if now >= state.deadline and not is_watched:
                self._time_out(group, state, now)
            else:
                self._evaluate_group(group, state, now)

    def take_commands(self) -> list[Propose | SendToProxy | RequestPromotion | LogDecision]:
        """Return the collected proposals, queries and calls."""
        commands = [
            *self._proposals.take(),
            *self._synchronous.take_commands(),
            *self._commands,
        ]
        self._commands = []
        return commands

    def _recorded(self, group: str) -> GroupPrimary:
        return self._primaries.get(group, GroupPrimary(group, 0, ""))

    def _evaluate_group(self, group: str, state: AuthorityGroupState, now: float) -> None:
        match state.step:
            case AuthorityStep.WATCHED | AuthorityStep.SUSPECTED:
                self._evaluate_primary(group, state, now)
            case AuthorityStep.FENCING:
                if self._is_fenced(group, now):
                    self._fenced(group, state, now)
            case AuthorityStep.COLLECTING:
                self._call(group, state, now)
            case AuthorityStep.CALLING | AuthorityStep.PROMOTING | AuthorityStep.BACKING_OFF:
                self._follow_promoted(group, state, now)

    def _evaluate_primary(self, group: str, state: AuthorityGroupState, now: float) -> None:
        recorded = self._recorded(group)
        if not recorded.primary:
            self._find_first_primary(group, state, recorded, now)
            return
        if self._follow_exposed_primary(group, state, recorded, now):
            return
        if self._follow_restart(group, state, recorded, now):
            return
        suspicion = self._evaluator.suspicion(group, state, recorded.primary, now)
        if suspicion is None:
            if state.step is AuthorityStep.SUSPECTED:
                state.enter(AuthorityStep.WATCHED)
            return
        is_new = state.step is AuthorityStep.WATCHED
        if is_new or suspicion.reason is not state.suspicion.reason:
            self._log_decision(group, f"primary {recorded.primary} doubted: {suspicion.text}")
            state.suspicion = suspicion
            state.enter(AuthorityStep.SUSPECTED, now + suspicion.hold_s)
        if now >= state.deadline:
            self._grant(group, state, now)

    def _find_first_primary(
        self, group: str, state: AuthorityGroupState, recorded: GroupPrimary, now: float
    ) -> None:
        """Record the primary that a new group announces; if there is none, promote a member."""
        exposed = [member for member in self._evaluator.members_of(group) if member.is_primary]
        if len(exposed) == 1:
            self._record(group, state, recorded.term + 1, exposed[0].identity, now)
        elif self._evaluator.members_of(group) and now - state.added_at > FIRST_PRIMARY_WAIT_S:
            self._grant(group, state, now)

    def _follow_exposed_primary(
        self, group: str, state: AuthorityGroupState, recorded: GroupPrimary, now: float
    ) -> bool:
        """Follow a delayed promotion: the recorded primary steps down and another member leads."""
        since = state.recorded_at + STALE_ANNOUNCEMENT_S
        members = [
            m
            for m in self._evaluator.members_of(group)
            if self._announcements.announced_since(m.identity, since)
        ]
        own = next((m for m in members if m.identity == recorded.primary), None)
        others = [m for m in members if m.is_primary and m.identity != recorded.primary]
        if own is None or own.is_primary or len(others) != 1:
            return False
        self._log_decision(group, f"{others[0].identity} leads in place of {recorded.primary}")
        self._grant(group, state, now)
        return True

    def _follow_restart(
        self, group: str, state: AuthorityGroupState, recorded: GroupPrimary, now: float
    ) -> bool:
        """Replace a primary that has restarted, as its log is empty.

        If no other member could lead, it stays the primary, or is promoted again if it does not
        lead.
        """
        member = self._members.get(recorded.primary)
        if member is None or member.started_at_ms <= recorded.started_at_ms:
            return False
        if recorded.started_at_ms == 0:
            return False
        self._log_decision(group, f"primary {recorded.primary} has started again")
        if member.is_primary and not self._others_could_lead(group, state, recorded.primary, now):
            self._record(group, state, recorded.term + 1, recorded.primary, now)
        else:
            self._grant(group, state, now)
        return True

    def _others_could_lead(
        self, group: str, state: AuthorityGroupState, primary: str, now: float
    ) -> bool:
        """Return whether a member other than the primary could lead, now or later.

        Where commits wait for replicas, any other member may hold what the primary lost.
        """
        if self._synchronous.is_synchronous(group):
            return len(self._evaluator.members_of(group)) > 1
        return bool(self._evaluator.candidates(group, state, primary, now))

    def _grant(self, group: str, state: AuthorityGroupState, now: float) -> None:
        """Propose the next term; once it is granted, the group has no primary."""
        recorded = self._recorded(group)
        state.replaced = recorded.primary or state.replaced
        self._proposals.grant(TermGrant(group, recorded.term, recorded.term + 1))
        state.enter(AuthorityStep.GRANTING, now + PROPOSAL_RETRY_S)

    def _is_fenced(self, group: str, now: float) -> bool:
        """Return whether no proxy can still use the replaced primary as the current one."""
        fence = self._recorded(group).fence
        for name, record in self._proxies.items():
            if record.state is ProxyState.GONE:
                continue
            session = self._membership.session(name)
            last_seen_at = session.heard_at if session is not None else self._started_at
            has_confirmed = session is not None and session.control_index >= fence
            if not has_confirmed and now - last_seen_at < self._lease_expiry_s:
                return False
        return True

    def _fenced(self, group: str, state: AuthorityGroupState, now: float) -> None:
        """Continue once no proxy uses the replaced primary any more."""
        if self._synchronous.is_synchronous(group):
            self._synchronous.begin(self._recorded(group), now)
            state.enter(AuthorityStep.COLLECTING)
        self._call(group, state, now)

    def _call(self, group: str, state: AuthorityGroupState, now: float) -> None:
        if self._synchronous.is_synchronous(group):
            target = self._synchronous_target(group, state, now)
            if target is None:
                return
        else:
            target = self._target(group, state, now)
            if target is None:
                self._back_off(state, now)
                return
        state.target = target.identity
        state.target_started_at_ms = target.started_at_ms
        state.target_position = self._synchronous.position_of(group, target.identity)
        self._synchronous.end_round(group)
        fence = self._recorded(group).fence
        state.calls.sent(state.target, fence)
        self._commands.append(RequestPromotion(group, state.target, fence))
        state.enter(AuthorityStep.CALLING, now + self._timing.authority_timeout_s)

    def _target(self, group: str, state: AuthorityGroupState, now: float) -> AnnouncedMember | None:
        """Return the best candidate, the replaced primary last."""
        eligible = self._evaluator.candidates(group, state, "", now)
        eligible = [member for member in eligible if member.identity != state.replaced] or eligible
        return eligible[0] if eligible else None

    def _synchronous_target(
        self, group: str, state: AuthorityGroupState, now: float
    ) -> AnnouncedMember | None:
        """Return the best candidate that surely holds all acknowledged commits; None to wait.

        The replaced primary, or else a draining member, leads if no other one holds them. It is
        replaced in turn once others have received what it holds.
        """
        holders = self._synchronous.holders(group, now)
        ready = self._evaluator.candidates(group, state, "", now)
        for member in ready:
            if member.identity in holders and member.identity != state.replaced:
                return member
        if not self._synchronous.takes_second_choice(group, now):
            return None
        draining = self._evaluator.draining_candidates(group, state, now)
        last = [member for member in draining if member.identity != state.replaced]
        return next((m for m in (*ready, *last) if m.identity in holders), None)

    def _follow_promoted(self, group: str, state: AuthorityGroupState, now: float) -> None:
        """Have home proxies ask the target of the call whether it leads.

        The first question is sent once no call for another member is outstanding.
        """
        if not state.target or now < state.calls.others_end_at(state.target):
            return
        if state.claim_round is None:
            state.claim_round = self._claims.new_round(now)
        fence = self._recorded(group).fence
        self._commands += self._claims.due(state.claim_round, group, fence, state.target, now)
        if self._claims.only_earlier_versions(group, now):
            self._follow_announcement(group, state, now)

    def _follow_announcement(self, group: str, state: AuthorityGroupState, now: float) -> None:
        """Record a target that has announced that it leads, for want of proxies that can ask it."""
        since = state.claim_round.began_at
        target = self._members.get(state.target)
        if target is None or not target.is_primary or not self._is_called_incarnation(state):
            return
        if self._announcements.announced_since(state.target, since):
            self._log_decision(group, f"{state.target} has announced that it leads")
            self._record_target(group, state, now)

    def _is_called_incarnation(self, state: AuthorityGroupState) -> bool:
        """Return whether the target has not restarted since the call, and so kept its log."""
        target = self._members.get(state.target)
        return target is not None and target.started_at_ms == state.target_started_at_ms

    def _record_target(self, group: str, state: AuthorityGroupState, now: float) -> None:
        """Record the target of the call as the primary of the granted term."""
        self._record(group, state, self._recorded(group).term, state.target, now)

    def _record(
        self, group: str, state: AuthorityGroupState, term: int, primary: str, now: float
    ) -> None:
        expected = self._recorded(group).term
        member = self._members.get(primary)
        started_at_ms = member.started_at_ms if member is not None else 0
        position = state.target_position if primary == state.target else FIRST_POSITION
        self._proposals.record(
            PrimaryChange(group, expected, term, primary, started_at_ms, position)
        )
        state.enter(AuthorityStep.RECORDING, now + PROPOSAL_RETRY_S)

    def _back_off(self, state: AuthorityGroupState, now: float) -> None:
        state.failures += 1
        longest = self._timing.shortest_backoff_s * 2 ** min(state.failures - 1, 4)
        state.enter(AuthorityStep.BACKING_OFF, now + min(longest, self._timing.longest_backoff_s))

    def _time_out(self, group: str, state: AuthorityGroupState, now: float) -> None:
        state.deadline = NEVER
        recorded = self._recorded(group)
        match state.step:
            case AuthorityStep.GRANTING | AuthorityStep.RECORDING if recorded.primary:
                state.enter(AuthorityStep.WATCHED)
            case AuthorityStep.GRANTING | AuthorityStep.RECORDING | AuthorityStep.BACKING_OFF:
                self._grant(group, state, now)
            case AuthorityStep.CALLING | AuthorityStep.PROMOTING:
                self._back_off(state, now)

    def _log_decision(self, group: str, text: str) -> None:
        self._commands.append(LogDecision(group, text))
