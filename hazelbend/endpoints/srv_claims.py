"""What SRV names report about endpoints: one claim for each name and endpoint."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from hazelbend.dns_discovery.answers import EndpointKey, SrvPreference


@dataclass(slots=True, frozen=True)
class SrvClaim:
    """What one SRV name reports about an endpoint, and the settings for the name's endpoints."""

    preference: SrvPreference
    addresses: tuple[str, ...]  # at least one
    zone: int
    kind: int
    cell: int
    weight: float

    def dial_addresses(self, port: int) -> tuple[str, ...]:
        """Return the addresses with the port, in the format of the endpoint list."""
        return tuple(
            f"[{address}]:{port}" if ":" in address else f"{address}:{port}" for address in self.addresses
        )


class SrvClaims:
    """All claims, indexed by SRV name, by endpoint and by address."""

    def __init__(self) -> None:
        self._by_name: dict[str, dict[EndpointKey, SrvClaim]] = {}
        self._by_key: dict[EndpointKey, dict[str, SrvClaim]] = {}
        self._keys_by_dial: dict[str, set[EndpointKey]] = {}

    def __contains__(self, key: EndpointKey) -> bool:
        return key in self._by_key

    def claims_of_name(self, name: str) -> Mapping[EndpointKey, SrvClaim]:
        """Return the claims of an SRV name, by endpoint."""
        return self._by_name.get(name, {})

    def claims_of_endpoint(self, key: EndpointKey) -> Mapping[str, SrvClaim]:
        """Return the claims about an endpoint, by SRV name."""
        return self._by_key.get(key, {})

    def dial_addresses(self, key: EndpointKey) -> Iterator[str]:
        """Yield all addresses that are claimed for an endpoint. An address may be repeated."""
        for claim in self.claims_of_endpoint(key).values():
            yield from claim.dial_addresses(key.port)

    def matching_keys(self, key: EndpointKey | None, dial: str) -> set[EndpointKey]:
        """Return the claimed endpoints that have this key or this address."""
        found = set(self._keys_by_dial.get(dial, ()))
        if key is not None and key in self._by_key:
            found.add(key)
        return found

    def changed_keys(self, name: str, claims: Mapping[EndpointKey, SrvClaim]) -> set[EndpointKey]:
        """Return the endpoints for which `claims` differ from the present claims of the SRV name."""
        before = self.claims_of_name(name)
        removed = {key for key in before if key not in claims}
        return removed | {key for key, claim in claims.items() if before.get(key) != claim}

    def replace(self, name: str, claims: Mapping[EndpointKey, SrvClaim], changed: set[EndpointKey]) -> None:
        """Set the claims of an SRV name. `changed` is the result of `changed_keys` for them."""
        claims_of_name = self._by_name.setdefault(name, {})
        for key in changed:
            self._unindex_dials(key)
            claims_of_endpoint = self._by_key.setdefault(key, {})
            if (claim := claims.get(key)) is not None:
                claims_of_name[key] = claim
                claims_of_endpoint[name] = claim
            else:
                del claims_of_name[key]
                del claims_of_endpoint[name]
            if not claims_of_endpoint:
                del self._by_key[key]
            for dial in self.dial_addresses(key):
                self._keys_by_dial.setdefault(dial, set()).add(key)
        if not claims_of_name:
            del self._by_name[name]

    def _unindex_dials(self, key: EndpointKey) -> None:
        for dial in set(self.dial_addresses(key)):
            keys = self._keys_by_dial[dial]
            keys.discard(key)
            if not keys:
                del self._keys_by_dial[dial]
