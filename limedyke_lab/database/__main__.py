"""Run one member: ``python -m limedyke_lab.database --name a --listen IP:PORT ...``."""

from __future__ import annotations

import fire

from limedyke_lab.database.command import run_database

if __name__ == "__main__":
    fire.Fire(run_database, name="limedyke-lab database")
