"""When a session that was asked to leave may be ended; sans-IO."""

from __future__ import annotations

from dataclasses import dataclass

from limedyke.core.sessions.client_exchange import Moment
from limedyke.result_codes import Failure

QUIET_BEFORE_END_S = 1.0
STILL_SERVED_S = 0.2
"""After it is asked to leave: what was on its way then arrives within this time."""


@dataclass(frozen=True, slots=True)
class LeaveRequest:
    """A session was asked to leave.

    :param failure: what the client is told
    :param served_until: monotonic seconds up to which requests are still served
    """

    failure: Failure
    served_until: float

    @classmethod
    def at(cls, failure: Failure, moment: Moment) -> LeaveRequest:
        """Return the request of a session that is asked at this moment."""
        return cls(failure, moment.now + STILL_SERVED_S)

    def refuses_requests(self, moment: Moment) -> bool:
        """Tell whether a request that arrives now is answered by the session's end."""
        return moment.now >= self.served_until

    def ends_unasked(self, moment: Moment, last_active: float) -> bool:
        """Tell whether the session may end now though its client has sent no request.

        A driver that reads this end together with an answer takes it for a notice, and its
        next request for lost.  So only a quiet session ends unasked: its last answer was read,
        and no request is on its way.

        :param last_active: monotonic seconds of the last message or answer
        """
        is_quiet = moment.now - last_active >= QUIET_BEFORE_END_S
        return is_quiet and self.refuses_requests(moment)
