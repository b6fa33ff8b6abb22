"""Interface to an external authority that promotes members."""

from __future__ import annotations

from typing import Protocol

from limedyke.core.control.events import AuthorityOutcome


class PromotionAuthority(Protocol):
    """Makes a member the primary of its group."""

    async def promote(self, group: str, member: str, fence: int) -> AuthorityOutcome:
        """Send one promotion call; ``UNKNOWN`` if it may still be executed.

        :param fence: the authority refuses the call if it has seen a higher fence for the group
        """
