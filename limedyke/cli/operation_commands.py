"""Operator commands that move load: drain, cap, switchover and controller membership changes."""

from __future__ import annotations

import dataclasses

from limedyke.cli.command import TEXT, CommandFailedError, OperatorCommand, ask, whole_number
from limedyke.cli.operator_client import new_request_id
from limedyke.messages.declaration import Declaration, Group, MemberCap, ProxyIntent
from limedyke.messages.operator import (
    ControllerChangeRequest,
    DeclarationInForce,
    DeclarationRequest,
    Plan,
    PlanRequest,
    StatusRequest,
    SwitchoverRequest,
)
from limedyke.result_codes import Failure, ResultCode


def drain(item: str, settings: str = "", output: str = TEXT, undo: bool = False) -> OperatorCommand:
    """Plan to take a proxy or a group member out of service; confirm the plan to do it.

    The declaration can say the same: ``draining: true`` on a proxy, ``leaving: true`` on a member.

    Args:
        item: the name of a proxy, or GROUP/MEMBER
        settings: operator's settings file
        output: text or json
        undo: plan to return it to service
    """

    def action() -> Plan:
        present = ask(settings, DeclarationRequest(new_request_id()))
        changed = _with_drain(present, item, not undo, settings)
        return ask(settings, PlanRequest(new_request_id(), changed, present.revision))

    return OperatorCommand(action, output)


def _with_drain(
    present: DeclarationInForce, item: str, leaving: bool, settings: str
) -> Declaration:
    group_name, separator, member_name = item.partition("/")
    if not separator:
        _check_proxy(present.declaration, item, settings)
        return _with_proxy_drain(present.declaration, item, leaving)
    groups = {group.name: group for group in present.declaration.groups}
    group = groups.get(group_name)
    if group is None or member_name not in [member.name for member in group.members]:
        raise _not_declared(item)
    groups[group_name] = _with_member_leaving(group, member_name, leaving)
    return dataclasses.replace(present.declaration, groups=tuple(groups.values()))


def _with_member_leaving(group: Group, name: str, leaving: bool) -> Group:
    members = tuple(
        dataclasses.replace(member, leaving=leaving) if member.name == name else member
        for member in group.members
    )
    return dataclasses.replace(group, members=members)


def _check_proxy(declared: Declaration, name: str, settings: str) -> None:
    """Raise CommandFailedError when a proxy is neither declared nor known to the controllers."""
    if name in [intent.name for intent in declared.proxies]:
        return
    status = ask(settings, StatusRequest(new_request_id()))
    if name not in [proxy.proxy.name for proxy in status.proxies]:
        raise _not_declared(f"proxy {name}")


def cap(
    member: str,
    connections: str = "",
    settings: str = "",
    output: str = TEXT,
    undo: bool = False,
) -> OperatorCommand:
    """Plan a limit on all proxies' connections to a member; confirm the plan to set it.

    Each running statement occupies a connection, so this also limits concurrent statements.

    Args:
        member: GROUP/MEMBER, a member that announces itself
        connections: the limit; each home proxy keeps one connection even if the limit is lower
        settings: operator's settings file
        output: text or json
        undo: plan to remove the limit, so that only the group's limit applies
    """
    bound = None if undo else whole_number("connections", connections)

    def action() -> Plan:
        present = ask(settings, DeclarationRequest(new_request_id()))
        changed = _with_cap(present.declaration, member, bound)
        return ask(settings, PlanRequest(new_request_id(), changed, present.revision))

    return OperatorCommand(action, output)


def _with_cap(declared: Declaration, item: str, bound: int | None) -> Declaration:
    """Return the declaration with a member's cap set, or removed when ``bound`` is None."""
    group_name, _, member = item.partition("/")
    groups = {group.name: group for group in declared.groups}
    group = groups.get(group_name)
    if group is None or not member:
        raise _not_declared(item)
    caps = {cap.member: cap for cap in group.member_caps if cap.member != member}
    if bound is not None:
        caps[member] = MemberCap(member, bound)
    ordered = tuple(caps[name] for name in sorted(caps))
    groups[group_name] = dataclasses.replace(group, member_caps=ordered)
    return dataclasses.replace(declared, groups=tuple(groups.values()))


def _not_declared(item: str) -> CommandFailedError:
    return CommandFailedError(Failure(ResultCode.DECLARATION_INVALID, f"{item} is not known"))


def _with_proxy_drain(declared: Declaration, name: str, draining: bool) -> Declaration:
    intents = {intent.name: intent for intent in declared.proxies}
    intents[name] = ProxyIntent(name, draining)
    ordered = tuple(intents[key] for key in sorted(intents))
    return dataclasses.replace(declared, proxies=ordered)


def switchover(
    group: str,
    member: str = "",
    yes: bool = False,
    settings: str = "",
    output: str = TEXT,
    request_id: str = "",
) -> OperatorCommand:
    """Move the primary of a group to another member; without --yes only show what would happen.

    Args:
        group: the group
        member: the new primary; defaults to the most advanced other member
        yes: carry out the change
        settings: operator's settings file
        output: text or json
        request_id: request id chosen by the caller, for resending the same request
    """
    request = SwitchoverRequest(request_id or new_request_id(), group, member, bool(yes))
    return OperatorCommand(lambda: ask(settings, request), output)


class ControllerCommands:
    """Change the set of controllers, one at a time."""

    def add(
        self,
        name: str,
        address: str = "",
        yes: bool = False,
        settings: str = "",
        output: str = TEXT,
    ) -> OperatorCommand:
        """Make a waiting controller a learner, which copies the log but does not vote.

        Args:
            name: the controller, listed as waiting by ``status``
            address: its listen address, if the other controllers' settings don't name it
            yes: carry out the change; without it only show what would happen
            settings: operator's settings file
            output: text or json
        """
        return _change_controllers("add", name, address, yes, settings, output)

    def promote(
        self, name: str, yes: bool = False, settings: str = "", output: str = TEXT
    ) -> OperatorCommand:
        """Make a caught-up learner a voter.

        Args:
            name: the learner
            yes: carry out the change; without it only show what would happen
            settings: operator's settings file
            output: text or json
        """
        return _change_controllers("promote", name, "", yes, settings, output)

    def replace(
        self, old: str, new: str = "", yes: bool = False, settings: str = "", output: str = TEXT
    ) -> OperatorCommand:
        """Let a caught-up learner take the place of a voter.

        Args:
            old: the voter to remove
            new: the learner; omit it when it has the old voter's name and a new disk
            yes: carry out the change; without it only show what would happen
            settings: operator's settings file
            output: text or json
        """
        return _change_controllers("replace", new or old, old, yes, settings, output)

    def remove(
        self, name: str, yes: bool = False, settings: str = "", output: str = TEXT
    ) -> OperatorCommand:
        """Remove a learner or voter.

        Args:
            name: the controller to remove
            yes: carry out the change; without it only show what would happen
            settings: operator's settings file
            output: text or json
        """
        return _change_controllers("remove", name, "", yes, settings, output)


def _change_controllers(
    action: str, name: str, address: str, yes: bool, settings: str, output: str
) -> OperatorCommand:
    request = ControllerChangeRequest(new_request_id(), action, name, address, bool(yes))
    return OperatorCommand(lambda: ask(settings, request), output)
