"""The real controllers and proxy against which the operators' commands run."""

from __future__ import annotations

import atexit
import re
import shutil
import socket
import tempfile
import urllib.request
from pathlib import Path

import curio
import yaml

from features.support.controller_lab import (
    SECRETS,
    ControllerLab,
)
from limedyke.addresses import split_address
from limedyke.scram_verifier import make_verifier
from limedyke.transport.link import LinkClosedError, LinkIdentity, dial

SILENCE_S = 0.5
_METRIC = r"^limedyke_proxy_{} ([0-9.e+]+)$"
_lab: list[ControllerLab] = []


def shared_lab() -> ControllerLab:
    """Return the lab of this test process, started on first use."""
    if not _lab:
        folder = Path(tempfile.mkdtemp(prefix="limedyke-operators-"))
        lab = ControllerLab(folder)
        _lab.append(lab)
        atexit.register(shutil.rmtree, folder, ignore_errors=True)
        atexit.register(lab.close)
        lab.write_operator("carl", "anna-key", list(lab.addresses.values()))
        lab.write_operator("anna-bad", "bert-key", list(lab.addresses.values()))
        lab.write_operator("anna-key", "lost-key", list(lab.addresses.values()))
        for name in lab.addresses:
            lab.start_controller(name)
    return _lab[0]


def declaration_file(lab: ControllerLab, groups: int, name: str = "") -> str:
    """Write a declaration with a number of groups; return its path."""
    declared = {
        "tenants": [{"name": "t", "users": [{"name": "u", "verifier": _VERIFIER}]}],
        "groups": [_group(number) for number in range(1, groups + 1)],
    }
    path = lab.folder / (name or f"groups-{groups}.yaml")
    path.write_text(yaml.safe_dump(declared, sort_keys=False))
    return str(path)


def _group(number: int) -> dict:
    member = {"name": "m", "address": f"127.0.0.1:{number}", "zone": "z1"}
    access = {
        "tenant": "t",
        "database": "d",
        "backend_user": "b",
        "secret": "s",
        "connection_budget": 3,
    }
    return {
        "name": f"g{number}",
        "members": [member],
        "connection_limit": 6,
        "slots": 2,
        "access": [access],
        "admin_secret": "a",
    }


_VERIFIER = make_verifier("password")


def proxy_metric(lab: ControllerLab, name: str) -> int:
    """Return a gauge of the proxy; -1 while it does not answer."""
    try:
        with urllib.request.urlopen(f"http://{lab.proxy_status}/metrics", timeout=5) as answer:
            text = answer.read().decode()
    except OSError:
        return -1
    found = re.search(_METRIC.format(name), text, re.MULTILINE)
    return int(float(found.group(1))) if found else -1


def page(lab: ControllerLab, name: str, page: str) -> str:
    """Return a status page of a controller; empty while it does not answer."""
    try:
        url = f"http://{lab.status_addresses[name]}/{page}"
        with urllib.request.urlopen(url, timeout=5) as answer:
            return answer.read().decode()
    except OSError:
        return ""


def followers(lab: ControllerLab, leader: str) -> list[str]:
    """Return the names of all controllers except the leader."""
    return [name for name in lab.addresses if name != leader]


def close_each_connection(listener: socket.socket) -> None:
    """Accept connections and close each one immediately, forever."""
    while True:
        client, _ = listener.accept()
        client.close()


def send_startup_packet(address: str) -> bytes:
    """Send a PostgreSQL startup packet to an address; return the answer."""
    body = b"\x00\x03\x00\x00user\x00u\x00database\x00t/g1\x00\x00"
    with socket.create_connection(split_address(address), timeout=SILENCE_S) as sock:
        sock.sendall((len(body) + 4).to_bytes(4, "big") + body)
        sock.settimeout(SILENCE_S)
        try:
            return sock.recv(4_096)
        except TimeoutError:
            return b""


async def ask_as(address: str, identity: LinkIdentity, request: object) -> object | None:
    """Send a request under an identity; return the answer, or None."""
    key = SECRETS["cluster"].encode()
    dialled = await dial(address, identity, lambda role, name: key)
    if dialled.is_err():
        return None
    link = dialled.ok_value
    try:
        await link.send(request)
        async with curio.ignore_after(SILENCE_S):
            return await link.receive()
    except LinkClosedError:
        return None
    finally:
        await link.close()
    return None
