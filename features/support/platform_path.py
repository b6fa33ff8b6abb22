"""Adds ``platform/`` to the import path, so that its modules are top-level as in its programs."""

from __future__ import annotations

import sys
from pathlib import Path

PLATFORM_FOLDER = Path(__file__).resolve().parents[2] / "platform"

if str(PLATFORM_FOLDER) not in sys.path:
    sys.path.append(str(PLATFORM_FOLDER))
