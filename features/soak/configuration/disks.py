"""Reads what the disks of real controllers hold."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path

from limedyke.messages.agreement import ControllerIdentity
from limedyke.storage.open_log import open_durable_log
from limedyke_lab.controller_disks import ControllerDisk, summarize_disk

LOG_FOLDER = "agreement"
COPY_ATTEMPTS = 20


def controller_name(ip: str) -> str:
    """Return the name of the controller on a machine."""
    return f"controller-{ip.replace('.', '-')}"


def read_disk(folder: Path, controller: str) -> ControllerDisk | None:
    """Return what the data folder of a controller holds; None if it holds no log.

    The folder is copied first, because opening a log rewrites its newest segment.
    """
    log_folder = folder / LOG_FOLDER
    if not log_folder.exists():
        return None
    with tempfile.TemporaryDirectory() as copied:
        copy = Path(copied) / LOG_FOLDER
        _copy_folder(log_folder, copy)
        opened = open_durable_log(copy, ControllerIdentity(controller, ""), sync=False)
        if opened.is_err():
            return None
        log = opened.unwrap()
        stored = log.take_stored_state()
        log.close()
        return summarize_disk(log.identity, stored)


def _copy_folder(source: Path, copy: Path) -> None:
    """Copy a folder; begin anew when a running process renames or removes a file meanwhile.

    :raises shutil.Error: when the folder does not hold still for ``COPY_ATTEMPTS``
    """
    for attempt in range(COPY_ATTEMPTS):
        try:
            shutil.copytree(source, copy)
            return
        except shutil.Error:
            if attempt == COPY_ATTEMPTS - 1:
                raise
            shutil.rmtree(copy)
