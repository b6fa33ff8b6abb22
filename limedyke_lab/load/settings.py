"""Settings of a load: sessions, their mix of operations, and their endpoints."""

from __future__ import annotations

import json
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field

from limedyke_lab.history import Kind


class LoadModel(BaseModel):
    """Base of load settings: unknown keys are rejected and instances are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Mix(LoadModel):
    """Relative weights of the operations of a session."""

    read: float = 0.0
    write: float = 0.0
    mark: float = 0.0
    transaction: float = 0.0

    def weights(self) -> dict[Kind, float]:
        """Return the weight of each kind."""
        return {kind: getattr(self, kind.value) for kind in Kind}


class SessionProfile(LoadModel):
    """A set of sessions with the same behaviour.

    :param count: number of sessions, spread over the groups and proxies
    :param groups: names of database groups; sessions are assigned to them in turn
    :param think_ms: mean pause between two operations
    :param roam_probability: probability of moving to another proxy before an operation
    :param own_read_share: share of reads that read the session's own register
    :param extended: use the extended protocol for reads and writes
    :param carry_token: present the session token after roaming
    """

    name: str
    tenant: str
    user: str
    password: str
    groups: tuple[str, ...]
    count: int = Field(ge=1)
    mix: Mix
    think_ms: float = Field(default=50.0, ge=0)
    roam_probability: float = Field(default=0.1, ge=0, le=1)
    own_read_share: float = Field(default=0.5, ge=0, le=1)
    extended: bool = False
    carry_token: bool = True


class DirectRoute(LoadModel):
    """Addresses of one group for sessions that bypass the product.

    :param primary: address for writes
    :param readers: addresses for reads; each session chooses one at random
    """

    primary: str
    readers: tuple[str, ...]


class DirectRoutes(LoadModel):
    """Routes of a baseline that bypasses the product: addresses by group, users by tenant."""

    groups: dict[str, DirectRoute]
    users: dict[str, str]
    passwords: dict[str, str]


class LoadSettings(LoadModel):
    """Load of one worker process.

    :param proxies: client address by proxy name
    :param first_number: first request number of this worker
    :param operation_timeout_s: timeout after which an operation is abandoned
    :param dbname: database name sent to the proxy; ``{tenant}`` and ``{group}`` are replaced
    :param direct: connect to members instead of proxies, for baselines
    """

    seed: int
    seconds: float
    proxies: dict[str, str]
    profiles: tuple[SessionProfile, ...]
    first_number: int = 1
    operation_timeout_s: float = 10.0
    connect_timeout_s: float = 5.0
    dbname: str = "{tenant}/{group}"
    direct: DirectRoutes | None = None

    @classmethod
    def load(cls, path: Path) -> LoadSettings:
        """Read the JSON file that ``save`` wrote."""
        return cls.model_validate(json.loads(path.read_text()))

    def save(self, path: Path) -> None:
        """Write the settings as JSON."""
        path.write_text(self.model_dump_json(indent=1))
