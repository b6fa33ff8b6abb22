"""Operations granted within the last seconds; sans-IO.

A new leader starts a tenant's bucket from what proxies were granted recently.  This keeps each
window within the limit without starting from an almost empty bucket.
"""

from __future__ import annotations

import math

from limedyke.core.limits.token_bucket import TokenBucket

WINDOW_S = 5.0
"""Length of the windows in which a tenant's use is compared with its limit."""
SLOT_S = 0.25
"""Use is stored per slot and counts at the slot's end, up to this much too late."""
SLOTS = round(WINDOW_S / SLOT_S)


class UseWindow:
    """Operations by the slot of their grant; times are seconds of a steady clock."""

    def __init__(self) -> None:
        self._slots: dict[int, float] = {}

    def count(self, operations: float, at: float) -> None:
        """Count operations granted at ``at``."""
        slot = math.floor(at / SLOT_S)
        self._slots[slot] = self._slots.get(slot, 0) + operations
        if len(self._slots) > 2 * SLOTS:
            self._forget(at)

    def slots(self, now: float) -> tuple[int, ...]:
        """Return the operations per slot, the present slot first, without trailing zeros."""
        last = math.floor(now / SLOT_S)
        counts = [int(self._slots.get(last - age, 0)) for age in range(SLOTS + 1)]
        while counts and not counts[-1]:
            counts.pop()
        return tuple(counts)

    def add_slots(self, slots: tuple[int, ...], now: float) -> None:
        """Count slots that another window's ``slots`` returned a moment ago."""
        for age, operations in enumerate(slots[: SLOTS + 1]):
            if operations:
                self.count(operations, now - age * SLOT_S)

    def level(self, rate: float, burst: float, now: float) -> float:
        """Return the level of a bucket that was half full one window ago; negative if in debt.

        Half full suits both cases: below its limit a tenant has refilled it since, and at its limit
        the tenant had used its burst before.
        """
        self._forget(now)
        bucket = TokenBucket(rate, burst, burst / 2, now - WINDOW_S)
        for slot in sorted(self._slots):
            bucket.advance(min(now, (slot + 1) * SLOT_S))
            bucket.tokens -= self._slots[slot]
        bucket.advance(now)
        return bucket.tokens

    def level_since(self, since: float, rate: float, burst: float, now: float) -> float:
        """Return the present level of a bucket that was empty at ``since``, within the window."""
        bucket = TokenBucket(rate, burst, 0.0, since)
        for slot in sorted(self._slots):
            ended_at = (slot + 1) * SLOT_S
            if ended_at > since:
                bucket.advance(min(now, ended_at))
                bucket.tokens -= self._slots[slot]
        bucket.advance(now)
        return bucket.tokens

    def _forget(self, now: float) -> None:
        oldest = math.floor(now / SLOT_S) - SLOTS
        self._slots = {slot: count for slot, count in self._slots.items() if slot >= oldest}
