"""Stores the first answer to each operator request, which makes repeated requests idempotent."""

from __future__ import annotations

from collections import OrderedDict

from limedyke.messages.codec import decode, encode
from limedyke.messages.control_entries import RecordedAnswer

MAXIMUM_ANSWERS = 2_048


class AnswerStore:
    """Answers by operator and request id; the oldest are evicted first."""

    def __init__(self, answers: tuple[RecordedAnswer, ...] = ()) -> None:
        self._answers = OrderedDict(
            ((answer.operator, answer.request_id), answer) for answer in answers
        )

    def find(self, operator: str, request_id: str) -> RecordedAnswer | None:
        """Return the recorded answer to a request, if any."""
        return self._answers.get((operator, request_id))

    def keep(self, operator: str, request_id: str, answer: object) -> None:
        """Record an answer."""
        self._put(RecordedAnswer(operator, request_id, "", encode(answer)))

    def keep_plan(self, operator: str, request_id: str, plan_id: str) -> None:
        """Record the plan that a request created; the answer is derived from the plan."""
        self._put(RecordedAnswer(operator, request_id, plan_id, b""))

    def recorded(self) -> tuple[RecordedAnswer, ...]:
        """Return all recorded answers, the oldest first."""
        return tuple(self._answers.values())

    def _put(self, recorded: RecordedAnswer) -> None:
        self._answers[(recorded.operator, recorded.request_id)] = recorded
        while len(self._answers) > MAXIMUM_ANSWERS:
            self._answers.popitem(last=False)


def decode_answer(recorded: RecordedAnswer) -> object:
    """Decode a recorded answer into its message."""
    return decode(recorded.answer).unwrap()
