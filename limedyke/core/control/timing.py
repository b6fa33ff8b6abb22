"""Timeouts and limits of the leader's decisions; times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ControlTiming:
    """Timeouts and limits of the leader's decisions.

    :param lease_s: duration of connection leases, counted by the holder from its heartbeat
    :param suspicion_s: silence after which a proxy is suspected and loses its home duty
    :param hinted_suspicion_s: the same for a proxy that the platform lists as leaving
    :param live_s: a home proxy counts as live for this long after its last message
    :param report_hold_s: how long a majority must report the primary as unreachable
    :param demoted_hold_s: the same if some see it reachable, but as a replica; longer than two
        probe intervals, as reports from before its promotion may still be in transit
    :param few_observers_hold_s: the same while less than a majority of home proxies is live
    :param cut_off_hold_s: the same while less than half of all proxies are live, in groups of
        announced members; together with the preceding silence and the promotion it is below 6 s
    :param settling_hold_s: the same for a primary of announced members that took over less than
        ``calm_s`` ago. After a partition home proxies reopen their connections. A member resets
        connections over its limit while it still counts those of partitioned machines. Home proxies
        report it as unreachable for up to 0.4 s meanwhile
    :param promotion_timeout_s: time after which an unanswered order is given to another proxy
    :param resume_hold_s: how long a new leader waits for an order of its predecessor, whose result
        shows in the proxies' reports; the order may never have been sent
    :param shortest_backoff_s: delay after the first failed promotion of a group
    :param longest_backoff_s: upper bound of the growing delay
    :param calm_s: consecutive failovers of a group less than this apart extend its hold times
    :param switchover_pause_s: longest wait for writes to finish before a planned switchover;
        together with the promotion it ends before a leaving member must get no new work
    :param promotions_at_once: maximum number of concurrent promotions over all groups
    :param promotions_per_proxy: maximum number of concurrent promotions at one proxy
    :param primary_lease_s: how long after its heartbeat a proxy may treat the recorded primary of
        a group of announced members as the only one; 0 grants no such lease
    :param authority_timeout_s: timeout of a call to the promotion authority
    :param promotion_wait_s: how long after the authority's answer a promoted member may take to
        lead, before another promotion begins
    :param promotion_effect_s: how long after the authority has accepted a call its member may begin
        to lead; ``promotion_wait_s`` is longer, as a home proxy has to reach the member as well
    :param member_silence_s: silence after which an announced member is suspected
    :param member_forgotten_s: silence after which an announced member is removed
    """

    lease_s: float = 30.0
    suspicion_s: float = 5.0
    hinted_suspicion_s: float = 2.0
    live_s: float = 2.5
    report_hold_s: float = 0.1
    demoted_hold_s: float = 1.2
    few_observers_hold_s: float = 1.0
    cut_off_hold_s: float = 2.5
    settling_hold_s: float = 0.6
    promotion_timeout_s: float = 1.5
    resume_hold_s: float = 0.8
    shortest_backoff_s: float = 0.2
    longest_backoff_s: float = 5.0
    calm_s: float = 20.0
    switchover_pause_s: float = 1.5
    promotions_at_once: int = 256
    promotions_per_proxy: int = 16
    primary_lease_s: float = 1.5
    authority_timeout_s: float = 3.0
    promotion_wait_s: float = 3.0
    promotion_effect_s: float = 1.0
    member_silence_s: float = 5.0
    member_forgotten_s: float = 30.0
