"""Keys of the units and transactions that run in a proxy, local and forwarded."""

from __future__ import annotations

from dataclasses import dataclass

LOCAL_ORIGIN = ""


@dataclass(frozen=True, slots=True)
class WorkKey:
    """Identifies a unit or a transaction.

    :param origin: the link that it came over, or ``LOCAL_ORIGIN``
    :param number: stream number of the unit, or number of the transaction
    """

    origin: str
    number: int
