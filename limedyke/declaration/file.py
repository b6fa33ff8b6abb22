"""Operators' YAML: read with line numbers, checked, and turned into a ``Declaration``.

Several files make one declaration; each holds any of the keys ``tenants``,
``groups``, ``token_keys`` and ``proxies``.  Every problem is reported as
``file:line: key: reason``.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import yaml
from pydantic import ValidationError
from result import Err, Ok, Result

from limedyke.declaration.checks import check_together
from limedyke.declaration.conversion import build_declaration
from limedyke.declaration.models import GroupModel, ProxyModel, TenantModel, TokenKeyModel
from limedyke.declaration.source_locations import LocatedItem, Problem, child, join_key, line_at
from limedyke.messages.declaration import Declaration
from limedyke.result_codes import Failure, ResultCode
from limedyke.settings.base import Model

_MODEL_OF_SECTION: dict[str, type[Model]] = {
    "tenants": TenantModel,
    "groups": GroupModel,
    "token_keys": TokenKeyModel,
    "proxies": ProxyModel,
}


class _UniqueKeyLoader(yaml.SafeLoader):
    """Refuses a key that stands twice in one mapping."""

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict:
        seen = set()
        for key, _ in node.value:
            if key.value in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f"the key {key.value!r} stands twice", key.start_mark
                )
            seen.add(key.value)
        return super().construct_mapping(node, deep)


def load_declaration(paths: Iterable[Path]) -> Result[Declaration, Failure]:
    """Read and check the files of one declaration.

    :returns: the declaration, or DECLARATION_INVALID with all problems, one a line
    """
    items: dict[str, list[LocatedItem]] = {section: [] for section in _MODEL_OF_SECTION}
    problems: list[Problem] = []
    for path in paths:
        problems += _read_file(path, items)
    if not problems:
        problems = check_together(items)
    if problems:
        detail = "\n".join(str(problem) for problem in problems)
        return Err(Failure(ResultCode.DECLARATION_INVALID, detail))
    return Ok(build_declaration(items))


def _read_file(path: Path, items: dict[str, list[LocatedItem]]) -> list[Problem]:
    """Add a file's items; return what is wrong with it."""
    file = str(path)
    try:
        text = path.read_text()
        node = yaml.compose(text, Loader=_UniqueKeyLoader)
        content = yaml.load(text, Loader=_UniqueKeyLoader)
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 0
        return [Problem(file, line, "", f"{error.problem}")]
    except (OSError, UnicodeDecodeError, yaml.YAMLError, ValueError) as error:
        return [Problem(file, 0, "", str(error))]
    if content is None:
        return []
    if not isinstance(content, dict):
        return [Problem(file, 1, "", "expected a mapping with tenants, groups, …")]
    return _read_sections(file, content, node, items)


def _read_sections(
    file: str, content: dict, node: yaml.MappingNode, items: dict[str, list[LocatedItem]]
) -> list[Problem]:
    problems = []
    for section, entries in content.items():
        section_node = child(node, section)
        if section not in _MODEL_OF_SECTION:
            line = _key_line(node, str(section))
            reason = f"unknown key; expected one of {', '.join(_MODEL_OF_SECTION)}"
            problems.append(Problem(file, line, str(section), reason))
        elif entries is not None:
            problems += _read_section(file, section, entries, section_node, items[section])
    return problems


def _key_line(node: yaml.MappingNode, name: str) -> int:
    """Return the line of a mapping's key, counted from 1; 0 when it isn't there."""
    return next((key.start_mark.line + 1 for key, _ in node.value if key.value == name), 0)


def _read_section(
    file: str, section: str, entries: object, node: yaml.Node, found: list[LocatedItem]
) -> list[Problem]:
    if not isinstance(entries, list):
        return [Problem(file, node.start_mark.line + 1, section, "expected a list")]
    problems = []
    model = _MODEL_OF_SECTION[section]
    for position, entry in enumerate(entries):
        entry_node = node.value[position]
        key = f"{section}.{_label(entry, position)}"
        try:
            found.append(LocatedItem(model.model_validate(entry), file, entry_node, key))
        except ValidationError as error:
            problems += [
                Problem(
                    file,
                    line_at(entry_node, problem["loc"]),
                    join_key(key, problem["loc"]),
                    problem["msg"].removeprefix("Value error, "),
                )
                for problem in error.errors(include_input=False)
            ]
    return problems


def _label(entry: object, position: int) -> str:
    """Return how problems name an entry: by its name or key id, or by its position."""
    name = entry.get("name", entry.get("key_id")) if isinstance(entry, dict) else None
    return str(position) if name is None else str(name)
