"""Finds the members that may lead groups whose commits wait for replicas; performs no I/O.

An external authority promotes any member that a call names, with the log that the member has.
In a group with ``synchronous_replicas`` the member must hold every acknowledged commit.  Once no
proxy relays an acknowledgement of the replaced primary any more, the home proxies query the other
members for their positions, and a member is promoted only when enough of them have answered.
There is no time limit after which a member is promoted without that.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from limedyke.core.control.events import LogDecision, Propose, SendToProxy
from limedyke.core.control.membership import ProxyMembership
from limedyke.core.control.primaries.position_proof import PositionProof
from limedyke.core.control.primaries.position_round import PositionRound
from limedyke.core.home import HomeDirectory
from limedyke.core.statements.acknowledgement import ACKNOWLEDGEMENT_GRACE_S
from limedyke.messages.control import Departure, GroupPrimary, PositionQuery, PositionReport
from limedyke.messages.control_entries import ProveDepartures
from limedyke.messages.databases import AnnouncedMember
from limedyke.messages.declaration import Group
from limedyke.messages.work import FIRST_POSITION, LogPosition

SETTLE_S = ACKNOWLEDGEMENT_GRACE_S + 0.05
"""Wait between the last proxy's confirmation of a grant and the queries. Proxies relay the answers
of the replaced primary a little longer, and their clocks may run a little slower."""
QUERY_INTERVAL_S = 0.5
QUERY_TIMEOUT_MS = 450
"""Shorter than the interval, so that the queries of one proxy do not pile up at a member."""
SECOND_CHOICE_WAIT_S = 1.0
"""How long to wait for the other members before the replaced primary's own word is used, or it or a
draining member is promoted. Either would be replaced again soon."""
WAIT_LOG_S = 1.0
ROUND_ID_BITS = 62
MembersOf = Callable[[str], list[AnnouncedMember]]


@dataclass(slots=True)
class _SynchronousGroup:
    """The leader's state for one such group.

    :param fence: of the current round
    :param round: the current round; None when none is needed
    :param proof: the current proof that earlier departures no longer count; None when none runs
    :param query_at: when the next queries are due
    :param began_at: when the first queries of the round are due
    :param shortage: what the log says that a promotion lacks
    :param departures: those that the current round counts
    """

    synchronous_replicas: int
    fence: int = 0
    round: PositionRound | None = None
    proof: PositionProof | None = None
    query_at: float = 0.0
    began_at: float = 0.0
    shortage: str = ""
    departures: tuple[Departure, ...] = ()


class SynchronousPromotion:
    """Runs the position queries of all groups whose commits wait for replicas.

    :param members_of: returns the recorded members of a group
    :param membership: tells which proxies are live
    :param homes: the home proxies of each group; only they connect to members
    :param generator: source of the rounds' ids
    """

    def __init__(
        self,
        members_of: MembersOf,
        membership: ProxyMembership,
        homes: HomeDirectory,
        generator: Random,
    ) -> None:
        self._members_of = members_of
        self._membership = membership
        self._homes = homes
        self._generator = generator
        self._groups: dict[str, _SynchronousGroup] = {}
        self._commands: list[Propose | SendToProxy | LogDecision] = []

    @property
    def awaiting_count(self) -> int:
        """How many groups have no primary as no member surely holds all acknowledged commits."""
        return sum(bool(group.shortage) for group in self._groups.values())

    def put_group(self, group: Group) -> None:
        """Apply a group's declaration."""
        replicas = group.synchronous_replicas
        if replicas == 0:
            self._groups.pop(group.name, None)
            return
        known = self._groups.setdefault(group.name, _SynchronousGroup(replicas))
        known.synchronous_replicas = replicas

    def remove_group(self, group: str) -> None:
        """Remove a group that is no longer declared."""
        self._groups.pop(group, None)

    def is_synchronous(self, group: str) -> bool:
        """Return whether commits of a group wait for replicas."""
        return group in self._groups

    def begin(self, recorded: GroupPrimary, now: float) -> None:
        """Begin a round of queries for a granted term that all proxies have confirmed."""
        group = self._groups[recorded.group]
        group.proof = None
        group.fence = recorded.fence
        group.shortage = ""
        group.began_at = group.query_at = now + SETTLE_S
        self._begin_round(group, recorded)

    def _begin_round(self, group: _SynchronousGroup, recorded: GroupPrimary) -> None:
        counted = {
            member.identity: member.started_at_ms
            for member in self._members_of(recorded.group)
            if member.identity != recorded.replaced
        }
        group.departures = recorded.departures
        group.round = PositionRound(
            self._new_round_id(),
            counted,
            recorded.replaced,
            recorded.started_at_ms,
            group.synchronous_replicas,
            len(recorded.departures),
            recorded.floor,
        )

    def report(self, report: PositionReport) -> None:
        """Process the position of a member."""
        group = self._groups.get(report.group)
        if group is None:
            return
        report = _without_term_of_empty_log(report)
        if group.round is not None:
            group.round.record(report)
        if group.proof is not None:
            group.proof.record(report)
            if group.proof.is_complete:
                proven = ProveDepartures(report.group, group.proof.up_to_index)
                self._commands.append(Propose(proven))
                group.proof = None

    def holders(self, group: str, now: float) -> frozenset[str]:
        """Return the members that surely hold all acknowledged commits; empty until known.

        A member that has restarted since it stated its position may have lost its log.
        """
        known = self._groups[group]
        if known.round is None:
            return frozenset()
        if known.round.has_quorum or not self.takes_second_choice(group, now):
            reports = known.round.holders()
        else:
            reports = known.round.holders_by_replaced_primary()
        starts = {found.identity: found.started_at_ms for found in self._members_of(group)}
        return frozenset(
            report.member for report in reports if starts.get(report.member) == report.started_at_ms
        )

    def takes_second_choice(self, group: str, now: float) -> bool:
        """Return whether the round has lasted so long that a worse candidate is acceptable."""
        return now - self._groups[group].began_at >= SECOND_CHOICE_WAIT_S

    def position_of(self, group: str, member: str) -> LogPosition:
        """Return the position that a member stated in the current round."""
        known = self._groups.get(group)
        if known is None or known.round is None:
            return FIRST_POSITION
        return known.round.position_of(member)

    def end_round(self, group: str) -> None:
        """End a round, as a member is being promoted or the group has a primary."""
        known = self._groups.get(group)
        if known is not None:
            known.round = None
            known.shortage = ""

    def tick(self, group: str, recorded: GroupPrimary, now: float) -> None:
        """Send the queries that are due."""
        known = self._groups.get(group)
        if known is None:
            return
        if known.round is not None:
            self._follow_returns(known, recorded)
            self._log_shortage(group, known, now)
        elif not recorded.primary:
            known.proof = None
        elif recorded.departures and known.proof is None and now >= known.query_at:
            self._begin_proof(known, recorded)
        if now >= known.query_at and (known.round is not None or known.proof is not None):
            known.query_at = now + QUERY_INTERVAL_S
            self._query(group, known, now)

    def take_commands(self) -> list[Propose | SendToProxy | LogDecision]:
        """Return the collected queries and log lines."""
        commands, self._commands = self._commands, []
        return commands

    def _new_round_id(self) -> int:
        return self._generator.getrandbits(ROUND_ID_BITS)

    def _follow_returns(self, group: _SynchronousGroup, recorded: GroupPrimary) -> None:
        """Begin another round when a departed member has come back, so that it counts again."""
        if not set(group.departures) <= set(recorded.departures):
            self._begin_round(group, recorded)

    def _begin_proof(self, group: _SynchronousGroup, recorded: GroupPrimary) -> None:
        group.fence = recorded.fence
        group.proof = PositionProof(
            self._new_round_id(),
            recorded.primary,
            group.synchronous_replicas,
            max(departure.index for departure in recorded.departures),
        )

    def _query(self, name: str, group: _SynchronousGroup, now: float) -> None:
        """Query all members through every live home proxy, as one may not reach a member.

        While only the replaced primary has a long enough log, the others are released, so that
        they receive the rest of it.
        """
        hold = group.round is not None
        if group.round is not None and not group.round.has_quorum:
            hold = not (group.round.has_replaced_primary and self.takes_second_choice(name, now))
        round_id = group.round.round_id if group.round is not None else group.proof.round_id
        members = tuple(sorted(member.identity for member in self._members_of(name)))
        query = PositionQuery(name, round_id, group.fence, members, hold, QUERY_TIMEOUT_MS)
        for proxy in self._homes.homes(name):
            session = self._membership.session(proxy)
            if self._membership.is_live(proxy, now) and session.reports_positions:
                self._commands.append(SendToProxy(proxy, query))

    def _log_shortage(self, name: str, group: _SynchronousGroup, now: float) -> None:
        """Log what a promotion lacks, when that changes."""
        shortage = group.round.shortage() if now - group.began_at >= WAIT_LOG_S else ""
        if shortage == group.shortage:
            return
        group.shortage = shortage
        text = f"no promotion without {shortage}" if shortage else "a promotion lacks nothing more"
        self._commands.append(LogDecision(name, text))


def _without_term_of_empty_log(report: PositionReport) -> PositionReport:
    """Return the report with the lowest position if its member holds no commit.

    An empty member may name the newest term with it, and would seem to hold more than a member that
    holds all commits of the term before.
    """
    if report.position.position > FIRST_POSITION.position:
        return report
    return replace(report, position=FIRST_POSITION)
