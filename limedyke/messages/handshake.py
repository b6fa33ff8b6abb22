"""Messages that open a link: both sides prove knowledge of a key.  Kinds 10-19."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedyke.messages.registry import message

PROTOCOL_VERSION = 1


class PeerRole(enum.StrEnum):
    """What a process is towards its peer; a forwarder is a controller that passes calls on."""

    CONTROLLER = "controller"
    PROXY = "proxy"
    OPERATOR = "operator"
    FORWARDER = "forwarder"


@message(10)
@dataclass(frozen=True, slots=True)
class LinkHello:
    """Opens a link, in both directions.

    :param nonce: 16 random bytes
    :param compresses: the sender takes messages that are compressed against those before them; a
        process of an earlier version doesn't say so, and ignores the field
    :param zone: where the sender runs, empty when it doesn't say
    :param region: the same
    :param answers_probes: the sender answers ``LinkProbe`` on any link
    """

    version: int
    role: PeerRole
    name: str
    nonce: bytes
    compresses: bool = False
    zone: str = ""
    region: str = ""
    answers_probes: bool = False


@message(11)
@dataclass(frozen=True, slots=True)
class LinkProof:
    """HMAC-SHA-256 over the sender's role and name and both nonces."""

    proof: bytes


@message(12)
@dataclass(frozen=True, slots=True)
class LinkRefused:
    """The peer is not accepted; ``code`` is a result code number."""

    code: int
    detail: str
