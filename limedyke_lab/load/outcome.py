"""Classifies the outcome after an error by SQLSTATE and the product's result codes."""

from __future__ import annotations

import re
from dataclasses import dataclass, replace

import psycopg

from limedyke.result_codes import CODE_BY_NUMBER, Outcome
from limedyke_lab.history import ClientOutcome, Kind, NoAnswer, Operation

OUTCOME_UNKNOWN_SQLSTATE = "40003"
_LABEL = re.compile(r"\bLD(\d{4})\b")
_BY_OUTCOME = {
    Outcome.DID_NOT_RUN: ClientOutcome.DID_NOT_RUN,
    Outcome.RAN_AND_FAILED: ClientOutcome.FAILED,
    Outcome.UNKNOWN: ClientOutcome.UNKNOWN,
}
DETAIL_CHARACTERS = 200


@dataclass(frozen=True, slots=True)
class ErrorMeaning:
    """An error in the form that the history records."""

    outcome: ClientOutcome
    sqlstate: str
    code: str
    detail: str


def meaning_of(error: psycopg.Error) -> ErrorMeaning:
    """Return the outcome that a statement's error implies for the client."""
    meaning = meaning_of_answer(error.sqlstate or "", error.diag.message_primary or "")
    return replace(meaning, detail=str(error)[:DETAIL_CHARACTERS])


def failed_operation(operation: Operation, error: psycopg.Error) -> Operation:
    """Return the record of an operation that ended with an error."""
    meaning = meaning_of(error)
    outcome = meaning.outcome
    if operation.kind is Kind.READ and outcome is ClientOutcome.UNKNOWN:
        outcome = ClientOutcome.FAILED
    return replace(
        operation,
        outcome=outcome,
        sqlstate=meaning.sqlstate,
        code=meaning.code,
        detail=meaning.detail,
        no_answer=NoAnswer.NONE if meaning.sqlstate else NoAnswer.CONNECTION_LOST,
    )


def meaning_of_answer(sqlstate: str, message: str) -> ErrorMeaning:
    """Return the outcome that an ErrorResponse implies; an empty SQLSTATE means no response.

    Without a response the outcome is unknown. A result code of the product defines the outcome.
    Any other SQLSTATE except 40003 is an error of the database, which leaves no effect.
    """
    if not sqlstate:
        return ErrorMeaning(ClientOutcome.UNKNOWN, "", "", message)
    label = _LABEL.search(message)
    if label and int(label.group(1)) in CODE_BY_NUMBER:
        code = CODE_BY_NUMBER[int(label.group(1))]
        return ErrorMeaning(_BY_OUTCOME[code.outcome], sqlstate, code.label, message)
    if sqlstate == OUTCOME_UNKNOWN_SQLSTATE:
        return ErrorMeaning(ClientOutcome.UNKNOWN, sqlstate, "", message)
    return ErrorMeaning(ClientOutcome.FAILED, sqlstate, "", message)
