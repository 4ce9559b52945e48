"""An index of hosts by SRV key and by address."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

from hazelbend.dns_discovery.answers import EndpointKey

K = TypeVar("K")


class HostIndex:
    """Finds the host for an endpoint of an SRV record.

    Several hosts may have the same key or the same address for some time.
    """

    def __init__(self) -> None:
        self._by_key: dict[EndpointKey, set[str]] = {}
        self._by_dial: dict[str, set[str]] = {}

    def add(self, host: str, key: EndpointKey | None, dial: str) -> None:
        """Add a host."""
        if key is not None:
            self._by_key.setdefault(key, set()).add(host)
        self._by_dial.setdefault(dial, set()).add(host)

    def remove(self, host: str, key: EndpointKey | None, dial: str) -> None:
        """Remove a host that was added with this key and this address."""
        if key is not None:
            _discard(self._by_key, key, host)
        _discard(self._by_dial, dial, host)

    def hosts(self, key: EndpointKey | None, dial: str) -> set[str]:
        """Return all hosts with this key or this address."""
        found = set(self._by_dial.get(dial, ()))
        if key is not None:
            found |= self._by_key.get(key, set())
        return found

    def find(self, key: EndpointKey, dial_addresses: Iterable[str]) -> str | None:
        """Return the host with this key, otherwise the one with one of these addresses; None if none matches.

        Of several hosts it returns the first by name, so that all dispatchers find the same one.
        """
        if hosts := self._by_key.get(key):
            return min(hosts)
        return min(
            (min(self._by_dial[dial]) for dial in dial_addresses if dial in self._by_dial), default=None
        )


def _discard(index: dict[K, set[str]], key: K, host: str) -> None:
    hosts = index.get(key)
    if hosts is None:
        return
    hosts.discard(host)
    if not hosts:
        del index[key]
