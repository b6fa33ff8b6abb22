"""Which controller a proxy dials next, and how long it waits before; sans-IO.

Answers the load of a whole system that starts at once: controllers refuse while they load, and the
leader serves nobody before every proxy has come to it.  So pauses grow with the rounds of all
controllers, not with each refusal.
"""

from __future__ import annotations

from random import Random

FIRST_PAUSE_S = 0.02
LONGEST_PAUSE_S = 1.0
PAUSE_GROWTH = 1.4
"""With each round of all controllers."""
MOST_GROWTHS = 20


class ControllerSelector:
    """Follows redirects to the leader, else goes round the controllers with growing pauses.

    :param addresses: the controllers of the settings
    :param generator: source of the jitter
    :param longest_pause_s: the pause grows up to this
    """

    def __init__(
        self,
        addresses: tuple[str, ...],
        generator: Random,
        longest_pause_s: float = LONGEST_PAUSE_S,
    ) -> None:
        self._longest_pause_s = longest_pause_s
        self._addresses = addresses
        self._generator = generator
        self._position = generator.randrange(len(addresses))
        self._redirected = ""
        self._attempts = 0
        self._first_addresses = addresses

    def replace_first(self, addresses: tuple[str, ...]) -> None:
        """Take the controllers that changed settings name."""
        self._first_addresses = addresses
        self.learn(self._addresses)

    def learn(self, addresses: tuple[str, ...]) -> None:
        """Take the present controllers; those of the settings are kept as a last resort."""
        known = tuple(dict.fromkeys((*addresses, *self._first_addresses)))
        if known != self._addresses:
            self._addresses = known
            self._position %= len(known)

    def next_address(self) -> str:
        """Return the address to dial now."""
        self._attempts += 1
        if self._redirected:
            address, self._redirected = self._redirected, ""
            return address
        self._position = (self._position + 1) % len(self._addresses)
        return self._addresses[self._position]

    def redirect(self, leader: str) -> None:
        """Note which controller was named as the leader; empty when none is known."""
        self._redirected = leader
        if leader:
            self._attempts = 0

    def accepted(self, address: str) -> None:
        """Note that a controller served as the leader; when its link ends, the next one is tried.

        A controller that only believes that it leads would be dialled for ever otherwise.
        """
        self._attempts = 0
        if address in self._addresses:
            self._position = self._addresses.index(address)

    def pause_s(self) -> float:
        """Return how long to wait before the next dial, with jitter."""
        rounds = min(self._attempts // len(self._addresses), MOST_GROWTHS)
        longest = min(self._longest_pause_s, FIRST_PAUSE_S * PAUSE_GROWTH**rounds)
        return longest * self._generator.uniform(0.5, 1.0)
