"""Sends operations of a command to the leader of the fleet."""

from __future__ import annotations

from hazelbend.leases.operations import LeaseResponse, Operation
from hazelbend.leases.settings import FleetSettings
from hazelbend.transport.peer.peer_links import PeerLinks

CALL_TIMEOUT_S = 3.0


class LeaderRoute:
    """Sends operations to the leader through this machine's dispatcher, or a seed while it is down."""

    def __init__(self, settings: FleetSettings, links: PeerLinks) -> None:
        others = [seed for seed in settings.seeds if seed != settings.advertised_address]
        self._addresses = [settings.listen, *others]
        self._links = links
        self._failures = 0

    async def submit(self, operation: Operation) -> LeaseResponse | None:
        """Return the leader's response. None: no leader answered, and the next call uses another address."""
        address = self._addresses[self._failures % len(self._addresses)]
        response = await self._links.submit_to_leader(address, operation, CALL_TIMEOUT_S)
        if response is None:
            self._failures += 1  # a dispatcher that is not a voter may not know the leader
        return response
