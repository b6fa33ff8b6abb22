"""How late messages from one peer arrive; sans-IO.

A process that resumes after a pause finds messages that waited in its receive buffers. It must not
take their time limits as if they had just been sent: the sender has given up on them meanwhile, and
may have done something else since.
"""

from __future__ import annotations

WINDOW_S = 10.0
"""Period after which an older shortest journey is forgotten, as the clocks of two machines drift
apart."""


class MessageDelay:
    """Estimates the delay of messages from send times by the sender's clock.

    The clocks need not agree. The shortest apparent journey contains the difference of the clocks,
    and what exceeds it is delay. Times are seconds of monotonic clocks.
    """

    def __init__(self) -> None:
        self._window_ends_at = float("-inf")
        self._shortest_s = float("inf")
        self._shortest_before_s = float("inf")

    def delay_s(self, sent_at: float, now: float) -> float:
        """Return how much longer than at best a message that arrives now has been on its way.

        It is 0 for the first message, as there is no other to compare it with.

        :param sent_at: by the sender's clock
        """
        journey_s = now - sent_at
        if now >= self._window_ends_at:
            self._window_ends_at = now + WINDOW_S
            self._shortest_before_s = self._shortest_s
            self._shortest_s = float("inf")
        self._shortest_s = min(self._shortest_s, journey_s)
        return journey_s - min(self._shortest_s, self._shortest_before_s)
