"""What operators, readers and clients of a run sent and saw; times are monotonic seconds."""

from __future__ import annotations

from dataclasses import dataclass, field

from features.soak.configuration.documents import Content

HTTP_OK = 200
RETRY_STATUSES = frozenset({408, 429})
"""Statuses below 500 after which a caller tries again."""


@dataclass(frozen=True, slots=True)
class Sending:
    """One configuration sent to one controller.

    :param status: HTTP status; None without an answer
    """

    content: Content
    ip: str
    sent_at: float
    ended_at: float
    status: int | None

    @property
    def is_acknowledged(self) -> bool:
        """Whether the controller confirmed the configuration."""
        return self.status == HTTP_OK

    @property
    def is_refused(self) -> bool:
        """Whether the answer says that sending it again is of no use."""
        status = self.status
        return status is not None and 400 <= status < 500 and status not in RETRY_STATUSES


@dataclass(frozen=True, slots=True)
class Read:
    """The configuration read from one controller; ``body`` is empty without status 200."""

    ip: str
    sent_at: float
    ended_at: float
    body: bytes


@dataclass(frozen=True, slots=True)
class Probe:
    """A session asked of one proxy for the marker of a configuration, or a read in an open one.

    :param process: number of the proxy's process among all of the run
    :param is_served: whether the proxy opened the session or served the read; False if it said that
        there is no such database
    :param in_open_session: whether it was a read
    """

    ip: str
    process: int
    marker: str
    sent_at: float
    ended_at: float
    is_served: bool
    in_open_session: bool = False


@dataclass(slots=True)
class ConfigurationHistory:
    """Everything that was sent and seen in a run.

    :ivar contents: the configurations sent, by marker
    :ivar disturbances: for each machine, when a fault disturbed its process, or it was started
    :ivar unacknowledged: valid configurations that no controller acknowledged in time
    """

    contents: dict[str, Content] = field(default_factory=dict)
    sendings: list[Sending] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    probes: list[Probe] = field(default_factory=list)
    disturbances: dict[str, list[float]] = field(default_factory=dict)
    first_sent_at: dict[str, float] = field(default_factory=dict)
    unacknowledged: list[Content] = field(default_factory=list)

    def record_begin(self, content: Content, now: float) -> None:
        """Record that a configuration is about to be sent."""
        self.contents[content.marker] = content
        self.first_sent_at.setdefault(content.marker, now)

    def acknowledged_version(self, moment: float) -> int:
        """Return the highest version acknowledged by a time; 0 if there is none."""
        return max(
            (
                sending.content.version
                for sending in self.sendings
                if sending.is_acknowledged and sending.ended_at <= moment
            ),
            default=0,
        )

    def sent_version(self, moment: float) -> int:
        """Return the highest version of a valid configuration sent by a time."""
        return max(
            (
                self.contents[marker].version
                for marker, sent_at in self.first_sent_at.items()
                if sent_at <= moment and self.contents[marker].is_valid
            ),
            default=0,
        )

    def was_disturbed(self, ip: str, since: float, until: float) -> bool:
        """Tell whether a fault disturbed a machine in a time interval."""
        return any(since <= moment <= until for moment in self.disturbances.get(ip, ()))
