"""Relays the answers to commits in groups whose commits wait for replicas."""

from __future__ import annotations

import time

from limedyke.core.statements.acknowledgement import Office, Permission
from limedyke.event_log import EventLog
from limedyke.messages.statements import AnswerKind, MemberAnswer
from limedyke.messages.work import TransactionStatus
from limedyke.proxy.statements.attempt import Attempt

EVENTS = EventLog("statements")


async def relay_commit(attempt: Attempt, sent_under: Office, answer: MemberAnswer) -> MemberAnswer:
    """Return the answer to a statement once it may be relayed.

    The answer to a commit is held while it may not be relayed yet. If that does not change until
    the statement's deadline, or the member was replaced, its outcome is unknown.

    :param sent_under: the member's office when the statement was sent
    """
    is_commit = attempt.run.writes and answer.status is TransactionStatus.IDLE
    if answer.kind is not AnswerKind.DONE or not is_commit:
        return answer
    group = attempt.group
    while True:
        permission = group.commit_permission(sent_under)
        if permission is Permission.GRANTED:
            return answer
        if permission is Permission.DENIED or time.monotonic() >= attempt.deadline:
            return _unknown(attempt, sent_under, permission)
        await group.wait_for_primary(attempt.deadline)


def _unknown(attempt: Attempt, sent_under: Office, permission: Permission) -> MemberAnswer:
    EVENTS.info(
        "commit-not-relayed",
        request=attempt.run.statement.request_id,
        group=attempt.group.name,
        member=sent_under.member,
        term=sent_under.term,
        permission=permission,
    )
    return MemberAnswer(AnswerKind.LOST, detail=f"{sent_under.member} was replaced as the primary")
