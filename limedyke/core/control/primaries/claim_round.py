"""Asks home proxies whether the target of a promotion leads; performs no I/O.

A member's announcement says nothing of when it was sent: it may date from an earlier time as the
primary, or be held by the network.  A member that is asked answers after the question, and home
proxies also reach members that cannot reach the controllers.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from limedyke.core.control.events import SendToProxy
from limedyke.core.control.membership import ProxyMembership
from limedyke.core.home import HomeDirectory
from limedyke.messages.control import PrimaryQuery

QUERY_INTERVAL_S = 0.5
"""Interval at which queries are repeated, as a home proxy may have joined or a link have closed."""
QUERY_TIMEOUT_MS = 1_000
"""Longer than the interval, so that home proxies ask the member without a pause."""
ROUND_ID_BITS = 62


@dataclass(slots=True)
class ClaimRound:
    """The queries about one target; claims of other rounds may date from before its call.

    :param round_id: of the queries
    :param began_at: when the first queries were sent
    :param query_at: when the next queries are due
    """

    round_id: int
    began_at: float
    query_at: float


class ClaimQueries:
    """Sends the queries of claim rounds.

    :param membership: tells which proxies are live
    :param homes: the home proxies of each group; only they connect to members
    :param generator: source of the rounds' ids
    """

    def __init__(
        self, membership: ProxyMembership, homes: HomeDirectory, generator: Random
    ) -> None:
        self._membership = membership
        self._homes = homes
        self._generator = generator

    def new_round(self, now: float) -> ClaimRound:
        """Begin a round."""
        return ClaimRound(self._generator.getrandbits(ROUND_ID_BITS), now, now)

    def due(
        self, claim_round: ClaimRound, group: str, fence: int, member: str, now: float
    ) -> list[SendToProxy]:
        """Return the queries that are due now, one for each live home proxy."""
        if now < claim_round.query_at:
            return []
        claim_round.query_at = now + QUERY_INTERVAL_S
        query = PrimaryQuery(group, claim_round.round_id, fence, member, QUERY_TIMEOUT_MS)
        return [
            SendToProxy(proxy, query)
            for proxy in self._live_homes(group, now)
            if self._membership.session(proxy).reports_claims
        ]

    def only_earlier_versions(self, group: str, now: float) -> bool:
        """Return whether home proxies are live, and all of them run a version without queries."""
        live = self._live_homes(group, now)
        return bool(live) and not any(self._membership.session(p).reports_claims for p in live)

    def _live_homes(self, group: str, now: float) -> list[str]:
        return [p for p in self._homes.homes(group) if self._membership.is_live(p, now)]
