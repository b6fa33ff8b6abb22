"""Pydantic base models shared by all settings."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from limedyke.addresses import check_address

EXIT_SETTINGS_INVALID = 2

Address = Annotated[str, AfterValidator(check_address)]


class Model(BaseModel):
    """Base class of all settings: rejects unknown keys and is immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class CommonSettings(Model):
    """Settings common to all processes.

    ``source_ip`` is the local address of outgoing connections; ``secrets_file``
    maps secret names to values and must not be kept in version control;
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
