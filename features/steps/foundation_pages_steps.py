"""Steps for the project's pages: links, the first declaration and the list of modules."""

from __future__ import annotations

import re
from pathlib import Path

from behave import then

from limedyke.declaration.file import load_declaration

ROOT = Path(__file__).resolve().parents[2]
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
TABLE_HEAD = re.compile(r"\| `(limedyke/[a-z/]*)` \| job")
FILE = re.compile(r"`([a-z_]+\.py)`")
YAML_BLOCK = re.compile(r"```yaml\n(.*?)```", re.DOTALL)


@then("pages: every relative link in README.md, CONTRIBUTING.md and docs leads to a file")
def step_links(context):
    pages = [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *sorted((ROOT / "docs").glob("*.md"))]
    links = [(page, link) for page in pages for link in LINK.findall(page.read_text())]
    assert links
    broken = [f"{page.name}: {link}" for page, link in links if not (page.parent / link).exists()]
    assert not broken, broken


@then("pages: the declaration in README.md is accepted")
def step_declaration(context):
    blocks = YAML_BLOCK.findall((ROOT / "README.md").read_text())
    assert len(blocks) == 1
    path = context.folder / "declaration.yaml"
    path.write_text(blocks[0])
    loaded = load_declaration([path])
    assert loaded.is_ok(), loaded


@then("pages: docs/ARCHITECTURE.md names each module of the product once, and no other")
def step_modules(context):
    text = (ROOT / "docs" / "ARCHITECTURE.md").read_text()
    named = _named_modules(text[text.index("## Modules") : text.index("## What a group offers")])
    files = (path.relative_to(ROOT).as_posix() for path in (ROOT / "limedyke").rglob("*.py"))
    existing = [file for file in files if not file.endswith("__init__.py")]
    assert sorted(named) == sorted(existing), sorted(set(named) ^ set(existing))


def _named_modules(tables: str) -> list[str]:
    """Return the module paths listed in the tables; each table's head gives the folder."""
    named = []
    folder = ""
    for line in tables.splitlines():
        if head := TABLE_HEAD.match(line):
            folder = head[1]
        elif line.startswith("| `"):
            named += [folder + file for file in FILE.findall(line.split("|")[1])]
    return named
