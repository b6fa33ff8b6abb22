"""What the leader keeps of one group whose primary an outside authority promotes; sans-IO."""

from __future__ import annotations

import enum
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from limedyke.messages.control import MemberHealth, MemberReport
from limedyke.messages.databases import AnnouncedMember
from limedyke.messages.work import LogPosition

NEVER = float("inf")


class AuthorityStep(enum.StrEnum):
    """Where a group stands."""

    WATCHED = "watched"
    SUSPECTED = "suspected"
    GRANTING = "granting"
    FENCING = "fencing"
    CALLING = "calling"
    PROMOTING = "promoting"
    RECORDING = "recording"
    BACKING_OFF = "backing-off"


class SuspicionReason(enum.StrEnum):
    """What speaks against a primary."""

    LEFT = "left"
    DRAINS = "drains"
    UNREACHABLE = "unreachable"
    DENIES = "denies"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Why a primary should be replaced.

    :param text: the same for the log
    :param hold_s: how long it has to last first
    """

    grounds: SuspicionReason
    text: str
    hold_s: float = 0.0


class MemberReports:
    """What proxies last reported of a group's members.

    :ivar emptied: members that have started again since they were seen, and hold nothing of that
    """

    def __init__(self) -> None:
        self.emptied: set[str] = set()
        self._reports: dict[tuple[str, str], MemberReport] = {}

    def keep(self, proxy: str, report: MemberReport) -> None:
        """Take a proxy's report in place of its last one on the member."""
        self._reports[(proxy, report.member)] = report

    def forget_proxy(self, proxy: str) -> None:
        """Forget what a proxy reported."""
        self._reports = {key: seen for key, seen in self._reports.items() if key[0] != proxy}

    def forget_member(self, member: str) -> None:
        """Forget what was reported of a member."""
        self._reports = {key: seen for key, seen in self._reports.items() if key[1] != member}

    def forget_former(self, members: Mapping[str, AnnouncedMember]) -> None:
        """Forget what was seen of members that have started again: they hold nothing of it.

        Else a replica that came back empty would be promoted for the log that it had.
        """
        for key, report in list(self._reports.items()):
            if is_of_former(report, members):
                self.emptied.add(key[1])
                del self._reports[key]

    def is_seen_by(self, proxy: str, member: str) -> bool:
        """Tell whether a proxy has reported on a member."""
        return (proxy, member) in self._reports

    def cannot_reach(self, proxy: str, member: str) -> bool:
        """Tell whether a proxy can't reach a member."""
        report = self._reports.get((proxy, member))
        return report is not None and report.health is MemberHealth.UNREACHABLE

    def was_denied(self, proxy: str, member: str) -> bool:
        """Tell whether a proxy reaches a recorded primary that has said that it does not lead."""
        report = self._reports.get((proxy, member))
        if report is None or report.health is MemberHealth.UNREACHABLE:
            return False
        return not report.is_primary

    def unreachable_count(self, member: str) -> int:
        """Return how many proxies can't reach a member."""
        return sum(report.health is MemberHealth.UNREACHABLE for report in self._of(member))

    def log_of(self, member: str) -> LogPosition | None:
        """Return how far a member's log has been seen; None when nobody has reported on it."""
        seen = [LogPosition(report.term, report.position) for report in self._of(member)]
        return max(seen, default=None)

    def newest_term(self) -> int:
        """Return the newest term that any member's log was seen in."""
        return max((report.term for report in self._reports.values()), default=0)

    def _of(self, member: str) -> Iterator[MemberReport]:
        return (report for (_, name), report in self._reports.items() if name == member)


def is_of_former(report: MemberReport, members: Mapping[str, AnnouncedMember]) -> bool:
    """Tell whether a report is of an incarnation before the recorded one."""
    member = members.get(report.member)
    return member is not None and report.started_at_ms < member.started_at_ms


@dataclass(slots=True)
class AuthorityGroupState:
    """The leader's care for one group.

    :param deadline: when the present step is looked at again
    :param suspicion: of the present primary, while there is one
    :param excluded: members not to be promoted, until when
    :param replaced: the primary before the grant
    :param target: the member that is to follow
    :param target_started_at_ms: of its incarnation when the authority was called
    :param promoted_at: when the authority said that it has promoted the target
    :param recorded_at: when the present primary came out of the log
    """

    step: AuthorityStep = AuthorityStep.WATCHED
    deadline: float = NEVER
    suspicion: Suspicion | None = None
    reports: MemberReports = field(default_factory=MemberReports)
    excluded: dict[str, float] = field(default_factory=dict)
    replaced: str = ""
    target: str = ""
    target_started_at_ms: int = 0
    promoted_at: float = NEVER
    failures: int = 0
    seen_at: float = 0.0
    recorded_at: float = float("-inf")

    def took_over_lately(self, now: float, calm_s: float) -> bool:
        """Tell whether the present primary replaced another one within ``calm_s``."""
        return bool(self.replaced) and now - self.recorded_at < calm_s

    def enter(self, step: AuthorityStep, deadline: float = NEVER) -> None:
        """Go on to a step."""
        self.step = step
        self.deadline = deadline
