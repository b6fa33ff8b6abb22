"""What a proxy has reported of members: kept for the next link, and watched for an answer."""

from __future__ import annotations

import time

import curio

from limedyke.messages.control import MemberReport
from limedyke.proxy.control.report_answer_timer import ReportAnswerTimer
from limedyke.transport.link import LinkClosedError


class ControlReports:
    """The newest report of each member, and whether the leader has been heard since one was sent.

    Times are seconds of ``time.monotonic()``.
    """

    def __init__(self) -> None:
        self._reports: dict[tuple[str, str], MemberReport] = {}
        self._silence = ReportAnswerTimer()
        self._wakeup = curio.Event()

    @property
    def is_answer_due(self) -> bool:
        """Whether a report was sent and the leader has not been heard since."""
        return self._silence.is_waiting

    def keep(self, report: MemberReport) -> None:
        """Keep a report in place of an earlier one of the same member."""
        self._reports[(report.group, report.member)] = report

    def forget_group(self, group: str) -> None:
        """Drop the reports of a group."""
        for key in [key for key in self._reports if key[0] == group]:
            del self._reports[key]

    def all(self) -> tuple[MemberReport, ...]:
        """Return the newest report of each member."""
        return tuple(self._reports.values())

    async def expect_answer(self) -> None:
        """Note that a report was sent to the leader."""
        self._silence.report_sent(time.monotonic())
        await self._wakeup.set()

    def heard(self) -> None:
        """Note that the leader was heard."""
        self._silence.answer_received()

    async def watch_silence(self) -> None:
        """Give up the link when a report is not answered.

        :raises LinkClosedError: then
        """
        self._silence.answer_received()
        while True:
            self._wakeup.clear()
            remaining_s = self._silence.remaining_s(time.monotonic())
            if remaining_s <= 0:
                self._silence.link_closed(time.monotonic())
                raise LinkClosedError("a report is not answered")
            if remaining_s == float("inf"):
                await self._wakeup.wait()
            else:
                await curio.ignore_after(remaining_s, self._wakeup.wait)
