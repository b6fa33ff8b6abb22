"""Fault scripts for the simulator, used instead of faults drawn from a seed."""

from __future__ import annotations

from limedyke_lab.simulator.faults import Fault


def _script(*faults: tuple[float, str, str, float]) -> tuple[Fault, ...]:
    """Return faults given as (time, kind, target, duration), with times in seconds."""
    return tuple(Fault(number, *fault) for number, fault in enumerate(faults))


def _times(first_s: float, interval_s: float, count: int) -> list[float]:
    return [first_s + interval_s * number for number in range(count)]


# Process names in the layout of odd seeds.
_PROXIES = tuple(f"proxy-{number}" for number in range(1, 6))
_MEMBERS = tuple(f"catchup-{group}-{number}" for group in (1, 2) for number in (1, 2, 3))
MUTED_PRIMARY = _script(
    *((time_s, "mute-primary", "catchup-1-1", 4.0) for time_s in (9.0, 14.0)),
)
ONLY_LAGGING_REPLICA = _script(
    (9.0, "isolate", "catchup-1-2", 3.0),
    (11.5, "crash", "catchup-1-1", 8.0),
    (11.5, "freeze", "catchup-1-3", 5.0),
)
LAGGING_REPLICA = _script(
    (9.0, "isolate", "catchup-1-2", 3.0),
    (11.95, "crash", "catchup-1-1", 8.0),
)
SPLIT_LEADER = _script(
    (9.0, "split-leader", "controller-1", 12.0),
    (9.0, "cut", "controller-1>proxy-1", 12.0),
    (9.0, "cut", "controller-1>proxy-4", 12.0),
    (9.0, "cut", "controller-2>proxy-2", 12.0),
    (9.0, "cut", "controller-2>proxy-5", 12.0),
    (9.0, "cut", "controller-3>proxy-3", 12.0),
)
NEW_PRIMARY_LOST = _script(
    (9.0, "crash-promoted", "catchup-1-1", 0.1),
    (9.1, "crash", "catchup-1-1", 6.0),
)
CUT_OFF_PROXIES = _script(
    *((9.0 + 2.5 * number, "isolate", proxy, 6.0) for number, proxy in enumerate(_PROXIES)),
)
DRAINED_PROXIES = _script(
    *((8.9, "slow", member, 13.0) for member in _MEMBERS),
    *((9.0 + 2.5 * number, "drain-proxy", proxy, 0.0) for number, proxy in enumerate(_PROXIES)),
)
RACES = _script(
    *((time_s, "racing-operators", "controller-1", 0.0) for time_s in _times(9.0, 1.0, 10)),
)
POWER_CUTS = _script(
    *((time_s, "racing-operators", "controller-1", 0.0) for time_s in _times(9.0, 2.0, 5)),
    *((time_s, "control-power-loss", "controller-1", 0.2) for time_s in _times(9.9, 2.0, 5)),
)
LOST_ANSWERS = _script(
    *((time_s, "drop-answer", "catchup-1-1", 0.0) for time_s in _times(9.0, 0.5, 20)),
    *((time_s, "drop-answer", "catchup-2-1", 0.0) for time_s in _times(9.2, 0.5, 20)),
)
STRAY_ANSWERS = _script(
    *(
        (time_s, "repeat-answer", member, 0.0)
        for time_s in _times(9.0, 0.5, 20)
        for member in _MEMBERS
    ),
)
