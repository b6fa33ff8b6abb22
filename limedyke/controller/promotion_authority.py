"""What the controllers ask of an outside authority that promotes members."""

from __future__ import annotations

from typing import Protocol

from limedyke.core.control.events import AuthorityOutcome


class PromotionAuthority(Protocol):
    """Makes a member the primary of its group."""

    async def promote(self, group: str, member: str, fence: int) -> AuthorityOutcome:
        """Ask once; ``UNKNOWN`` when the call may still be carried out.

        :param fence: refused when a call on the group under a higher one was seen
        """
