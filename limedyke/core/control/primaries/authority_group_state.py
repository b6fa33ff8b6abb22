"""The leader's state for one group whose primary is promoted by an external authority."""

from __future__ import annotations

import enum
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from limedyke.core.control.primaries.claim_round import ClaimRound
from limedyke.core.control.primaries.promotion_calls import NEVER, PromotionCalls
from limedyke.messages.control import MemberHealth, MemberReport, PrimaryClaim
from limedyke.messages.databases import AnnouncedMember
from limedyke.messages.work import FIRST_POSITION, LogPosition


class AuthorityStep(enum.StrEnum):
    """The step of a group in the change of its primary.

    ``COLLECTING``: members are queried for their log positions, where commits wait for replicas.
    """

    WATCHED = "watched"
    SUSPECTED = "suspected"
    GRANTING = "granting"
    FENCING = "fencing"
    COLLECTING = "collecting"
    CALLING = "calling"
    PROMOTING = "promoting"
    RECORDING = "recording"
    BACKING_OFF = "backing-off"


CLAIM_STEPS = frozenset({AuthorityStep.CALLING, AuthorityStep.PROMOTING, AuthorityStep.BACKING_OFF})
"""The steps in which the target of a call may lead and is asked about it."""


class SuspicionReason(enum.StrEnum):
    """The reason to suspect a primary."""

    LEFT = "left"
    DRAINS = "drains"
    UNREACHABLE = "unreachable"
    DENIES = "denies"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Why a primary should be replaced.

    :param text: description for the event log
    :param hold_s: how long the suspicion must last before the primary is replaced
    """

    reason: SuspicionReason
    text: str
    hold_s: float = 0.0


class MemberReports:
    """The last report of each proxy on each member of a group.

    :ivar emptied: members that restarted after a proxy reported on them, and so lost their log
    """

    def __init__(self) -> None:
        self.emptied: set[str] = set()
        self._reports: dict[tuple[str, str], MemberReport] = {}

    def keep(self, proxy: str, report: MemberReport) -> None:
        """Store a proxy's report, replacing its previous one on the member."""
        self._reports[(proxy, report.member)] = report

    def forget_proxy(self, proxy: str) -> None:
        """Drop the reports of a proxy."""
        self._reports = {key: seen for key, seen in self._reports.items() if key[0] != proxy}

    def forget_member(self, member: str) -> None:
        """Drop the reports on a member."""
        self._reports = {key: seen for key, seen in self._reports.items() if key[1] != member}

    def forget_earlier_incarnations(self, members: Mapping[str, AnnouncedMember]) -> None:
        """Drop reports on earlier incarnations of members, which restart with an empty log.

        Otherwise a replica that came back empty could be promoted for the log that it had before.
        """
        for key, report in list(self._reports.items()):
            if is_from_earlier_incarnation(report, members):
                self.emptied.add(key[1])
                del self._reports[key]

    def has_report(self, proxy: str, member: str) -> bool:
        """Return whether a proxy has reported on a member."""
        return (proxy, member) in self._reports

    def cannot_reach(self, proxy: str, member: str) -> bool:
        """Return whether a proxy reports a member as unreachable."""
        report = self._reports.get((proxy, member))
        return report is not None and report.health is MemberHealth.UNREACHABLE

    def was_denied(self, proxy: str, member: str) -> bool:
        """Return whether a proxy reaches a member that claims not to be the primary."""
        report = self._reports.get((proxy, member))
        if report is None or report.health is MemberHealth.UNREACHABLE:
            return False
        return not report.is_primary

    def unreachable_count(self, member: str) -> int:
        """Return how many proxies report a member as unreachable."""
        return sum(report.health is MemberHealth.UNREACHABLE for report in self._of(member))

    def log_of(self, member: str) -> LogPosition | None:
        """Return the highest reported log position of a member; None without a report."""
        seen = [LogPosition(report.term, report.position) for report in self._of(member)]
        return max(seen, default=None)

    def newest_term(self) -> int:
        """Return the highest reported log term of any member."""
        return max((report.term for report in self._reports.values()), default=0)

    def _of(self, member: str) -> Iterator[MemberReport]:
        return (report for (_, name), report in self._reports.items() if name == member)


def is_from_earlier_incarnation(
    report: MemberReport, members: Mapping[str, AnnouncedMember]
) -> bool:
    """Return whether a report is on an incarnation before the recorded one."""
    member = members.get(report.member)
    return member is not None and report.started_at_ms < member.started_at_ms


@dataclass(slots=True)
class AuthorityGroupState:
    """The leader's state for one group.

    :param deadline: when the current step times out
    :param suspicion: the current suspicion of the primary, if any
    :param excluded: members that must not be promoted, and until when
    :param replaced: the primary before the term was granted
    :param target: the member to promote
    :param target_started_at_ms: start time of the target's incarnation at the call
    :param target_position: log position of the target, where commits wait for replicas
    :param calls: the calls to the authority that may still be carried out
    :param claim_round: the queries whether the target leads; None before they may begin
    :param recorded_at: when the log entry of the current primary was applied
    """

    step: AuthorityStep = AuthorityStep.WATCHED
    deadline: float = NEVER
    suspicion: Suspicion | None = None
    reports: MemberReports = field(default_factory=MemberReports)
    excluded: dict[str, float] = field(default_factory=dict)
    replaced: str = ""
    target: str = ""
    target_started_at_ms: int = 0
    target_position: LogPosition = FIRST_POSITION
    calls: PromotionCalls = field(default_factory=PromotionCalls)
    claim_round: ClaimRound | None = None
    failures: int = 0
    added_at: float = 0.0
    recorded_at: float = float("-inf")

    def awaits_claim(self, claim: PrimaryClaim) -> bool:
        """Return whether a claim answers a question about the target that is still open."""
        is_current = self.claim_round is not None and self.claim_round.round_id == claim.round_id
        is_target = (claim.member, claim.started_at_ms) == (self.target, self.target_started_at_ms)
        return self.step in CLAIM_STEPS and is_current and is_target

    def took_over_recently(self, now: float, calm_s: float) -> bool:
        """Return whether the current primary replaced another one within ``calm_s``."""
        return bool(self.replaced) and now - self.recorded_at < calm_s

    def enter(self, step: AuthorityStep, deadline: float = NEVER) -> None:
        """Enter a step."""
        self.step = step
        self.deadline = deadline
