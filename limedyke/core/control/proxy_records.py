"""Applies log entries to the recorded proxies."""

from __future__ import annotations

from limedyke.messages.control import ProxyRecord
from limedyke.messages.control_entries import RecordProxies, RemoveProxies


def record_proxies(
    known_proxies: dict[str, ProxyRecord], entry: RecordProxies
) -> tuple[ProxyRecord, ...]:
    """Record proxies, except for incarnations older than the recorded one.

    :param known_proxies: the recorded proxies by name; changed in place
    :returns: the records that are new or differ
    """
    changed = []
    for proxy in entry.proxies:
        known = known_proxies.get(proxy.name)
        if known == proxy or (known is not None and proxy.incarnation < known.incarnation):
            continue
        known_proxies[proxy.name] = proxy
        changed.append(proxy)
    return tuple(changed)


def remove_proxies(known_proxies: dict[str, ProxyRecord], entry: RemoveProxies) -> tuple[str, ...]:
    """Remove proxies whose recorded incarnation is the one that the entry names.

    :param known_proxies: the recorded proxies by name; changed in place
    :returns: the names removed
    """
    removed = []
    for proxy in entry.proxies:
        known = known_proxies.get(proxy.name)
        if known is not None and known.incarnation == proxy.incarnation:
            del known_proxies[proxy.name]
            removed.append(proxy.name)
    return tuple(removed)
