"""Member reports of a proxy: kept for the next link, with a timeout for the leader's answer."""

from __future__ import annotations

import time

import curio

from limedyke.messages.control import MemberReport
from limedyke.proxy.control.leader_silence import LeaderSilence
from limedyke.proxy.control.report_answer_timer import ReportAnswerTimer
from limedyke.transport.link import LinkClosedError


class ControlReports:
    """The latest report of each member, and the timeout for the leader's answer.

    Times are seconds of ``time.monotonic()``.

    :param silence: is notified of unanswered reports
    """

    def __init__(self, silence: LeaderSilence) -> None:
        self._silence = silence
        self._reports: dict[tuple[str, str], MemberReport] = {}
        self._answer_timer = ReportAnswerTimer()
        self._wakeup = curio.Event()

    def keep(self, report: MemberReport) -> None:
        """Keep a report, replacing an earlier one of the same member."""
        self._reports[(report.group, report.member)] = report

    def forget_group(self, group: str) -> None:
        """Drop the reports of a group."""
        for key in [key for key in self._reports if key[0] == group]:
            del self._reports[key]

    def all(self) -> tuple[MemberReport, ...]:
        """Return the latest report of each member."""
        return tuple(self._reports.values())

    async def report_sent(self, sequence: int) -> bool:
        """Start the answer timeout, as a report was sent to the leader.

        :param sequence: the next heartbeat, whose answer is the answer to the report
        :returns: whether that heartbeat is to be sent now
        """
        is_first = self._answer_timer.report_sent(time.monotonic(), sequence)
        await self._wakeup.set()
        return is_first

    def answer_received(self, sequence: int) -> bool:
        """Stop the answer timeout if this heartbeat, which the leader answered, covers the report.

        :returns: whether the answer to a later report has to be requested
        """
        return self._answer_timer.answer_received(sequence)

    async def watch_silence(self) -> None:
        """Close the link when a report is not answered in time.

        :raises LinkClosedError: when the answer timeout has passed
        """
        self._answer_timer.reset()
        while True:
            self._wakeup.clear()
            now = time.monotonic()
            if self._answer_timer.remaining_s(now) <= 0:
                self._answer_timer.link_closed(now)
                raise LinkClosedError("a report is not answered")
            if self._answer_timer.suspect_in_s(now) <= 0:
                self._answer_timer.mark_suspected()
                await self._silence.begin()
            remaining_s = min(
                self._answer_timer.remaining_s(now), self._answer_timer.suspect_in_s(now)
            )
            if remaining_s == float("inf"):
                await self._wakeup.wait()
            else:
                await curio.ignore_after(remaining_s, self._wakeup.wait)
