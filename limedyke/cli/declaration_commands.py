"""Operator commands that change or show the declared configuration and its state."""

from __future__ import annotations

import getpass
import sys
from pathlib import Path

from result import Err

from limedyke.cli.command import (
    JSON,
    TEXT,
    CommandFailedError,
    OperatorCommand,
    ask,
    whole_number,
)
from limedyke.cli.operator_client import new_request_id
from limedyke.declaration.file import load_declaration
from limedyke.messages.operator import (
    ConfirmRequest,
    DeclarationRequest,
    HistoryRequest,
    LoadRequest,
    Plan,
    PlanRequest,
    StatusRequest,
)
from limedyke.result_codes import Failure, ResultCode
from limedyke.scram_verifier import make_verifier
from limedyke.settings.base import EXIT_SETTINGS_INVALID

CURRENT_REVISION = "-1"
DEFAULT_HISTORY = "50"


def plan(
    *files: str, settings: str = "", output: str = TEXT, base_revision: str = CURRENT_REVISION
) -> OperatorCommand:
    """Show what would change if the declaration in FILES took effect.

    Nothing takes effect before ``limedyke confirm PLAN``.

    Args:
        files: YAML files that together contain the whole declaration
        settings: operator's settings file; default $LIMEDYKE_OPERATOR_SETTINGS or operator.yaml
        output: text or json
        base_revision: refuse unless this revision is in force; -1 for the current one
    """

    def action() -> Plan:
        if not files:
            failure = Failure(ResultCode.DECLARATION_INVALID, "name at least one file")
            raise CommandFailedError(failure)
        base = whole_number("base_revision", base_revision)
        declaration = load_declaration([Path(file) for file in files])
        if isinstance(declaration, Err):
            raise CommandFailedError(declaration.err_value)
        request = PlanRequest(new_request_id(), declaration.ok_value, base)
        return ask(settings, request)

    return OperatorCommand(action, output)


def confirm(
    plan_id: str, settings: str = "", output: str = TEXT, request_id: str = ""
) -> OperatorCommand:
    """Bring a plan into force.

    A confirmation whose answer was lost may be sent again with the same request id; it returns
    the original answer.

    Args:
        plan_id: the id shown by ``limedyke plan``
        settings: operator's settings file
        output: text or json
        request_id: request id chosen by the caller, for resending the same request
    """
    request = ConfirmRequest(request_id or new_request_id(), plan_id)
    return OperatorCommand(lambda: ask(settings, request), output)


def status(settings: str = "", output: str = TEXT) -> OperatorCommand:
    """Show the controllers, the proxies and their lag, and the primary of each group.

    Args:
        settings: operator's settings file
        output: text or json
    """
    return OperatorCommand(lambda: ask(settings, StatusRequest(new_request_id())), output)


def load(group: str = "", settings: str = "", output: str = TEXT) -> OperatorCommand:
    """Show each group member's connection limit, and how many connections each proxy has and wants.

    Args:
        group: the group; all groups when omitted
        settings: operator's settings file
        output: text or json
    """
    return OperatorCommand(lambda: ask(settings, LoadRequest(new_request_id(), group)), output)


def history(
    limit: str = DEFAULT_HISTORY, settings: str = "", output: str = TEXT
) -> OperatorCommand:
    """Show the confirmed plans and who confirmed them, newest last.

    Args:
        limit: maximum number of entries
        settings: operator's settings file
        output: text or json
    """

    def action() -> object:
        return ask(settings, HistoryRequest(new_request_id(), whole_number("limit", limit)))

    return OperatorCommand(action, output)


def declaration(settings: str = "", output: str = JSON) -> OperatorCommand:
    """Show the declaration in force.

    Args:
        settings: operator's settings file
        output: text or json
    """
    return OperatorCommand(lambda: ask(settings, DeclarationRequest(new_request_id())), output)


def verifier(user: str) -> None:
    """Print a SCRAM verifier for a tenant's user; the password is read from standard input.

    Args:
        user: name of the user, shown in the prompt only
    """
    if sys.stdin.isatty():
        password = getpass.getpass(f"Password of {user}: ")
    else:
        password = sys.stdin.readline().rstrip("\n")
    if not password:
        print("the password is empty", file=sys.stderr)
        raise SystemExit(EXIT_SETTINGS_INVALID)
    print(make_verifier(password))
