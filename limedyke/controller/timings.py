"""Timing parameters of a controller, from its settings."""

from __future__ import annotations

from limedyke.core.agreement import AgreementTiming
from limedyke.core.control.timing import ControlTiming
from limedyke.settings.controller import ControllerSettings

MS_PER_S = 1000


def agreement_timing(settings: ControllerSettings) -> AgreementTiming:
    """Return the agreement's timing from the settings."""
    shortest = settings.election_timeout_ms / MS_PER_S
    return AgreementTiming(
        heartbeat_interval_s=settings.heartbeat_interval_ms / MS_PER_S,
        election_timeout_minimum_s=shortest,
        election_timeout_maximum_s=shortest * 2,
    )


def control_timing(settings: ControllerSettings) -> ControlTiming:
    """Return the timing of the leader's decisions from the settings."""
    return ControlTiming(
        lease_s=settings.connection_lease_ms / MS_PER_S,
        report_hold_s=settings.failure_report_hold_ms / MS_PER_S,
        live_s=settings.observer_silence_ms / MS_PER_S,
        few_observers_hold_s=settings.few_observers_hold_ms / MS_PER_S,
        promotion_timeout_s=settings.promotion_timeout_ms / MS_PER_S,
        primary_lease_s=settings.primary_lease_ms / MS_PER_S,
        authority_timeout_s=settings.authority_timeout_ms / MS_PER_S,
        member_silence_s=settings.member_silence_ms / MS_PER_S,
    )
