"""Envelopes that bind a message to one cluster, sender and recipient."""

from __future__ import annotations

from result import Err, Ok, Result

from limedyke.core.agreement.founding import ANY_INCARNATION
from limedyke.messages.agreement import (
    NO_CLUSTER,
    AgreementEnvelope,
    AgreementMessage,
    ControllerIdentity,
    FoundingMessage,
)
from limedyke.messages.codec import decode, encode
from limedyke.result_codes import Failure, ResultCode


def seal(
    cluster: str,
    sender: ControllerIdentity,
    recipient: ControllerIdentity,
    message: AgreementMessage | FoundingMessage,
) -> AgreementEnvelope:
    """Encode a message and address it to one recipient."""
    return AgreementEnvelope(cluster, sender, recipient, encode(message))


def open_envelope(
    envelope: AgreementEnvelope, identity: ControllerIdentity, cluster: str
) -> Result[AgreementMessage | FoundingMessage, Failure]:
    """Return the message, or a failure if it is addressed to another incarnation or cluster.

    :param cluster: the receiver's cluster; empty while it knows none
    """
    if envelope.recipient.name != identity.name:
        return _refuse(f"for {envelope.recipient}, received by {identity}")
    if envelope.recipient.incarnation not in (ANY_INCARNATION, identity.incarnation):
        return _refuse(f"for {envelope.recipient}, received by {identity}")
    known_to_both = NO_CLUSTER not in (envelope.cluster, cluster)
    if known_to_both and envelope.cluster != cluster:
        return _refuse(f"of cluster {envelope.cluster}, received in {cluster}")
    message = decode(envelope.body)
    if message.is_err():
        return message
    opened = message.unwrap()
    if not isinstance(opened, AgreementMessage | FoundingMessage):
        return _refuse(f"of unexpected type {type(opened).__name__}")
    return Ok(opened)


def _refuse(detail: str) -> Err[Failure]:
    return Err(Failure(ResultCode.PROTOCOL_VIOLATION, f"Agreement message {detail}."))
