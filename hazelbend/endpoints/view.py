"""The merged view of all endpoints. Each version is immutable, so a reader never sees a partial update."""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from hazelbend.dns_discovery.answers import EndpointKey
from hazelbend.routing.ports import Endpoint

# Sources of endpoints, in addition to the SRV names. The console shows these texts.
LIST_SOURCE = "box list"
STOMP_SOURCE = "stomp"


@dataclass(slots=True, frozen=True)
class MergedEndpoint:
    """One endpoint of the view."""

    entry: Endpoint
    sources: tuple[str, ...]  # LIST_SOURCE or STOMP_SOURCE, and SRV names
    key: EndpointKey | None = None  # the key by which SRV lists it; None: it has no such key
    spare: bool = False  # its SRV priority is not open, so it gets no jobs

    @property
    def is_srv_only(self) -> bool:
        """Whether SRV is its only source."""
        return self.key is not None and LIST_SOURCE not in self.sources

    @property
    def is_connected(self) -> bool:
        """Whether it connected to the dispatcher over STOMP."""
        return self.sources == (STOMP_SOURCE,)


@dataclass(slots=True, frozen=True)
class EndpointView:
    """One version of the view."""

    version: int = 0
    members: Map[str, MergedEndpoint] = field(default_factory=Map)  # by host
