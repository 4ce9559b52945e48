"""An index of hosts by their SRV key and by their address."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

from hazelbend.dns_discovery.answers import EndpointKey

K = TypeVar("K")


class HostIndex:
    """Finds the host for an endpoint of SRV. For a while several hosts may have the same key or address."""

    def __init__(self) -> None:
        self._by_key: dict[EndpointKey, set[str]] = {}
        self._by_dial: dict[str, set[str]] = {}

    def add(self, host: str, key: EndpointKey | None, dial: str) -> None:
        """Index a host."""
        if key is not None:
            self._by_key.setdefault(key, set()).add(host)
        self._by_dial.setdefault(dial, set()).add(host)

    def remove(self, host: str, key: EndpointKey | None, dial: str) -> None:
        """Take a host out, which was added with this key and address."""
        if key is not None:
            _discard(self._by_key, key, host)
        _discard(self._by_dial, dial, host)

    def hosts(self, key: EndpointKey | None, dial: str) -> set[str]:
        """All hosts with this key or address."""
        found = set(self._by_dial.get(dial, ()))
        if key is not None:
            found |= self._by_key.get(key, set())
        return found

    def find(self, key: EndpointKey, dial_addresses: Iterable[str]) -> str | None:
        """The host with this key, else the one with one of these addresses.

        Of several it is the first by name, so that all dispatchers find the same.
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
