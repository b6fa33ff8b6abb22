"""Messages that open a link; both sides prove that they know a shared key.  Kinds 10-19."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedyke.messages.registry import message

PROTOCOL_VERSION = 1


class PeerRole(enum.StrEnum):
    """The role of a process on a link; a forwarder is a controller that forwards calls."""

    CONTROLLER = "controller"
    PROXY = "proxy"
    OPERATOR = "operator"
    FORWARDER = "forwarder"


@message(10)
@dataclass(frozen=True, slots=True)
class LinkHello:
    """Opens a link; sent by both sides.

    :param nonce: 16 random bytes
    :param compresses: the sender accepts messages compressed against the preceding ones;
        earlier versions do not set the field, and ignore it
    :param zone: the sender's zone; empty if not set
    :param region: the sender's region; empty if not set
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
    """Refuses the link; ``code`` is the number of a result code."""

    code: int
    detail: str
