"""Settings of one process: a YAML file checked by pydantic, overridden by flags.

An error names the file, the key and the reason; commands then exit with
``EXIT_SETTINGS_INVALID``.
"""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import Annotated, TypeVar

import yaml
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from limedyke.result_codes import Failure, ResultCode

EXIT_SETTINGS_INVALID = 2
MAXIMUM_PORT = 65_535


def check_address(value: str) -> str:
    """Return ``value`` when it is ``ip:port`` with a numeric IP; raise ValueError otherwise."""
    host, separator, port = value.rpartition(":")
    if not separator:
        raise ValueError("expected ip:port")
    ipaddress.ip_address(host.strip("[]"))
    if not port.isdigit() or int(port) > MAXIMUM_PORT:
        raise ValueError("the port must be a number up to 65535")
    return value


Address = Annotated[str, AfterValidator(check_address)]


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of a checked ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class Model(BaseModel):
    """Base of all settings: unknown keys are errors and values don't change."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class TlsSettings(Model):
    """TLS towards callers; the files are read again on SIGHUP."""

    certificate: Path
    private_key: Path
    required: bool = False


class CommonSettings(Model):
    """Settings of every process.

    ``source_ip`` is the local address of outgoing connections; ``secrets_file``
    maps secret names to values and stays out of version control;
    ``cluster_key`` is the name of the secret shared by proxies and controllers.
    """

    name: str = Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
    zone: str
    region: str = ""
    data_folder: Path
    source_ip: str = ""
    secrets_file: Path
    cluster_key: str = "cluster"
    status_listen: Address
    log_level: str = "INFO"


class ControllerPeer(Model):
    """Another controller: its name and internal address."""

    name: str
    address: Address


class ProxySettings(CommonSettings):
    """Settings of ``limedyke proxy``. Times are in milliseconds, sizes in bytes."""

    client_listen: Address
    link_listen: Address
    link_advertise: Address
    controllers: tuple[Address, ...] = Field(min_length=1)
    tls: TlsSettings | None = None
    heartbeat_interval_ms: int = Field(default=1_000, ge=50)
    control_silence_limit_ms: int = Field(default=3_000, ge=200)
    control_retry_limit_ms: int = Field(default=1_000, ge=20)
    startup_timeout_ms: int = Field(default=10_000, ge=100)
    maximum_message_bytes: int = Field(default=16 * 1024 * 1024, ge=1_024)
    maximum_clients: int = Field(default=12_000, ge=1)
    request_deadline_ms: int = Field(default=30_000, ge=100)
    failover_wait_ms: int = Field(default=6_000, ge=0)
    replica_wait_ms: int = Field(default=20, ge=0)
    idle_in_transaction_ms: int = Field(default=60_000, ge=100)
    probe_interval_ms: int = Field(default=500, ge=50)
    replica_probe_interval_ms: int = Field(default=1_000, ge=50)
    probe_timeout_ms: int = Field(default=600, ge=50)
    drain_deadline_ms: int = Field(default=30_000, ge=0)
    home_link_idle_ms: int = Field(default=300_000, ge=100)
    maximum_home_links: int = Field(default=1_024, ge=1)


class OperatorKey(Model):
    """An operator allowed to plan and confirm; ``secret`` names a secret."""

    name: str
    secret: str


class ControllerSettings(CommonSettings):
    """Settings of ``limedyke controller``. Times are in milliseconds.

    ``voters_wanted`` has the leader keep so many voters by itself, 0 leaves that to operators;
    ``keeps_unsynced_writes`` says that the boot id of the machine tells losses of power apart.
    """

    listen: Address
    advertise: Address
    peers: tuple[ControllerPeer, ...]
    join: bool = False
    voters_wanted: int = Field(default=0, ge=0)
    voter_silence_limit_ms: int = Field(default=3_000, ge=100)
    keeps_unsynced_writes: bool = True
    operators: tuple[OperatorKey, ...] = ()
    tick_interval_ms: int = Field(default=20, ge=5)
    heartbeat_interval_ms: int = Field(default=100, ge=10)
    election_timeout_ms: int = Field(default=1_000, ge=100)
    connection_lease_ms: int = Field(default=30_000, ge=1_000)
    home_proxies_per_group: int = Field(default=3, ge=1)
    failure_report_hold_ms: int = Field(default=100, ge=0)
    promotion_timeout_ms: int = Field(default=1_500, ge=100)
    primary_lease_ms: int = Field(default=1_500, ge=0)
    authority_timeout_ms: int = Field(default=3_000, ge=100)
    member_silence_ms: int = Field(default=5_000, ge=100)
    plan_lifetime_s: int = Field(default=3_600, ge=1)
    platform_list_url: str = ""


SettingsType = TypeVar("SettingsType", bound=Model)


def describe_validation_error(source: str, error: ValidationError) -> str:
    """Return one line per problem: the source, the key and the reason."""
    lines = []
    for problem in error.errors():
        key = ".".join(str(part) for part in problem["loc"]) or "(top)"
        lines.append(f"{source}: {key}: {problem['msg']}")
    return "; ".join(lines)


def load_settings(
    model: type[SettingsType], path: Path, overrides: dict[str, object] | None = None
) -> Result[SettingsType, Failure]:
    """Read and check a settings file.

    :param model: the settings class of the process
    :param path: the YAML file
    :param overrides: values from flags; None values are ignored
    :returns: the settings, or SETTINGS_INVALID naming file, key and reason
    """
    try:
        values = yaml.safe_load(path.read_text()) or {}
    except (OSError, yaml.YAMLError) as error:
        return Err(Failure(ResultCode.SETTINGS_INVALID, f"{path}: {error}"))
    if not isinstance(values, dict):
        return Err(Failure(ResultCode.SETTINGS_INVALID, f"{path}: (top): expected a mapping"))
    values.update({k: v for k, v in (overrides or {}).items() if v is not None})
    try:
        return Ok(model.model_validate(values))
    except ValidationError as error:
        return Err(
            Failure(ResultCode.SETTINGS_INVALID, describe_validation_error(str(path), error))
        )


class Secrets:
    """Secret values by name, from a YAML mapping; never logged."""

    def __init__(self, values: dict[str, str]) -> None:
        self._values = values

    @classmethod
    def load(cls, path: Path) -> Result[Secrets, Failure]:
        """Read the secrets file, or fail with SETTINGS_INVALID."""
        try:
            values = yaml.safe_load(path.read_text()) or {}
        except (OSError, yaml.YAMLError) as error:
            return Err(Failure(ResultCode.SETTINGS_INVALID, f"{path}: {error}"))
        if not isinstance(values, dict):
            return Err(Failure(ResultCode.SETTINGS_INVALID, f"{path}: (top): expected a mapping"))
        return Ok(cls({str(name): str(value) for name, value in values.items()}))

    def get(self, name: str) -> str | None:
        """Return the secret of that name, or None."""
        return self._values.get(name)

    def __repr__(self) -> str:
        return f"Secrets({len(self._values)} values)"
