"""Loads settings and secrets from YAML files; command-line flags override settings.

Errors name the file, the key and the reason; commands then exit with
``EXIT_SETTINGS_INVALID``.
"""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import yaml
from pydantic import ValidationError
from result import Err, Ok, Result

from limedyke.result_codes import Failure, ResultCode
from limedyke.settings.base import Model
from limedyke.settings.secrets import Secrets

SettingsType = TypeVar("SettingsType", bound=Model)


def describe_validation_error(source: str, error: ValidationError) -> str:
    """Return the source, key and reason of each problem, separated by semicolons."""
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
    read = _read_mapping(path)
    if isinstance(read, Err):
        return read
    values = read.ok_value
    values.update({k: v for k, v in (overrides or {}).items() if v is not None})
    try:
        return Ok(model.model_validate(values))
    except ValidationError as error:
        return Err(
            Failure(ResultCode.SETTINGS_INVALID, describe_validation_error(str(path), error))
        )


def load_secrets(path: Path) -> Result[Secrets, Failure]:
    """Read a secrets file, or fail with SETTINGS_INVALID."""
    read = _read_mapping(path)
    if isinstance(read, Err):
        return read
    return Ok(Secrets({str(name): str(value) for name, value in read.ok_value.items()}))


def _read_mapping(path: Path) -> Result[dict, Failure]:
    """Return the mapping in a YAML file; an empty file yields an empty mapping."""
    try:
        values = yaml.safe_load(path.read_text()) or {}
    except (OSError, yaml.YAMLError) as error:
        return Err(Failure(ResultCode.SETTINGS_INVALID, f"{path}: {error}"))
    if not isinstance(values, dict):
        return Err(Failure(ResultCode.SETTINGS_INVALID, f"{path}: (top): expected a mapping"))
    return Ok(values)
