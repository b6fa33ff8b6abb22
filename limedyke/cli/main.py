"""The command ``limedyke``."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from importlib import import_module
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path

import fire
from fire.parser import DefaultParseValue
from result import Err

from limedyke.cli import declaration_commands, operation_commands
from limedyke.cli.command import run_command
from limedyke.curio_logging import suppress_late_timeout_warnings
from limedyke.event_log import start_logging
from limedyke.log_explanation import as_text as as_explanation
from limedyke.log_explanation import explain as explain_request
from limedyke.settings.base import EXIT_SETTINGS_INVALID, CommonSettings
from limedyke.settings.controller import ControllerSettings
from limedyke.settings.files import load_secrets, load_settings
from limedyke.settings.proxy import ProxySettings
from limedyke.settings.secrets import Secrets

HELP_FLAGS = ("--help", "-h")


def _run_process(
    model: type[CommonSettings],
    settings: str,
    overrides: dict[str, object],
    run: Callable[[CommonSettings, Secrets], int],
) -> None:
    """Load settings and secrets, run a process and exit with its status."""
    loaded = load_settings(model, Path(settings), overrides)
    if isinstance(loaded, Err):
        print(loaded.err_value, file=sys.stderr)
        raise SystemExit(EXIT_SETTINGS_INVALID)
    checked = loaded.ok_value
    secrets = load_secrets(checked.secrets_file)
    if isinstance(secrets, Err):
        print(secrets.err_value, file=sys.stderr)
        raise SystemExit(EXIT_SETTINGS_INVALID)
    start_logging(checked.log_level)
    suppress_late_timeout_warnings()
    raise SystemExit(run(checked, secrets.ok_value))


def _program(module: str, name: str) -> Callable[[CommonSettings, Secrets], int]:
    """Return the function that runs a kind of process; the other kind is not loaded."""
    return getattr(import_module(module), name)


def proxy(settings: str, **overrides: object) -> None:
    """Run a proxy until SIGTERM.

    Args:
        settings: YAML file with the settings
        overrides: any key of the settings as a flag, such as --log_level DEBUG
    """
    run = _program("limedyke.proxy.server", "run_proxy")
    _run_process(ProxySettings, settings, overrides, run)


def controller_process(settings: str, **overrides: object) -> None:
    """Run a controller until SIGTERM.

    Args:
        settings: YAML file with the settings
        overrides: any key of the settings as a flag, such as --log_level DEBUG
    """
    run = _program("limedyke.controller.server", "run_controller")
    _run_process(ControllerSettings, settings, overrides, run)


def explain(request: str, *files: str) -> None:
    """Print what event logs say of a request, and the decisions shortly before.

    Args:
        request: the request's id, as its client sent it
        files: logs of the processes; standard input without any
    """
    print(as_explanation(explain_request(request, _log_lines(files))))


def _log_lines(files: tuple[str, ...]) -> Iterator[tuple[str, str]]:
    """Give the lines of files with their names; bytes that are no text don't stop it."""
    if not files:
        yield from (("-", line) for line in sys.stdin)
    for name in files:
        with open(name, errors="replace") as file:
            yield from ((name, line) for line in file)


COMMANDS: dict[str, Callable[..., object]] = {
    "proxy": proxy,
    "controller": controller_process,
    "plan": declaration_commands.plan,
    "confirm": declaration_commands.confirm,
    "status": declaration_commands.status,
    "load": declaration_commands.load,
    "history": declaration_commands.history,
    "declaration": declaration_commands.declaration,
    "drain": operation_commands.drain,
    "cap": operation_commands.cap,
    "switchover": operation_commands.switchover,
    "verifier": declaration_commands.verifier,
    "explain": explain,
}
PROCESSES = ("proxy", "controller")
SWITCHES = ("--yes", "--undo")
CONTROLLER_ACTIONS = ("add", "promote", "replace", "remove")


def product_version() -> str:
    """Return the version of the installed package."""
    try:
        return version("limedyke")
    except PackageNotFoundError:
        return "unknown (not installed)"


def as_text(arguments: list[str]) -> list[str]:
    """Quote the values among an operator's arguments, so that fire takes each as text.

    It reads ``1e5`` as a number otherwise, and names and ids may look so.
    """
    return [_quoted(argument) for argument in arguments]


def _quoted(argument: str) -> str:
    if not argument.startswith("-"):
        return _quoted_value(argument)
    flag, separator, value = argument.partition("=")
    if not separator or flag in SWITCHES:
        return argument
    return f"{flag}={_quoted_value(value)}"


def _quoted_value(value: str) -> str:
    return value if DefaultParseValue(value) == value else repr(value)


def main() -> None:
    """Run the command line."""
    arguments = sys.argv[1:]
    if arguments == ["--version"]:
        print(f"limedyke {product_version()}")
    elif not arguments or arguments[0] in HELP_FLAGS:
        print(_overview())
    elif arguments[0] not in COMMANDS:
        print(f"unknown command {arguments[0]}\n\n{_overview()}", file=sys.stderr)
        raise SystemExit(EXIT_SETTINGS_INVALID)
    elif arguments[0] == "controller" and arguments[1:2] and arguments[1] in CONTROLLER_ACTIONS:
        actions = operation_commands.ControllerCommands()
        words = [arguments[1], *as_text(arguments[2:])]
        fire.Fire(actions, words, name="limedyke controller", serialize=run_command)
    elif arguments[0] in PROCESSES:
        fire.Fire(COMMANDS, arguments, name="limedyke")
    else:
        words = [arguments[0], *as_text(arguments[1:])]
        fire.Fire(COMMANDS, words, name="limedyke", serialize=run_command)


def _overview() -> str:
    lines = [
        "limedyke: database proxy with session consistency for PostgreSQL-speaking groups",
        "",
        "usage: limedyke COMMAND ...; limedyke COMMAND --help; limedyke --version",
        "",
    ]
    for name, command in COMMANDS.items():
        lines.append(f"  {name:<12} {command.__doc__.strip().splitlines()[0]}")
    actions = "|".join(CONTROLLER_ACTIONS)
    lines.append(f"  {'controller'} {actions}  Change the controllers themselves, one at a time.")
    return "\n".join(lines)
