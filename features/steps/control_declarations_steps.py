"""Steps for operators' declarations."""

from __future__ import annotations

import random
import re
from pathlib import Path

import yaml
from behave import given, step, then, when

from limedyke.declaration.file import load_declaration
from limedyke.messages.declaration import Priority, PromotionMode
from limedyke.result_codes import ResultCode
from limedyke.scram_verifier import make_verifier

ROOT = Path(__file__).resolve().parents[2]
VERIFIER = make_verifier("password")
TENANTS = f"""tenants:
  - name: radio
    client_limit: 100
    users:
      - name: editor
        verifier: {VERIFIER}
      - name: listener
        verifier: {VERIFIER}
  - name: cold
    users: [{{name: logger, verifier: "{VERIFIER}"}}]
"""
GROUPS = """groups:
  - name: core
    connection_limit: 40
    slots: 5
    admin_secret: admin
    promotion: external
    members:
      - name: a
        address: 10.0.0.1:5432
        zone: z1
        leaving: false
      - name: b
        address: 10.0.0.2:5432
        zone: z2
        leaving: true
    access:
      - tenant: radio
        database: d
        backend_user: u
        secret: s
        connection_budget: 30
        weight: 3
  - {name: bare, connection_limit: 9, slots: 1, admin_secret: a,
     members: [{name: a, address: "10.0.0.3:5432", zone: z1}]}
"""
OTHERS = """token_keys:
  - key_id: 1
    secret: k1
  - key_id: 2
    secret: k2
proxies:
  - name: p1
    draining: true
"""
CONTENTS = {
    "a list": b"- groups\n",
    "a tab": b"groups:\n\t- name: core\n",
    "an open quote": b'groups: "\n',
    "a key twice": b"proxies: []\nproxies: []\n",
    "bytes that are no text": b"groups: \xff\xfe\n",
    "a scalar section": b"groups: core\n",
    "a scalar item": b"groups:\n  - core\n",
    "nothing": b"",
}


@given("declarations: the files of an example")
def _(context):
    texts = {"tenants.yaml": TENANTS, "groups.yaml": GROUPS, "others.yaml": OTHERS}
    context.files = {}
    for name, text in texts.items():
        context.files[name] = context.folder / name
        context.files[name].write_text(text)


def _load(context):
    return load_declaration(context.files.values())


@then(
    "declarations: they are read with {tenants:d} tenants, {groups:d} groups, {keys:d} token keys "
    "and {proxies:d} proxies"
)
def _(context, tenants, groups, keys, proxies):
    read = _load(context).unwrap()
    sizes = [len(part) for part in (read.tenants, read.groups, read.token_keys, read.proxies)]
    assert sizes == [tenants, groups, keys, proxies], sizes
    names = [group.name for group in read.groups]
    assert names == sorted(names), names


@then("declarations: the order of the items and their division into files make no difference")
def _(context):
    first = _load(context).unwrap()
    items = [
        (section, item)
        for text in (TENANTS, GROUPS, OTHERS)
        for section, entries in yaml.safe_load(text).items()
        for item in entries
    ]
    for seed in range(20):
        random.Random(seed).shuffle(items)
        paths = []
        for number, (section, item) in enumerate(items):
            path = context.folder / f"part-{number}.yaml"
            path.write_text(yaml.safe_dump({section: [item]}))
            paths.append(path)
        assert load_declaration(paths).unwrap() == first, seed


@then("declarations: the defaults are those of the operators' page")
def _(context):
    read = _load(context).unwrap()
    cold, bare = read.tenants[0], read.groups[0]
    assert (cold.max_staleness_ms, cold.client_limit) == (0, 10_000), cold
    assert cold.priority is Priority.INTERACTIVE
    assert (bare.access, bare.promotion) == ((), PromotionMode.CONTROLLERS), bare
    assert not bare.members[0].leaving
    page = (ROOT / "docs" / "DECLARATIONS.md").read_text()
    for field, default in (
        ("max_staleness_ms", "0"),
        ("client_limit", "10000"),
        ("priority", "`interactive`"),
        ("members[].leaving", "false"),
        ("promotion", "`controllers`"),
        ("access[].weight", "1"),
        ("draining", "false"),
    ):
        assert f"| `{field}` | {default} |" in page, field


@then("declarations: each of them is valid")
def _(context):
    page = (ROOT / "docs" / "DECLARATIONS.md").read_text()
    parts = []
    for number, block in enumerate(re.findall(r"```yaml\n(.*?)```", page, re.DOTALL)):
        path = context.folder / f"page-{number}.yaml"
        path.write_text(block)
        parts.append(path)
    assert len(parts) == 3
    assert load_declaration(parts).is_ok(), load_declaration(parts)
    examples = sorted((ROOT / "examples").glob("*.yaml"))
    assert examples
    for example in examples:
        assert load_declaration([example]).is_ok(), load_declaration([example])


@step('declarations: in "{file}" line {line:d} becomes "{text}"')
def _(context, file, line, text):
    lines = context.files[file].read_text().splitlines()
    before = lines[line - 1]
    indent = len(before) - len(before.lstrip())
    lines[line - 1] = " " * indent + text
    context.files[file].write_text("\n".join(lines) + "\n")


@when('declarations: "{file}" holds {content}')
def _(context, file, content):
    context.files[file].write_bytes(CONTENTS[content])


def _problems(context) -> list[str]:
    failure = _load(context).unwrap_err()
    assert failure.code is ResultCode.DECLARATION_INVALID
    return [line.removeprefix(f"{context.folder}/") for line in failure.detail.splitlines()]


@then('declarations: it is refused at "{file}" line {line:d} for "{key}" because "{reason}"')
def _(context, file, line, key, reason):
    problems = _problems(context)
    found = [p for p in problems if p.startswith(f"{file}:{line}: {key}: ") and reason in p]
    assert found, problems


@then('declarations: it is refused because "{reason}"')
def _(context, reason):
    problems = _problems(context)
    assert any(reason in problem for problem in problems), problems


@then("declarations: it is refused with {count:d} problems, one per line")
def _(context, count):
    problems = _problems(context)
    assert len(problems) == count and all(re.match(r"\w+\.yaml:\d+: ", p) for p in problems)
