"""Selects the controller that a proxy dials next, and the pause before; sans-IO.

When a whole system starts at once, controllers refuse connections while they load, and the leader
grants nothing before every proxy has connected.  Pauses therefore grow with each round of all
controllers and not with each refusal.
"""

from __future__ import annotations

from random import Random

FIRST_PAUSE_S = 0.02
LONGEST_PAUSE_S = 1.0
PAUSE_GROWTH_PER_ROUND = 1.4
"""Factor by which the pause grows with each round of all controllers."""
MAXIMUM_GROWTH_ROUNDS = 20


class ControllerSelector:
    """Follows redirects to the leader, else tries all controllers in turn with growing pauses.

    :param addresses: controller addresses from the settings
    :param generator: source of the first position and the jitter
    :param longest_pause_s: maximum pause in seconds
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

    def set_configured(self, addresses: tuple[str, ...]) -> None:
        """Use the controller addresses of reloaded settings."""
        self._first_addresses = addresses
        self.learn(self._addresses)

    def learn(self, addresses: tuple[str, ...]) -> None:
        """Use the current controllers of the cluster, with those of the settings as a fallback."""
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
        """Dial the controller named as the leader next; empty if no leader is known."""
        self._redirected = leader
        if leader:
            self._attempts = 0

    def accepted(self, address: str) -> None:
        """Record that a controller served as the leader; after it, the next one is dialled.

        Otherwise a controller that wrongly believes to be the leader would be dialled forever.
        """
        self._attempts = 0
        if address in self._addresses:
            self._position = self._addresses.index(address)

    def pause_s(self) -> float:
        """Return the pause before the next dial, with jitter."""
        rounds = min(self._attempts // len(self._addresses), MAXIMUM_GROWTH_ROUNDS)
        longest = min(self._longest_pause_s, FIRST_PAUSE_S * PAUSE_GROWTH_PER_ROUND**rounds)
        return longest * self._generator.uniform(0.5, 1.0)
