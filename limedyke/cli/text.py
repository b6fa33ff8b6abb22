"""Formats answers to operator requests as text for a terminal."""

from __future__ import annotations

import time
from collections.abc import Iterable, Sequence
from functools import singledispatch

from limedyke.messages.operator import (
    Confirmed,
    ControllerChanged,
    DeclarationInForce,
    History,
    LoadReport,
    MemberLoad,
    Plan,
    ProxyUse,
    Status,
    SwitchoverAnswer,
)


@singledispatch
def text_of(answer: object) -> str:
    """Format an answer as one or more lines of text."""
    return str(answer)


@text_of.register
def _(answer: Plan) -> str:
    lines = [f"plan {answer.plan_id} on revision {answer.base_revision}"]
    for change in answer.changes:
        detail = f": {change.detail}" if change.detail else ""
        lines.append(f"  {change.action} {change.item}{detail}")
        if change.effect:
            lines.append(f"      effect: {change.effect}")
    if not answer.changes:
        lines.append("  no changes")
    lines.append(
        f"nothing is in force yet; within {answer.expires_in_s} s: "
        f"limedyke confirm {answer.plan_id}"
    )
    return "\n".join(lines)


@text_of.register
def _(answer: Confirmed) -> str:
    return f"plan {answer.plan_id} is in force at revision {answer.revision}"


@text_of.register
def _(answer: Status) -> str:
    linked = [status for status in answer.proxies if status.connected]
    behind = [status for status in linked if status.lag]
    lines = [
        f"revision {answer.revision}, controllers' term {answer.controller_term}",
        f"{len(linked)} of {len(answer.proxies)} proxies linked, {len(behind)} behind",
        "",
    ]
    rows = [
        (found.name, found.address, found.role, found.matched_index, found.silent_ms)
        for found in answer.controllers
    ]
    lines += _table(("controller", "address", "role", "index", "silent_ms"), rows)
    rows = [
        (
            status.proxy.name,
            status.proxy.zone,
            status.proxy.state.value,
            "yes" if status.connected else "no",
            status.revision,
            status.lag,
            status.clients,
            status.silent_ms,
        )
        for status in answer.proxies
    ]
    heads = ("proxy", "zone", "state", "linked", "revision", "lag", "clients", "silent_ms")
    lines += ["", *_table(heads, rows)]
    rows = [
        (
            recorded.group,
            recorded.term,
            recorded.primary or "(none)",
            "switching over" if recorded.switching_over else "",
        )
        for recorded in answer.primaries
    ]
    lines += ["", *_table(("group", "term", "primary", ""), rows)]
    return "\n".join(lines)


@text_of.register
def _(answer: History) -> str:
    rows = [
        (
            entry.revision,
            time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(entry.confirmed_at)),
            entry.operator,
            entry.plan_id,
            entry.summary,
        )
        for entry in answer.entries
    ]
    return "\n".join(_table(("revision", "confirmed", "operator", "plan", "summary"), rows))


@text_of.register
def _(answer: DeclarationInForce) -> str:
    declaration = answer.declaration
    names = [f"revision {answer.revision}"]
    names += [f"tenant {tenant.name}" for tenant in declaration.tenants]
    names += [f"group {group.name}" for group in declaration.groups]
    return "\n".join(names)


@text_of.register
def _(answer: LoadReport) -> str:
    if not answer.members:
        return "no members are known"
    return "\n\n".join("\n".join(_load_lines(member)) for member in answer.members)


def _load_lines(load: MemberLoad) -> list[str]:
    role = "primary" if load.is_primary else "replica"
    under_way = sum(use.under_way for use in load.proxies)
    waiting = sum(use.waiting for use in load.proxies)
    title = (
        f"{load.group}/{load.member}: {role}, {load.state}; {load.held} of {load.limit} "
        f"connections leased, {under_way} under way, {waiting} waiting, "
        f"{load.turned_away} turned away"
    )
    rows = [
        (
            use.proxy,
            use.leased,
            use.held,
            _share(use, load),
            use.wanted if use.wanted >= 0 else "-",
            use.under_way,
            use.waiting,
        )
        for use in load.proxies
    ]
    heads = ("proxy", "leased", "held", "share", "wanted", "under_way", "waiting")
    return [title, f"divided {load.division}", *_table(heads, rows)]


def _share(use: ProxyUse, load: MemberLoad) -> str:
    """Return a proxy's percentage of the connections leased on a member."""
    return f"{100 * use.held // load.held} %" if load.held else "-"


@text_of.register
def _(answer: SwitchoverAnswer) -> str:
    return answer.state


@text_of.register
def _(answer: ControllerChanged) -> str:
    return answer.state


def _table(heads: Sequence[str], rows: Iterable[Sequence[object]]) -> list[str]:
    """Format rows as left-aligned columns, each as wide as its widest cell."""
    cells = [tuple(heads), *[tuple(str(cell) for cell in row) for row in rows]]
    widths = [max(len(cell) for cell in column) for column in zip(*cells, strict=True)]
    lines = []
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        lines.append("  ".join(padded).rstrip())
    return lines
