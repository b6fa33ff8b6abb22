"""Runs an operator command: sends a request to the leader, prints the answer, sets the exit status.

Exit statuses: 0 done; 1 refused; 2 invalid settings, arguments or declaration; 3 outcome unknown.
"""

from __future__ import annotations

import dataclasses
import json
import os
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import curio
from result import Err

from limedyke.cli.operator_client import OperatorClient, failure_of, load_operator
from limedyke.cli.text import text_of
from limedyke.messages.operator import Refused
from limedyke.result_codes import Failure, ResultCode
from limedyke.settings.base import EXIT_SETTINGS_INVALID

EXIT_REFUSED = 1
EXIT_UNKNOWN = 3
SETTINGS_VARIABLE = "LIMEDYKE_OPERATOR_SETTINGS"
DEFAULT_SETTINGS = "operator.yaml"
TEXT = "text"
JSON = "json"
_INVALID_INPUT_CODES = (ResultCode.SETTINGS_INVALID, ResultCode.DECLARATION_INVALID)


class CommandFailedError(Exception):
    """Raised when a command fails; the failure's result code determines the exit status.

    :param refused: the controller's refusal; None when the command failed on this machine
    """

    def __init__(self, failure: Failure, refused: Refused | None = None) -> None:
        super().__init__(str(failure))
        self.failure = failure
        self.refused = refused

    @property
    def exit_status(self) -> int:
        """The exit status of the process."""
        code = self.failure.code
        if code is ResultCode.CONTROL_OUTCOME_UNKNOWN:
            return EXIT_UNKNOWN
        is_local = self.refused is None and code in _INVALID_INPUT_CODES
        return EXIT_SETTINGS_INVALID if is_local else EXIT_REFUSED


@dataclass(frozen=True, slots=True)
class OperatorCommand:
    """A parsed command that has not run yet.

    The whole command line is checked before anything is sent, so that a mistyped flag is reported
    before a plan is confirmed without it.

    :param action: sends the request to the controllers and returns the answer
    :param output: output format, ``text`` or ``json``
    """

    action: Callable[[], object]
    output: str


def run_command(result: object) -> object:
    """Run a command that fire has parsed; return any other value for fire to print.

    :raises SystemExit: when the command fails, with its exit status
    """
    if not isinstance(result, OperatorCommand):
        return result
    if result.output not in (TEXT, JSON):
        print(f"--output {result.output}: expected {TEXT} or {JSON}", file=sys.stderr)
        raise SystemExit(EXIT_SETTINGS_INVALID)
    try:
        _print_answer(result.action(), result.output)
    except CommandFailedError as error:
        _print_failure(error, result.output)
        raise SystemExit(error.exit_status) from None
    return None


def ask(settings: str, request: object) -> object:
    """Send a request to the leader and return its answer.

    :param settings: path of the operator's settings file; empty for the default
    :raises CommandFailedError: when the request is refused or not answered
    """
    path = Path(settings or os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS))
    loaded = load_operator(path)
    if isinstance(loaded, Err):
        raise CommandFailedError(loaded.err_value)
    client = OperatorClient(*loaded.ok_value)
    answer = curio.run(client.ask, request)
    if isinstance(answer, Err):
        raise CommandFailedError(answer.err_value)
    if isinstance(answer.ok_value, Refused):
        raise CommandFailedError(failure_of(answer.ok_value), answer.ok_value)
    return answer.ok_value


def whole_number(flag: str, value: object) -> int:
    """Return the value of a flag as an integer.

    :raises CommandFailedError: when the value is not an integer
    """
    try:
        return int(str(value))
    except ValueError:
        detail = f"--{flag} {value}: expected a whole number"
        raise CommandFailedError(Failure(ResultCode.SETTINGS_INVALID, detail)) from None


def _print_answer(answer: object, output: str) -> None:
    if output == JSON:
        print(json.dumps(dataclasses.asdict(answer), default=str))
    else:
        print(text_of(answer))


def _print_failure(error: CommandFailedError, output: str) -> None:
    if output == JSON:
        print(json.dumps(_failure_json(error)))
        return
    print(error.failure, file=sys.stderr)
    if error.refused is not None and error.refused.revision:
        print(f"revision in force then: {error.refused.revision}", file=sys.stderr)


def _failure_json(error: CommandFailedError) -> dict:
    failure = error.failure
    refused = error.refused
    return {
        "error": {
            "code": failure.code.label,
            "meaning": failure.code.value.meaning,
            "detail": failure.detail,
            "outcome": failure.code.outcome.value,
            "revision": refused.revision if refused else 0,
            "retry_after_ms": refused.retry_after_ms if refused else 0,
        }
    }
