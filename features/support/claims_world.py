"""A group whose members lead, announce themselves and are asked about it at different times.

Virtual time, no network.  Who leads is what the test says; what members announced may be older.
"""

from __future__ import annotations

from features.support.announced_world import (
    GROUP,
    PROXIES,
    STEP_S,
    AnnouncedWorld,
)
from limedyke.core.control.events import AuthorityOutcome, PrimaryClaimed
from limedyke.messages.control import MemberHealth, PrimaryClaim, PrimaryQuery

STARTED_AT_MS = 7_000
EARLIER_TERM = 2
CALL_LIMIT_S = 10.0
POSITIONS = {"a": 30, "b": 20, "c": 10}
"""Log positions that rank the candidates: a before b before c."""


class ClaimsWorld(AnnouncedWorld):
    """Members a, b and c; a leads at first.

    :ivar claims_travel_s: how long a proxy's report of a claim travels
    :ivar round_ids: the round of the last query about each member
    """

    def __init__(self, reports_claims: bool = True) -> None:
        self.unreached: dict[str, set[str]] = {}
        self.claims_travel_s = 0.0
        self.round_ids: dict[str, int] = {}
        self._reported_primary = ""
        self._travelling: list[tuple[float, str, PrimaryClaim]] = []
        roles = {"a": "primary", "b": "replica", "c": "replica"}
        super().__init__(roles, STARTED_AT_MS, reports_claims=reports_claims)
        self.true_roles = {name: name == "a" for name in self.members}
        self.run(STEP_S)
        self.report_positions()

    def run(self, seconds: float) -> None:
        """Advance the clock; reports that have travelled for long enough arrive."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            super().run(STEP_S)
            self._announce_due()
            self._report_new_primary()
            arrived = [found for found in self._travelling if found[0] <= self.now]
            self._travelling = [found for found in self._travelling if found[0] > self.now]
            for _, proxy, claim in arrived:
                self.post(PrimaryClaimed(proxy, claim))

    def _announce_due(self) -> None:
        """Let members announce themselves once a second, however far the clock advances at once."""
        if int(self.now) == int(self.now - STEP_S):
            return
        for name in list(self.members):
            if name not in self.silent:
                self.announce(name)

    def deliver(self, proxy: str, message: object) -> None:
        """Deliver a message to a proxy."""
        if isinstance(message, PrimaryQuery):
            self.round_ids[message.member] = message.round_id
        super().deliver(proxy, message)

    def _report_new_primary(self) -> None:
        """Let proxies report their members once another primary is recorded, as they do."""
        if self.primary != self._reported_primary:
            self._reported_primary = self.primary
            self.report_positions()

    def tells_lead(self, proxy: str, member: str) -> bool:
        """Tell whether a member answers a proxy now that it leads."""
        reaches = proxy not in self.unreached.get(member, set())
        return reaches and self.true_roles.get(member, False)

    def _claim(self, proxy: str, query: PrimaryQuery) -> None:
        if not self.claims_travel_s:
            super()._claim(proxy, query)
            return
        claim = PrimaryClaim(GROUP, query.round_id, query.member, STARTED_AT_MS, self.claimed_term)
        self._travelling.append((self.now + self.claims_travel_s, proxy, claim))

    def report_positions(self) -> None:
        """Let all proxies report the members that they reach."""
        for name in self.members:
            for proxy in PROXIES:
                if proxy not in self.unreached.get(name, set()):
                    self.report(proxy, name, MemberHealth.REACHABLE, POSITIONS[name])

    def cut(self, member: str, proxies: tuple[str, ...] = PROXIES) -> None:
        """Let proxies no longer reach a member, and report that."""
        self.unreached[member] = set(proxies)
        self.report(" ".join(proxies), member, MemberHealth.UNREACHABLE, POSITIONS[member])

    def heal(self, member: str) -> None:
        """Let all proxies reach a member again, and report that."""
        self.unreached.pop(member, None)
        self.report_positions()

    def lead_truly(self, member: str, announces: bool = True) -> None:
        """Let a member take the lead; all members that can announce their roles."""
        self.true_roles = {name: name == member for name in self.members}
        if not announces:
            self.silent.add(member)
        for name in list(self.members):
            if name not in self.silent:
                self.announce(name, "primary" if name == member else "replica")
        self.answer_queries()

    def announce_late(self, member: str, *roles: str) -> None:
        """Deliver announcements that a member sent before, in the order of their numbers."""
        for role in roles:
            self.announce(member, role)

    def run_until_called(self, member: str) -> None:
        """Advance the clock until a promotion of a member is requested.

        :raises AssertionError: when none is requested in time
        """
        end = self.now + CALL_LIMIT_S
        known = len(self.calls)
        while self.now < end:
            if any(call.member == member for call in self.calls[known:]):
                return
            self.run(STEP_S)
        raise AssertionError(f"{member} is not called: {self.calls}, {self.decisions}")

    def replace_by(self, member: str) -> None:
        """Promote a member after the primary was lost, and record it."""
        self.run_until_called(member)
        self.answer(AuthorityOutcome.PROMOTED)
        self.lead_truly(member)
        assert self.primary == member, self.decisions
