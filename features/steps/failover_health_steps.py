"""Steps for the health of members and the choice of a new primary."""

from __future__ import annotations

from dataclasses import dataclass, field
from unittest import mock

from behave import given, then, when

from limedyke.core import member_health
from limedyke.core.member_health import TICK_S, HealthTiming, MemberHealthJudge
from limedyke.core.promotion import Promised, Promotion
from limedyke.messages.control import MemberHealth
from limedyke.messages.work import LogPosition
from limedyke.proxy.members.monitor import MAXIMUM_PROBES

MS_PER_S = 1_000.0
STEP_S = 0.005
QUEUE_GROWTH = 1.0
SLOW_FOR_S = 20.0
SILENT_FOR_S = 10.0


@dataclass
class ProbedMember:
    """A health judge, and a simulated member that answers its probes late or never.

    :ivar latency_s: time from a probe to its answer; infinite for a silent member
    :ivar answers: times at which answers are due, with their round-trip times
    :ivar growth: seconds of latency added per second, up to ``target_s``
    """

    latency_s: float
    now: float = 0.0
    judge: MemberHealthJudge = field(
        default_factory=lambda: MemberHealthJudge(HealthTiming(0.5, 1.0, 0.6), 0.0)
    )
    answers: list[tuple[float, float]] = field(default_factory=list)
    target_s: float = 0.0
    growth: float = 0.0
    ticked_at: float = 0.0
    dead_at: list[float] = field(default_factory=list)

    def live(self, seconds: float) -> None:
        """Advance the clock, calling the judge as the monitor does."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            self._answer()
            if self.latency_s < self.target_s:
                self.latency_s = min(self.target_s, self.latency_s + self.growth * STEP_S)
            if self.judge.wants_probe(self.now) and len(self.answers) < MAXIMUM_PROBES:
                self.judge.probe_sent(self.now)
                self.answers.append((self.now + self.latency_s, self.latency_s))
            if self.now - self.ticked_at >= TICK_S:
                self.ticked_at = self.now
                self.judge.tick(self.now)
            if self.judge.health is MemberHealth.UNREACHABLE:
                self.dead_at.append(self.now)

    def _answer(self) -> None:
        for due in [due for due in self.answers if due[0] <= self.now]:
            self.answers.remove(due)
            self.judge.answered(self.now, due[1])

    def fall_silent(self) -> None:
        """Stop answering."""
        self.answers = [(float("inf"), trip) for _, trip in self.answers]
        self.latency_s = float("inf")
        self.growth = 0.0


@given("health: a member that answered at 0")
def step_member(context):
    context.judge = MemberHealthJudge(HealthTiming(0.5, 1.0, 0.6), 0.0)
    context.judge.answered(0.0)
    context.clock = 0.0


def _answered_as(judge, now, is_replica):
    judge.take_role(is_replica)
    judge.answered(now)


def _pass_time(context, until):
    """Advance the clock to ``until``, ticking as the monitor does."""
    while context.clock + TICK_S < until:
        context.clock += TICK_S
        context.judge.tick(context.clock)
    context.clock = until
    context.judge.tick(until)


@when("health: {events}")
def step_events(context, events):
    judge = context.judge
    calls = {
        "refused": judge.refused,
        "probe": judge.probe_sent,
        "answer": judge.answered,
        "overload": judge.overloaded,
        "disturbed": judge.disturbed,
        "time": judge.tick,
        "replica": lambda now: _answered_as(judge, now, is_replica=True),
        "primary": lambda now: _answered_as(judge, now, is_replica=False),
    }
    if events == "nothing":
        return
    for event in events.split("; "):
        kind, *_, moment = event.split()
        at = float(moment) / MS_PER_S
        if kind == "stopped":
            context.clock = at
            continue
        _pass_time(context, at)
        calls[kind](at)


@then("health: at {time:d} it is {health}")
def step_health(context, time, health):
    _pass_time(context, time / MS_PER_S)
    assert context.judge.health == health, context.judge.health


@then("health: the next probe is due at {due:d}")
def step_due(context, due):
    at = due / MS_PER_S
    assert not context.judge.wants_probe(at - 0.001)
    assert context.judge.wants_probe(at + 1e-9)


@given("saturation: a member whose probes take {first:d} ms")
def step_probed(context, first):
    context.member = ProbedMember(first / MS_PER_S)
    context.member.live(SLOW_FOR_S)


@given("saturation: the limit that follows the round trips is {state}")
def step_adaptive(context, state):
    if state == "off":
        patch = mock.patch.object(member_health, "SLOWEST_ROUND_TRIPS", 0.0)
        patch.start()
        context.add_cleanup(patch.stop)


@when("saturation: its answers slow down to {last:d} ms {how}")
def step_slow_down(context, last, how):
    member = context.member
    member.target_s = last / MS_PER_S
    if how == "at once":
        member.latency_s = member.target_s
    else:
        member.growth = QUEUE_GROWTH
    member.live(SLOW_FOR_S)


@then("saturation: it was {verdict} while it answered")
def step_verdict(context, verdict):
    assert bool(context.member.dead_at) is (verdict == "called dead"), context.member.dead_at[:3]


@when("saturation: it falls silent")
def step_silent(context):
    member = context.member
    member.fall_silent()
    member.dead_at.clear()
    context.silent_at = member.now
    member.live(SILENT_FOR_S)


@then("saturation: it is called unreachable after {least:d} to {most:d} ms")
def step_called(context, least, most):
    after_ms = (context.member.dead_at[0] - context.silent_at) * MS_PER_S
    assert least <= after_ms <= most, after_ms


@given("promotion: members a, b, c and {preferred} preferred")
def step_promotion(context, preferred):
    context.promotion = Promotion(("a", "b", "c"), "" if preferred == "none" else preferred)


@given("promotion: a planned move to b in a group of {size:d} with a as its primary")
def step_planned(context, size):
    context.promotion = Promotion(tuple("abcde"[:size]), "b", planned=True)


@when("promotion: the answers are {answers}")
def step_answers(context, answers):
    for answer in answers.split(", "):
        member, what = answer.split()
        if what == "refused":
            context.promotion.refused(member)
        elif what == "failed":
            assert context.promotion.choose() == member
            context.promotion.promotion_failed(member)
        else:
            term, position = map(int, what.split("/"))
            context.promotion.promised(Promised(member, LogPosition(term, position)))


@then("promotion: {chosen} is chosen")
def step_chosen(context, chosen):
    expected = "" if chosen == "nobody" else chosen
    assert context.promotion.choose() == expected, context.promotion.choose()
