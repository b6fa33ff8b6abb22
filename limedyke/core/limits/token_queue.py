"""Operations of one tenant that wait for a token at one proxy, in order of urgency; sans-IO.

A tenant over its limit may send a few urgent operations with short time limits among many others.
Operations whose token arrives in time wait for it, urgent ones get the earliest tokens, and the
rest are refused at once.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_WAITING = 64
"""Number of equally or more urgent operations of a tenant that may wait at a proxy; another one
runs at once or is refused."""
TOKEN_LIFE_S = 1.0
"""Unused tokens are dropped after this time; used later they would count in a different window."""


@dataclass(slots=True, eq=False)
class TokenWaiter:
    """An operation that waits for a token; times are seconds of a steady clock.

    :param priority: 0 is the most urgent
    :param target_at: latest time until which it may wait
    :param number: number of the message that requests its token
    :ivar is_answered: whether the leader has answered that message
    :ivar due: when it may run; None while it has no token
    """

    priority: int
    target_at: float
    number: int
    is_answered: bool = False
    due: float | None = None


class TokenQueue:
    """Waiting operations, and the tokens granted or promised to them."""

    def __init__(self) -> None:
        self._waiters: list[TokenWaiter] = []
        self._tokens: list[float] = []

    def __len__(self) -> int:
        return len(self._waiters)

    @property
    def waiters(self) -> tuple[TokenWaiter, ...]:
        """The waiting operations, most urgent first."""
        return tuple(self._waiters)

    def add(self, waiter: TokenWaiter, now: float) -> None:
        """Add a waiting operation; it gets tokens once its message is answered."""
        before = sum(other.priority <= waiter.priority for other in self._waiters)
        if before >= MAX_WAITING:
            waiter.target_at = min(waiter.target_at, now)
        self._waiters.append(waiter)
        self._waiters.sort(key=lambda other: (other.priority, other.target_at))

    def answered(self, number: int, tokens: list[float], now: float) -> list[TokenWaiter]:
        """Apply the answer to a message; ``tokens`` are the times at which tokens arrive.

        :returns: operations refused or displaced by more urgent ones, most urgent first; they
            are removed from the queue
        """
        for waiter in self._waiters:
            waiter.is_answered = waiter.is_answered or waiter.number <= number
        return self.add_tokens(tokens, now)

    def add_tokens(self, tokens: list[float], now: float) -> list[TokenWaiter]:
        """Add tokens that arrive at these times; return the refused ones (see ``answered``)."""
        self._tokens = sorted(self._tokens + tokens)
        self._assign(now)
        refused = [w for w in self._waiters if w.is_answered and w.due is None]
        self._waiters = [w for w in self._waiters if not w.is_answered or w.due is not None]
        return refused

    def take(self, waiter: TokenWaiter, now: float) -> bool:
        """Remove an operation and use its token, if the token has arrived."""
        if waiter.due is None or waiter.due > now or waiter not in self._waiters:
            return False
        self._tokens.remove(waiter.due)
        self._waiters.remove(waiter)
        return True

    def remove(self, waiter: TokenWaiter, now: float) -> None:
        """Remove an operation whose client left; its token passes to the next one."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            self._assign(now)

    def take_spare(self, now: float) -> bool:
        """Take a token that has arrived and is not assigned to any operation."""
        self._drop_old(now)
        spare = self._spare()
        if not spare or spare[0] > now:
            return False
        self._tokens.remove(spare[0])
        return True

    def _assign(self, now: float) -> None:
        """Assign each token, earliest first, to the most urgent operation it serves in time.

        Operations whose message is not answered yet get the remaining tokens that have arrived.
        """
        self._drop_old(now)
        for waiter in self._waiters:
            waiter.due = None
        left = self._serve([w for w in self._waiters if w.is_answered], self._tokens, now)
        arrived = [due for due in left if due <= now]
        self._serve([w for w in self._waiters if not w.is_answered], arrived, now)

    def _serve(self, waiters: list[TokenWaiter], tokens: list[float], now: float) -> list[float]:
        """Assign tokens to operations; return the tokens that none of them can use."""
        left = []
        for due in tokens:
            served = next((w for w in waiters if due <= max(w.target_at, now)), None)
            if served is None:
                left.append(due)
                continue
            served.due = due
            waiters.remove(served)
        return left

    def _spare(self) -> list[float]:
        """Return the unassigned tokens, earliest first."""
        spare = list(self._tokens)
        for waiter in self._waiters:
            if waiter.due is not None:
                spare.remove(waiter.due)
        return spare

    def _drop_old(self, now: float) -> None:
        for due in self._spare():
            if due <= now - TOKEN_LIFE_S:
                self._tokens.remove(due)
