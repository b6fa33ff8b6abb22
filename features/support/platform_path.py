"""Makes the modules of ``platform/`` importable by their own names, as its programs see them."""

from __future__ import annotations

import sys
from pathlib import Path

PLATFORM_FOLDER = Path(__file__).resolve().parents[2] / "platform"

if str(PLATFORM_FOLDER) not in sys.path:
    sys.path.append(str(PLATFORM_FOLDER))
