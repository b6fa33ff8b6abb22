"""A real proxy process that also links to many home proxies, for ``limedyke-lab links``.

It runs the product's ``Proxy``, which accepts links, without controllers; and the product's
``ForwardingExecutor``, which dials them, with a control view made up here.
"""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass
from pathlib import Path

import curio

from limedyke.event_log import start_logging
from limedyke.garbage_collection import resume_garbage_collection
from limedyke.messages.control import ProxyRecord, ProxyState
from limedyke.messages.declaration import Priority
from limedyke.messages.work import Access, AnswerChunk, LogPosition, WorkUnit
from limedyke.proxy.control_view import ControlView
from limedyke.proxy.forwarding import ForwardingExecutor
from limedyke.proxy.server import Proxy
from limedyke.settings.proxy import ProxySettings
from limedyke.settings.secrets import Secrets

UNIT_DEADLINE_MS = 8_000


@dataclass(frozen=True, slots=True)
class LinkedProxySettings:
    """What the runner tells the process.

    :param proxy: the product's settings
    :param secrets: secrets by name
    :param home_address: ``ip:port`` at which all hollow home proxies take links
    :param homes: names of the home proxies to link to
    """

    proxy: ProxySettings
    secrets: Secrets
    home_address: str
    homes: tuple[str, ...]


def _view(settings: LinkedProxySettings) -> ControlView:
    """Return a view with a group of the same name for each home proxy."""
    zone = settings.proxy.zone
    records = {
        home: ProxyRecord(home, 1, settings.home_address, zone, ProxyState.SERVING)
        for home in settings.homes
    }
    homes = {home: (home,) for home in settings.homes}
    return ControlView(control_index=1, revision=1, proxies=records, homes=homes)


def make_unit(number: int, group: str) -> WorkUnit:
    """Return a read of a group, empty but for its names.

    :param number: number of its stream
    """
    return WorkUnit(
        stream=number,
        tenant="tenant",
        group=group,
        access=Access.READ,
        priority=Priority.INTERACTIVE,
        transaction=0,
        required=LogPosition(),
        barrier=False,
        repeatable=True,
        once_key="",
        staleness_ms=0,
        deadline_ms=UNIT_DEADLINE_MS,
        prepared=(),
        settings=(),
        data=b"",
    )


async def _pass_on(_chunk: AnswerChunk) -> None:
    """Take a part of an answer; hollow home proxies send none."""


async def _no_change(_until: float) -> bool:
    await curio.sleep(0)
    return False


async def _run(settings: LinkedProxySettings) -> int:
    proxy = await curio.spawn(Proxy(settings.proxy, settings.secrets).run)
    forwarding = ForwardingExecutor(settings.proxy, settings.secrets, _no_change)
    forwarding.control_changed(_view(settings))
    for number, home in enumerate(settings.homes, 1):
        await forwarding.run(make_unit(number, home), _pass_on)
    return await proxy.join()


def main(settings_file: str) -> None:
    """Run with the settings that the runner wrote."""
    values = json.loads(Path(settings_file).read_text())
    settings = LinkedProxySettings(
        proxy=ProxySettings.model_validate(values["proxy"]),
        secrets=Secrets(values["secrets"]),
        home_address=values["home_address"],
        homes=tuple(values["homes"]),
    )
    start_logging(settings.proxy.log_level)
    settings.proxy.data_folder.mkdir(parents=True, exist_ok=True)
    resume_garbage_collection()
    sys.exit(curio.run(_run, settings))


if __name__ == "__main__":
    main(sys.argv[1])
