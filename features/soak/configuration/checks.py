"""Checks what a configuration change promises, from the history of a run."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator

from features.soak.checks import Violation
from features.soak.configuration.documents import Content
from features.soak.configuration.history import ConfigurationHistory, Probe

APPLY_S = 3.0
"""Seconds after its acknowledgement by which a change is in force at every proxy in touch."""
CONTACT_S = 5.0
"""Seconds without a disturbance of a proxy and of all controllers, after which it is in touch."""
APPLY_UNDER_FAULTS_S = 20.0
"""Seconds after its acknowledgement by which a change is in force at every proxy that runs
undisturbed, whatever happens to controllers: the time that a configuration may take."""
REGRESSION_SLACK_S = 0.25
REGRESSION_SLACK_DISTURBED_S = 8 * REGRESSION_SLACK_S
MAX_REPORTED = 5

IN_FORCE = "a confirmed change is in force in time"
READ_BACK = "a read shows every change confirmed before"
KEPT_CONTENT = "one version has one content"
FORWARD_ONLY = "a proxy does not go back within one life"
NOTHING_INVALID = "nothing invalid is taken"
NOT_REFUSED = "a valid change is not refused"
ACKNOWLEDGED = "a change is acknowledged"
SURVIVES = "a confirmed change survives the losses that are borne"
SERVES_AGAIN = "service comes back"


def check(history: ConfigurationHistory, controllers: Collection[str]) -> list[Violation]:
    """Return all broken promises.

    :param controllers: machines of the controllers; a disturbance of one of them disturbs all
        proxies
    """
    checks = (
        (IN_FORCE, _late_at_proxies(history, controllers)),
        (IN_FORCE, _late_under_faults(history)),
        (READ_BACK, _old_reads(history)),
        (KEPT_CONTENT, _conflicting_contents(history)),
        (FORWARD_ONLY, _regressions(history)),
        (NOTHING_INVALID, _invalid_taken(history)),
        (NOT_REFUSED, _refused(history)),
        (ACKNOWLEDGED, (str(content) for content in history.unacknowledged)),
    )
    return [
        Violation(promise, detail)
        for promise, found in checks
        for detail in list(found)[:MAX_REPORTED]
    ]


def _late_at_proxies(history: ConfigurationHistory, controllers: Collection[str]) -> Iterator[str]:
    """Find proxies in touch that obey an older version than the one they must have by then."""
    for probe in history.probes:
        since = probe.sent_at - CONTACT_S
        machines = (probe.ip, *controllers)
        if any(history.was_disturbed(ip, since, probe.ended_at) for ip in machines):
            continue
        yield from _late(history, probe, APPLY_S)


def _late_under_faults(history: ConfigurationHistory) -> Iterator[str]:
    """Find undisturbed proxies that are late although faults of controllers give them more time."""
    for probe in history.probes:
        since = probe.sent_at - APPLY_UNDER_FAULTS_S
        if not history.was_disturbed(probe.ip, since, probe.ended_at):
            yield from _late(history, probe, APPLY_UNDER_FAULTS_S)


def _late(history: ConfigurationHistory, probe: Probe, allowed_s: float) -> Iterator[str]:
    """Yield a probe that obeys an older version than the one confirmed ``allowed_s`` before."""
    due = history.acknowledged_version(probe.sent_at - allowed_s)
    if _obeys_older(history, probe, due):
        yield f"{_describe(probe)}, version {due} was due"


def _obeys_older(history: ConfigurationHistory, probe: Probe, version: int) -> bool:
    """Tell whether a probe was handled as only a version below ``version`` allows."""
    content = history.contents[probe.marker]
    if probe.is_served:
        return content.version < version
    may_be_replaced = history.sent_version(probe.ended_at) > content.version
    return content.version == version and not may_be_replaced and _is_sole(history, content)


def _is_sole(history: ConfigurationHistory, content: Content) -> bool:
    """Tell whether no other valid content was sent under the same version."""
    return not any(
        other.version == content.version and other.marker != content.marker and other.is_valid
        for other in history.contents.values()
    )


def _old_reads(history: ConfigurationHistory) -> Iterator[str]:
    contents = {content.body: content for content in history.contents.values()}
    for read in history.reads:
        if not read.body:
            continue
        content = contents.get(read.body)
        if content is None:
            yield f"{read.ip} showed a document that nobody sent: {read.body[:80]!r}"
            continue
        due = history.acknowledged_version(read.sent_at)
        if content.version < due:
            yield f"{read.ip} showed {content} at {read.sent_at:.3f}, {due} was confirmed"


def _seen_contents(history: ConfigurationHistory) -> Iterable[tuple[Content, str]]:
    """Yield the contents that were in force somewhere, and where."""
    by_body = {content.body: content for content in history.contents.values()}
    for read in history.reads:
        if read.body in by_body:
            yield by_body[read.body], f"read from {read.ip}"
    for probe in history.probes:
        if probe.is_served:
            yield history.contents[probe.marker], f"obeyed by {probe.ip}"


def _conflicting_contents(history: ConfigurationHistory) -> Iterator[str]:
    first: dict[int, Content] = {}
    found: set[str] = set()
    for content, where in _seen_contents(history):
        known = first.setdefault(content.version, content)
        if known != content and content.marker not in found:
            found.add(content.marker)
            yield f"{content} {where}, and {known}"


def _regressions(history: ConfigurationHistory) -> Iterator[str]:
    newest: dict[int, tuple[int, float]] = {}
    for probe in sorted(history.probes, key=lambda found: found.ended_at):
        version, seen_at = newest.get(probe.process, (0, probe.ended_at))
        content = history.contents[probe.marker]
        disturbed = history.was_disturbed(probe.ip, seen_at, probe.ended_at)
        slack_s = REGRESSION_SLACK_DISTURBED_S if disturbed else REGRESSION_SLACK_S
        if probe.sent_at > seen_at + slack_s and _obeys_older(history, probe, version):
            yield f"{_describe(probe)}, it had obeyed {version}"
        if probe.is_served and content.version > version:
            newest[probe.process] = (content.version, probe.ended_at)


def _invalid_taken(history: ConfigurationHistory) -> Iterator[str]:
    for sending in history.sendings:
        if sending.is_acknowledged and not sending.content.is_valid:
            yield f"{sending.ip} acknowledged {sending.content}, {sending.content.flaw}"
    for content, where in _seen_contents(history):
        if not content.is_valid:
            yield f"{content}, {content.flaw}, {where}"


def _refused(history: ConfigurationHistory) -> Iterator[str]:
    for sending in history.sendings:
        if sending.is_refused and sending.content.is_valid:
            yield f"{sending.ip} answered {sending.status} to {sending.content}"


def _describe(probe: Probe) -> str:
    word = "serves" if probe.is_served else "does not know"
    return f"{probe.ip} {word} {probe.marker} at {probe.sent_at:.3f}"
