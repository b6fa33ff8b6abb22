"""Generates docs/RESULT_CODES.md from the result codes, or checks that it is up to date.

Usage: ``python -m tools.result_code_table [--check]``.
"""

from __future__ import annotations

import sys
from pathlib import Path

from limedyke.result_codes import ResultCode

PAGE = Path(__file__).resolve().parents[1] / "docs" / "RESULT_CODES.md"
INTRODUCTION = """# Result codes

Written by `python -m tools.result_code_table` from `limedyke/result_codes.py`; don't edit.

A PostgreSQL client gets the SQLSTATE and a message that begins with the code. The outcome says
what is known about the request:

- `did-not-run`: it had no effect and may be sent again.
- `ran-and-failed`: it was read-only, and part of its answer was sent.
- `unknown`: a write may have taken effect; look before sending it again, or send it with a
  once-key.

| code | name | SQLSTATE | outcome | meaning |
|---|---|---|---|---|
"""


def render_page() -> str:
    """Return the whole page."""
    rows = [
        f"| {code.label} | {code.name} | {code.sqlstate} | {code.outcome} | {code.value.meaning} |"
        for code in sorted(ResultCode, key=lambda code: code.value.number)
    ]
    return INTRODUCTION + "\n".join(rows) + "\n"


def main(arguments: list[str]) -> int:
    """Write the page, or compare it when ``--check`` is given; return the exit code."""
    page = render_page()
    if "--check" not in arguments:
        PAGE.write_text(page)
        return 0
    if PAGE.exists() and PAGE.read_text() == page:
        return 0
    print(f"{PAGE.name} is out of date: run python -m tools.result_code_table")
    return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
