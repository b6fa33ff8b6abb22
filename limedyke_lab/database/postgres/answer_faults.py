"""Faults injected into the answers of a session by the member's switches."""

from __future__ import annotations

from limedyke_lab.database.errors import ConnectionCutError
from limedyke_lab.database.sql.special_functions import sleep

_MILLISECONDS = 1000.0


class AnswerFaults:
    """Delays, cuts, repeats and swaps the answers of one session."""

    def __init__(self, session) -> None:
        self._session = session
        self._switches = session.member.switches
        self._held = b""
        self._cut = False

    def committed(self) -> None:
        """Note a commit; the connection is cut instead of answering when so switched."""
        if self._switches.drop_connection_after_execute > 0 and not self._session.is_admin:
            self._switches.drop_connection_after_execute -= 1
            self._cut = True

    async def send(self, answer: bytes, tail_start: int, another_follows: bool) -> None:
        """Send one answer batch.

        :param tail_start: offset of the last CommandComplete within the answer
        :param another_follows: whether a further whole batch was received already
        """
        session, switches = self._session, self._switches
        if self._cut:
            raise ConnectionCutError
        if session.is_admin:
            await session.sock.sendall(answer)
            return
        if switches.delay_answers_ms > 0:
            await sleep(session, switches.delay_answers_ms / _MILLISECONDS)
        if switches.duplicate_answer_tail > 0 and tail_start >= 0:
            switches.duplicate_answer_tail -= 1
            answer += answer[tail_start:]
        if self._held:
            answer, self._held = answer + self._held, b""
        elif switches.swap_answers > 0 and another_follows:
            switches.swap_answers -= 1
            self._held = answer
            return
        await session.sock.sendall(answer)
