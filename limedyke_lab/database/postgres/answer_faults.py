"""Faults that the member's switches inject into the responses of a session."""

from __future__ import annotations

from limedyke_lab.database.errors import ConnectionCutError
from limedyke_lab.database.sql.special_functions import sleep

_MILLISECONDS = 1000.0


class AnswerFaults:
    """Delays, drops, repeats and swaps the responses of one session."""

    def __init__(self, session) -> None:
        self._session = session
        self._switches = session.member.switches
        self._held = b""
        self._cut = False

    def committed(self) -> None:
        """Note a commit; depending on the switch, the connection closes without a response."""
        if self._switches.drop_connection_after_execute > 0 and not self._session.is_admin:
            self._switches.drop_connection_after_execute -= 1
            self._cut = True

    async def send(self, answer: bytes, tail_start: int, another_follows: bool) -> None:
        """Send one response batch.

        :param tail_start: offset of the last CommandComplete within the batch, -1 without one
        :param another_follows: whether another complete batch has already been received
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
