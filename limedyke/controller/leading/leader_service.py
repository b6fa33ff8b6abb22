"""The leader's services: proxy links, control decisions and state updates."""

from __future__ import annotations

from random import Random

import curio
from prometheus_client import CollectorRegistry

from limedyke.controller.clock import boot_seconds
from limedyke.controller.leading.leader_metrics import LeaderMetrics
from limedyke.controller.leading.proxy_sessions import ProxySessions
from limedyke.controller.leading.update_cache import UpdateCache
from limedyke.controller.mailbox import Mailbox
from limedyke.controller.metrics import ControllerMetrics
from limedyke.controller.platform_list import PlatformListReader
from limedyke.controller.promotion_authority import PromotionAuthority
from limedyke.controller.replica import Replica
from limedyke.core.control.events import (
    AnswerHeartbeat,
    AuthorityAnswered,
    DisconnectProxy,
    LeaderCommand,
    LeaderEvent,
    LogDecision,
    Propose,
    RequestPromotion,
    SendToProxy,
    TimePassed,
    UpdateApplied,
)
from limedyke.core.control.leader import LeaderDecisions
from limedyke.core.control.timing import ControlTiming
from limedyke.event_log import EventLog
from limedyke.messages.control import ControlUpdate, PromoteOrder, ProxyHello, QuorumStamp

DECISION_INTERVAL_S = 0.05
EVENT_BATCH_SIZE = 64
"""Events handled at a time; between batches the agreement and the links get a turn."""
UPDATE_INTERVAL_S = 0.02
UPDATE_PAUSE_PER_PROXY_S = 0.0002
"""Pause after an update was sent, per proxy. It bounds the share of processor time that sending
takes under many changes; a single change is still sent at once."""
EVENTS = EventLog("leader")


class LeaderService:
    """Runs the leader's decisions on the events of the proxies' links.

    :param replica: the replicated state, current because this controller leads
    :param platform_list_url: URL of the platform's list of machines, or empty
    :param source_ip: local address to connect to the platform from, or empty
    :param metrics: counts events and decisions; None for metrics that are not exported
    :param authority: promotes members that announce themselves; None if there is none
    :param last_lead_began_at: when the previous leader began to lead, as far as this controller
        knows

    :ivar started_at: when this controller began to lead
    """

    def __init__(
        self,
        replica: Replica,
        timing: ControlTiming,
        home_proxies_per_group: int,
        platform_list_url: str = "",
        source_ip: str = "",
        metrics: ControllerMetrics | None = None,
        authority: PromotionAuthority | None = None,
        last_lead_began_at: float = float("-inf"),
    ) -> None:
        self._replica = replica
        self._authority = authority
        self.started_at = boot_seconds()
        self._metrics = LeaderMetrics(metrics or ControllerMetrics(CollectorRegistry()))
        self._timing = timing
        self._events: Mailbox[LeaderEvent] = Mailbox()
        self.update_cache = UpdateCache(replica.state, replica.updates)
        self._update_pending = curio.Event()
        self._platform: PlatformListReader | None = None
        if platform_list_url:
            self._platform = PlatformListReader(platform_list_url, source_ip, self._events.put)
        self.sessions = ProxySessions(self._events.put, self.update_cache.since, self._admits)
        self.decisions = LeaderDecisions(
            replica.state,
            timing,
            home_proxies_per_group,
            Random(),
            boot_seconds(),
            replica.homes,
            last_lead_began_at,
        )

    async def run(self) -> None:
        """Run until cancelled."""
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self._run_decisions)
            await tasks.spawn(self._send_updates)
            if self._platform is not None:
                await tasks.spawn(self._platform.run)

    async def state_changed(self, update: ControlUpdate, changed_homes: frozenset[str]) -> None:
        """Pass an applied change to the decisions and to the proxies."""
        for primary in update.primaries:
            EVENTS.info(
                "primary-recorded",
                group=primary.group,
                term=primary.term,
                primary=primary.primary or "none",
                switching_over=primary.switching_over,
            )
        self._metrics.state_changed(update, boot_seconds())
        await self._events.put(UpdateApplied(update, changed_homes))
        await self._update_pending.set()

    async def _run_decisions(self) -> None:
        next_time = boot_seconds()
        while True:
            events = await self._events.take_all(next_time - boot_seconds())
            now = boot_seconds()
            if now >= next_time:
                events.append(TimePassed())
                next_time = now + DECISION_INTERVAL_S
            for start in range(0, len(events), EVENT_BATCH_SIZE):
                for event in events[start : start + EVENT_BATCH_SIZE]:
                    self._metrics.heard(event)
                    self.decisions.handle(event, now)
                for command in self.decisions.take_commands():
                    await self._execute(command)
                await curio.sleep(0)

    async def _execute(self, command: LeaderCommand) -> None:
        self._metrics.decided(command)
        match command:
            case AnswerHeartbeat():
                await self._answer_heartbeat(command)
            case SendToProxy():
                _log_order(command)
                await self.sessions.send(command.proxy, command.message)
            case Propose():
                await self._replica.propose_without_answer(command.entry)
            case DisconnectProxy():
                await self.sessions.disconnect(command.proxy, command.reason)
            case LogDecision():
                EVENTS.info("decision", group=command.group, text=command.text)
            case RequestPromotion():
                await curio.spawn(self._ask_authority, command, daemon=True)

    async def _ask_authority(self, command: RequestPromotion) -> None:
        """Call the promotion authority, only under the leader lease."""
        if self._authority is None or not self._replica.leads:
            return
        outcome = await self._authority.promote(command.group, command.member, command.fence)
        EVENTS.info(
            "authority-answered",
            group=command.group,
            member=command.member,
            fence=command.fence,
            outcome=outcome,
        )
        await self._events.put(AuthorityAnswered(command.group, command.fence, outcome))

    async def _answer_heartbeat(self, command: AnswerHeartbeat) -> None:
        """Renew a proxy's leases, only under the leader lease."""
        if not self._replica.leads:
            return
        stamp = self._replica.agreement.quorum_stamp
        answer = QuorumStamp(
            sequence=command.sequence,
            controller_term=stamp.term,
            stamp=stamp.counter,
            control_index=self._replica.state.control_index,
            lease_duration_ms=int(self._timing.lease_s * 1000),
            primary_lease_ms=int(self._timing.primary_lease_s * 1000),
        )
        await self.sessions.send(command.proxy, answer)

    async def _send_updates(self) -> None:
        """Send changes to the proxies; changes close together are sent as one update."""
        while True:
            await self._update_pending.wait()
            await curio.sleep(UPDATE_INTERVAL_S)
            self._update_pending.clear()
            await self.sessions.notify_update()
            await curio.sleep(len(self.sessions) * UPDATE_PAUSE_PER_PROXY_S)

    def _admits(self, hello: ProxyHello) -> bool:
        return self.decisions.admits(hello)


def _log_order(command: SendToProxy) -> None:
    """Log an order to promote; other messages are not logged."""
    order = command.message
    if isinstance(order, PromoteOrder):
        EVENTS.info(
            "promotion-ordered",
            group=order.group,
            term=order.term,
            proxy=command.proxy,
            preferred=order.preferred or "none",
        )
