"""The times of a controller, from its settings."""

from __future__ import annotations

from limedyke.core.agreement import AgreementTiming
from limedyke.core.control.timing import ControlTiming
from limedyke.settings.controller import ControllerSettings

MILLISECONDS = 1000


def agreement_timing(settings: ControllerSettings) -> AgreementTiming:
    """Return the agreement's times from the settings."""
    shortest = settings.election_timeout_ms / MILLISECONDS
    return AgreementTiming(
        heartbeat_interval_s=settings.heartbeat_interval_ms / MILLISECONDS,
        election_timeout_minimum_s=shortest,
        election_timeout_maximum_s=shortest * 2,
    )


def control_timing(settings: ControllerSettings) -> ControlTiming:
    """Return the times of the leader's decisions from the settings."""
    return ControlTiming(
        lease_s=settings.connection_lease_ms / MILLISECONDS,
        report_hold_s=settings.failure_report_hold_ms / MILLISECONDS,
        live_s=settings.observer_silence_ms / MILLISECONDS,
        few_observers_hold_s=settings.few_observers_hold_ms / MILLISECONDS,
        promotion_timeout_s=settings.promotion_timeout_ms / MILLISECONDS,
        primary_lease_s=settings.primary_lease_ms / MILLISECONDS,
        authority_timeout_s=settings.authority_timeout_ms / MILLISECONDS,
        member_silence_s=settings.member_silence_ms / MILLISECONDS,
    )
