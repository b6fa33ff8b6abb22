"""Numbered result codes for every refusal and failure that the processes report.

A code has a stable number (shown as ``LD`` and four digits), the SQLSTATE sent to
PostgreSQL clients, and an outcome that says whether the request may have run.
The table in ``docs/RESULT_CODES.md`` is generated from this module.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Outcome(enum.StrEnum):
    """Whether a request that was answered with an error has run."""

    DID_NOT_RUN = "did-not-run"
    RAN_AND_FAILED = "ran-and-failed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class CodeEntry:
    """One row of the result-code table.

    :param number: stable number, never reused
    :param sqlstate: five characters, as sent to PostgreSQL clients
    :param outcome: whether the request has run
    :param meaning: one sentence for the operator page
    """

    number: int
    sqlstate: str
    outcome: Outcome
    meaning: str


class ResultCode(enum.Enum):
    """All result codes; the value is the table row."""

    # 1xxx: the client's connection
    PROTOCOL_VIOLATION = CodeEntry(
        1001, "08P01", Outcome.DID_NOT_RUN, "A message is malformed or out of order."
    )
    MESSAGE_TOO_LARGE = CodeEntry(
        1002, "54000", Outcome.DID_NOT_RUN, "A message exceeds the configured size."
    )
    STARTUP_TIMEOUT = CodeEntry(
        1003, "08006", Outcome.DID_NOT_RUN, "The startup packet or login was not finished in time."
    )
    UNKNOWN_TENANT_OR_USER = CodeEntry(
        1004, "28000", Outcome.DID_NOT_RUN, "The tenant, group or user is not declared."
    )
    AUTHENTICATION_FAILED = CodeEntry(1005, "28P01", Outcome.DID_NOT_RUN, "The password is wrong.")
    TOO_MANY_CLIENTS = CodeEntry(
        1006, "53300", Outcome.DID_NOT_RUN, "The proxy or tenant has no room for another client."
    )
    TLS_REQUIRED = CodeEntry(
        1007, "28000", Outcome.DID_NOT_RUN, "The proxy accepts only connections over TLS."
    )
    FEATURE_NOT_SUPPORTED = CodeEntry(
        1008, "0A000", Outcome.DID_NOT_RUN, "The request uses a feature the proxy does not carry."
    )
    UNKNOWN_DATABASE = CodeEntry(
        1009, "3D000", Outcome.DID_NOT_RUN, "No database of this name is declared."
    )
    # 2xxx: sessions
    SESSION_TOKEN_INVALID = CodeEntry(
        2001, "28000", Outcome.DID_NOT_RUN, "The session token is forged or damaged."
    )
    SESSION_TOKEN_FOREIGN = CodeEntry(
        2002, "28000", Outcome.DID_NOT_RUN, "The session token belongs to another tenant or group."
    )
    SESSION_TOKEN_EXPIRED = CodeEntry(
        2003, "28000", Outcome.DID_NOT_RUN, "The session token or its signing key has expired."
    )
    TRANSACTION_LOST = CodeEntry(
        2004,
        "40001",
        Outcome.DID_NOT_RUN,
        "The transaction was rolled back; nothing was committed.",
    )
    IDLE_IN_TRANSACTION = CodeEntry(
        2005, "25P03", Outcome.DID_NOT_RUN, "The transaction was idle too long and rolled back."
    )
    UNKNOWN_STATEMENT_NAME = CodeEntry(
        2006, "26000", Outcome.DID_NOT_RUN, "The session has prepared no statement of this name."
    )
    ACCESS_KEY_UNKNOWN = CodeEntry(
        2007, "28000", Outcome.DID_NOT_RUN, "No tenant holds the access key that was shown."
    )
    # 3xxx: routing, limits and outcomes
    OUTCOME_UNKNOWN = CodeEntry(
        3001, "40003", Outcome.UNKNOWN, "The answer was lost; the request may have run."
    )
    NO_PRIMARY = CodeEntry(
        3002, "57P03", Outcome.DID_NOT_RUN, "The group has no primary at present; try again later."
    )
    NO_MEMBER = CodeEntry(
        3003, "57P03", Outcome.DID_NOT_RUN, "No member of the group can serve the request."
    )
    OVER_BUDGET = CodeEntry(
        3004, "53300", Outcome.DID_NOT_RUN, "The tenant is over its budget; try again later."
    )
    QUEUE_TIMEOUT = CodeEntry(
        3005, "53300", Outcome.DID_NOT_RUN, "No connection came free before the deadline."
    )
    DRAINING = CodeEntry(
        3006, "57P01", Outcome.DID_NOT_RUN, "The proxy is leaving service; connect to another one."
    )
    PRIMARY_REPLACED = CodeEntry(
        3007, "40003", Outcome.UNKNOWN, "The primary was replaced before the write was confirmed."
    )
    READ_FAILED = CodeEntry(
        3008, "57P01", Outcome.RAN_AND_FAILED, "A read was cut after some of its rows were sent."
    )
    ONCE_KEY_CONFLICT = CodeEntry(
        3009, "22023", Outcome.DID_NOT_RUN, "The once-key was used before for another statement."
    )
    CANCELLED = CodeEntry(
        3010, "57014", Outcome.DID_NOT_RUN, "The caller cancelled the request before it ran."
    )
    READ_UNANSWERED = CodeEntry(
        3011,
        "57P03",
        Outcome.RAN_AND_FAILED,
        "A read was sent, and no member answered it whole; it may be sent again.",
    )
    STATEMENT_TIMEOUT = CodeEntry(
        3012, "57014", Outcome.UNKNOWN, "The statement was sent and not answered in its time."
    )
    STATEMENT_FAILED = CodeEntry(
        3013, "XX000", Outcome.RAN_AND_FAILED, "The member ran the statement, and it failed."
    )
    FRESHNESS_UNPROVEN = CodeEntry(
        3014,
        "57P03",
        Outcome.DID_NOT_RUN,
        "No member can be proved to hold what the read must see; try again later.",
    )
    NO_LEASE = CodeEntry(
        3015,
        "57P03",
        Outcome.DID_NOT_RUN,
        "The proxy holds no lease of connections to the group; try again later.",
    )
    PRIMARY_UNREACHED = CodeEntry(
        3016,
        "57P03",
        Outcome.DID_NOT_RUN,
        "The home proxy can't reach the group's primary; another one may.",
    )
    OVER_OPERATION_LIMIT = CodeEntry(
        3017,
        "53400",
        Outcome.DID_NOT_RUN,
        "The tenant has used up its operations for the moment; try again later.",
    )
    HOME_CROWDED = CodeEntry(
        3018,
        "57P03",
        Outcome.DID_NOT_RUN,
        "The home proxy has no connection for the request soon; another one may.",
    )
    # 4xxx: control
    NOT_LEADER = CodeEntry(
        4001, "57P03", Outcome.DID_NOT_RUN, "This controller does not hold the leader lease."
    )
    DECLARATION_INVALID = CodeEntry(
        4002,
        "22023",
        Outcome.DID_NOT_RUN,
        "The declaration is not valid; file, key and reason follow.",
    )
    PLAN_UNKNOWN = CodeEntry(4003, "22023", Outcome.DID_NOT_RUN, "No such plan is recorded.")
    PLAN_EXPIRED = CodeEntry(
        4004, "22023", Outcome.DID_NOT_RUN, "The plan has expired; plan again."
    )
    REVISION_CONFLICT = CodeEntry(
        4005,
        "40001",
        Outcome.DID_NOT_RUN,
        "Another plan was confirmed first; its revision is given.",
    )
    OPERATOR_REFUSED = CodeEntry(
        4006, "28000", Outcome.DID_NOT_RUN, "The operator or peer did not prove its identity."
    )
    CONTROL_OUTCOME_UNKNOWN = CodeEntry(
        4007, "40003", Outcome.UNKNOWN, "The controller was cut off; send the same request again."
    )
    MEMBERSHIP_CHANGE_REFUSED = CodeEntry(
        4008, "55000", Outcome.DID_NOT_RUN, "Another membership change is under way or unsafe."
    )
    PROXY_NAME_TAKEN = CodeEntry(
        4009,
        "55006",
        Outcome.DID_NOT_RUN,
        "Another process of this proxy's name may still hold leases; it is tried again.",
    )
    PEER_UNREACHABLE = CodeEntry(
        4010, "08006", Outcome.DID_NOT_RUN, "A process does not answer, or closed the link at once."
    )
    TOO_FEW_VOTERS = CodeEntry(
        4011,
        "57P03",
        Outcome.DID_NOT_RUN,
        "Fewer controllers vote than the losses to bear need; nothing is confirmed.",
    )
    # 5xxx: the process itself
    SETTINGS_INVALID = CodeEntry(
        5001,
        "F0000",
        Outcome.DID_NOT_RUN,
        "The settings file is not valid; file, key and reason follow.",
    )
    LOG_CORRUPT = CodeEntry(
        5002, "XX001", Outcome.DID_NOT_RUN, "The durable log is damaged; file and offset are given."
    )
    DISK_FULL = CodeEntry(5003, "53100", Outcome.DID_NOT_RUN, "The data folder cannot be written.")
    ADDRESS_IN_USE = CodeEntry(
        5004, "58030", Outcome.DID_NOT_RUN, "A listen address cannot be bound."
    )
    INTERNAL_ERROR = CodeEntry(
        5005, "XX000", Outcome.UNKNOWN, "A defect in the product; report it."
    )

    @property
    def label(self) -> str:
        """The code as shown to operators, such as ``LD3004``."""
        return f"LD{self.value.number:04d}"

    @property
    def sqlstate(self) -> str:
        """The SQLSTATE sent to PostgreSQL clients."""
        return self.value.sqlstate

    @property
    def outcome(self) -> Outcome:
        """Whether the request has run."""
        return self.value.outcome


CODE_BY_NUMBER = {code.value.number: code for code in ResultCode}


def did_not_run(number: int) -> bool:
    """Return True if the code with this number guarantees that the request did not run."""
    code = CODE_BY_NUMBER.get(number)
    return code is not None and code.outcome is Outcome.DID_NOT_RUN


@dataclass(frozen=True, slots=True)
class Failure:
    """An expected failure, carried as the error value of a ``result.Result``.

    :param code: the result code
    :param detail: one sentence about this occurrence, without secrets
    :param retry_after_ms: delay before a retry in milliseconds; None when unknown
    """

    code: ResultCode
    detail: str = ""
    retry_after_ms: int | None = None

    def __str__(self) -> str:
        text = f"{self.code.label}: {self.code.value.meaning}"
        return f"{text} {self.detail}".rstrip()
