"""Decides when a session that was asked to leave may be closed; sans-IO."""

from __future__ import annotations

from dataclasses import dataclass

from limedyke.core.sessions.client_exchange import Moment
from limedyke.result_codes import Failure

IDLE_BEFORE_CLOSE_S = 1.0
LEAVE_GRACE_S = 0.2
"""Seconds after the leave request in which requests are still served: a request that was in
transit at that time arrives within them."""


@dataclass(frozen=True, slots=True)
class LeaveRequest:
    """The request that a session leave.

    :param failure: error to send to the client
    :param served_until: monotonic time in seconds until which requests are still served
    """

    failure: Failure
    served_until: float

    @classmethod
    def at(cls, failure: Failure, moment: Moment) -> LeaveRequest:
        """Return a request made at this moment."""
        return cls(failure, moment.now + LEAVE_GRACE_S)

    def refuses_requests(self, moment: Moment) -> bool:
        """Tell whether a request that arrives now is rejected by ending the session."""
        return moment.now >= self.served_until

    def may_close_unprompted(self, moment: Moment, last_active: float) -> bool:
        """Tell whether the session may be closed now, without a request of its client.

        A driver that reads the closing error together with an answer treats it as a notice, and
        reports its next request as lost.  A session is therefore closed unprompted only after it
        has been idle: its last answer was read, and no request is in transit.

        :param last_active: monotonic time in seconds of the last message or answer
        """
        is_idle = moment.now - last_active >= IDLE_BEFORE_CLOSE_S
        return is_idle and self.refuses_requests(moment)
